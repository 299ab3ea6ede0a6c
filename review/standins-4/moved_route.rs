//! Streams that clients take up after their route was moved to another service.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Fleet;
use crate::http::Head;
use crate::record::Record;
use crate::runners::Work;

/// Streams that begin before the change, and as many that begin after it.
const STREAMS: usize = 16;
/// Least number of streams taken up that the rule counts.
const MIN_TAKEN_UP: usize = 12;
const EVENTS: u32 = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Time for the streams to begin, and from the change of the route to the break of their connections: the
/// bound `config-apply-ms` is 2,000.
const BEGIN_TIME: Duration = Duration::from_millis(1_500);
const AFTER_CHANGE: Duration = Duration::from_millis(2_500);

/// The table; SERVICE is that of the route.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"notice-draft","host":"svc.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"gap-target-ms":400,"priority":0,"service":"SERVICE","attempts":2,"public":false,"sticky-sessions":true,"resumable":true}],
"services":[
{"name":"llm","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0"}]}},
{"name":"llm-b","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0"}]}}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"karoo","api-keys":["key-a"],"priority":1,"isolated":false}]}"#;

fn config(version: u32, service: &str) -> String {
    let config = CONFIG.replace("VERSION", &version.to_string());
    config.replace("SERVICE", service)
}

/// A client attempt at a stream.
struct Stream {
    id: String,
    connection: Arc<TcpStream>,
}

/// What a client saw of a stream.
#[derive(Debug)]
struct Seen {
    status: u16,
    last_event: u32,
    is_complete: bool,
}

impl Stream {
    /// Sends a request; `taken_up` is the attempt that brought the first event, and the last event.
    fn open(front: SocketAddr, id: &str, taken_up: Option<(&str, u32)>) -> Result<Self, String> {
        let connection = TcpStream::connect(front).map_err(|error| error.to_string())?;
        let taken_up = taken_up.map_or(String::new(), |(first, last)| {
            format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
        });
        let body = "x".repeat(600);
        let request = format!(
            "POST /draft/notice HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nModel: m0\r\nToken-Counts: 800,80\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,{id}:602\r\nDeadline-Ms: 15000\r\n{taken_up}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent = (&connection).write_all(request.as_bytes());
        sent.map_err(|error| error.to_string())?;
        Ok(Self {
            id: id.to_owned(),
            connection: Arc::new(connection),
        })
    }

    /// Reads until the end of the answer or of the connection.
    fn read(&self, record: &Record) -> Seen {
        let mut reader = BufReader::new(&*self.connection);
        let mut seen = Seen {
            status: 0,
            last_event: 0,
            is_complete: false,
        };
        if let Ok(head) = Head::read(&mut reader) {
            seen.status = head.status();
            let mut bytes = Vec::new();
            // An error ends the answer like the end of the connection.
            let _ = reader.read_to_end(&mut bytes);
            let text = String::from_utf8_lossy(&bytes);
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            seen.last_event = ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0);
            seen.is_complete = text.ends_with("0\r\n\r\n");
        }
        record.line(&format!("stream {}: {seen:?}", self.id));
        seen
    }
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let streams = |service| Work::Streams {
        service,
        events: EVENTS,
        event_pause: EVENT_PAUSE,
    };
    let groups = [("a", 3, streams("llm"), 64), ("b", 3, streams("llm-b"), 64)];
    let fleet = Fleet::start(folder, &config(7, "llm"), &groups)?;
    let (first, second) = (fleet.hosts[0].front, fleet.hosts[1].front);
    let record = &fleet.record;
    thread::sleep(Duration::from_secs(2));

    let begun = (0..STREAMS).map(|number| Stream::open(first, &format!("s{number}"), None));
    let begun = begun.collect::<Result<Vec<_>, _>>()?;
    let readers = begun.iter().map(|stream| {
        let (connection, id) = (Arc::clone(&stream.connection), stream.id.clone());
        let record = Arc::clone(record);
        thread::spawn(move || Stream { id, connection }.read(&record))
    });
    let readers = readers.collect::<Vec<_>>();
    thread::sleep(BEGIN_TIME);
    if has_trouble {
        record.line("the operator moves the route to the service llm-b");
        fleet.store.put("op/config", &config(9, "llm-b"));
    }
    thread::sleep(AFTER_CHANGE);
    record.line("the connections of the clients break");
    for stream in &begun {
        // Fails only if the connection has ended already.
        let _ = stream.connection.shutdown(Shutdown::Both);
    }
    let mut taken_up = Vec::new();
    for (stream, reader) in begun.iter().zip(readers) {
        let seen = reader.join().expect("no client panics");
        if seen.last_event > 0 && !seen.is_complete {
            let id = format!("{}-again", stream.id);
            taken_up.push(Stream::open(
                second,
                &id,
                Some((&stream.id, seen.last_event)),
            )?);
        }
    }
    let new = (0..STREAMS).map(|number| Stream::open(second, &format!("n{number}"), None));
    let new = new.collect::<Result<Vec<_>, _>>()?;
    let count_served = |streams: &[Stream]| {
        let heads = streams.iter().map(|stream| {
            let head = Head::read(&mut BufReader::new(&*stream.connection));
            let status = head.map_or(0, |head| head.status());
            record.line(&format!("stream {}: status {status}", stream.id));
            status
        });
        heads.filter(|&status| status == 200).count()
    };
    let (went_on, began) = (count_served(&taken_up), count_served(&new));
    record.summary(&format!(
        "streams taken up: {}, went on: {went_on}; new streams: {STREAMS}, began: {began}",
        taken_up.len()
    ));
    if taken_up.len() < MIN_TAKEN_UP || began == 0 {
        return Err("too few streams".to_owned());
    }
    let share = went_on as f64 / taken_up.len() as f64;
    let is_broken = share < began as f64 / STREAMS as f64 / 2.0;
    record.summary(if is_broken { "BROKEN" } else { "held" });
    Ok(!is_broken)
}
