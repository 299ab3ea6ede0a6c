//! Streams that clients take up after their route was moved to another service.

use std::net::Shutdown;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Fleet;
use crate::runners::Work;
use crate::streams::{Outcome, Stream, count_begun};

/// Streams that begin before the change, and as many that begin after it.
const STREAMS: usize = 16;
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
    let outcome = Outcome {
        taken_up: taken_up.len(),
        went_on: count_begun(&taken_up, record),
        new: new.len(),
        began: count_begun(&new, record),
    };
    outcome.judge(record)
}
