//! Streams of a host that loses its power, while the release of a service begins.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Fleet;
use crate::relay::Relay;
use crate::runners::{Runner, Work};
use crate::streams::{Outcome, Stream, count_begun};

const HOSTS: usize = 7;
const RUNNERS: usize = 9;
const SLOTS: usize = 64;
/// Streams that begin before the loss, and as many that begin when these are taken up.
const STREAMS: usize = 24;
const WORK: Work = Work::Streams {
    service: "llm",
    events: 80,
    event_pause: Duration::from_millis(100),
};
/// Time for the streams to begin.
const BEGIN_TIME: Duration = Duration::from_millis(1_500);
/// Time from the loss to the registration of the release's first runner.
const RELEASE_DELAY: Duration = Duration::from_millis(1_000);
/// Gap after which clients abandon a stream: eight times the pause of the route, which is longer than two
/// seconds and four times the objective.
const GAP: Duration = Duration::from_millis(3_200);
/// Time for which the host is dark.
const DARK: Duration = Duration::from_millis(3_500);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"notice-draft","host":"svc.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"gap-target-ms":400,"priority":0,"service":"llm","attempts":2,"public":false,"sticky-sessions":true,"resumable":true}],
"services":[
{"name":"llm","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0"}]}}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"karoo","api-keys":["key-a"],"priority":1,"isolated":false}]}"#;

/// Runs the case; returns whether the rule held. Without trouble, the release does not begin.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start_hosts(HOSTS, folder, CONFIG, &[("a", RUNNERS, WORK, SLOTS)])?;
    let record = &fleet.record;
    let (lost, others) = (&fleet.hosts[0], &fleet.hosts[1..]);
    let relay = Relay::start(lost.front);
    thread::sleep(Duration::from_secs(2));

    let begun = (0..STREAMS).map(|number| Stream::open(relay.address, &format!("s{number}"), None));
    let begun = begun.collect::<Result<Vec<_>, _>>()?;
    let readers = begun.iter().map(|stream| {
        let (connection, id) = (Arc::clone(&stream.connection), stream.id.clone());
        // The client abandons the stream after the gap.
        let set = connection.set_read_timeout(Some(GAP));
        let record = Arc::clone(record);
        thread::spawn(move || {
            set.expect("the timeout is not zero");
            Stream { id, connection }.read(&record)
        })
    });
    let readers = readers.collect::<Vec<_>>();
    thread::sleep(BEGIN_TIME);
    record.line("host 1 loses its power");
    relay.go_dark();
    lost.kill(record);
    thread::sleep(RELEASE_DELAY);
    if has_trouble {
        record.line("the release begins: a runner of version v2 joins");
        Runner::start_of_version("r-1", "v2", WORK, SLOTS, &fleet.store, record);
    }
    let return_of_host = {
        let (lost, record) = (Arc::clone(lost), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(DARK - RELEASE_DELAY);
            lost.start_again(&record);
        })
    };

    let mut taken_up = Vec::new();
    for (number, (stream, reader)) in begun.iter().zip(readers).enumerate() {
        let seen = reader.join().expect("no client panics");
        if seen.last_event > 0 && !seen.is_complete {
            let front = others[number % others.len()].front;
            let id = format!("{}-again", stream.id);
            let first = (stream.id.as_str(), seen.last_event);
            taken_up.push(Stream::open(front, &id, Some(first))?);
        }
    }
    let new = (0..STREAMS).map(|number| {
        let front = others[number % others.len()].front;
        Stream::open(front, &format!("n{number}"), None)
    });
    let new = new.collect::<Result<Vec<_>, _>>()?;
    let outcome = Outcome {
        taken_up: taken_up.len(),
        went_on: count_begun(&taken_up, record),
        new: new.len(),
        began: count_begun(&new, record),
    };
    return_of_host.join().expect("no thread panics");
    outcome.judge(record)
}
