//! Runners are replaced in place by new software, one after the other, while one host does not hear from the
//! store.

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, NOTICE, last_event, request_notice};
use crate::http::Answer;

/// Streams of the host, and the time between two.
const STREAMS: usize = 60;
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Events of a stream, one each 100 ms.
const EVENTS: u32 = 120;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_500);
/// Runners that are replaced, by their indices, and the time between two.
const REPLACED: [usize; 4] = [6, 7, 8, 0];
const GAP: Duration = Duration::from_secs(1);
/// Time for which a runner serves after the store has its report: `drain-ms`, and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2_200);
/// Streams that hold events of two versions before the rule is broken.
const MAX_MIXED: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(folder, "software", has_trouble, NOTICE)?;
    let record = deployment.record.clone();
    let host = deployment.callers()[0];
    let clients = (0..STREAMS).map(|number| {
        thread::sleep(STREAM_INTERVAL);
        let (id, record) = (format!("s{number}"), record.clone());
        record.line(format!("client: sends {id} to host 1"));
        thread::spawn(move || {
            let answer = request_notice(host, &id, EVENTS, "");
            record.line(format!(
                "client: {id} answered {}, whole: {}, up to event {}, by software {:?}",
                answer.status,
                answer.is_whole,
                last_event(&answer),
                versions(&answer)
            ));
            (id, answer)
        })
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        record.line("the link of host 1 to the store is cut");
        deployment.link.set_cut(true);
    }
    let began = Instant::now();
    let mut steps = Vec::new();
    for (number, index) in (0..).zip(REPLACED) {
        let drained_at = Duration::from_millis(100) + GAP * number;
        steps.push((drained_at, index, false));
        steps.push((drained_at + DRAIN_TIME, index, true));
    }
    steps.sort_unstable();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    for (at, index, is_drained) in steps {
        wait_until(at);
        if is_drained {
            deployment.restart_runner(index, "v2")?;
        } else {
            deployment.drain_runner(index);
        }
    }
    wait_until(CUT);
    if has_trouble {
        deployment.link.set_cut(false);
        record.line("the link of host 1 to the store is back");
    }
    let answers = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let answers = answers.collect::<Vec<_>>();
    let mixed = answers
        .iter()
        .filter(|(_, answer)| versions(answer).len() > 1);
    let mixed = mixed.map(|(id, _)| id.as_str()).collect::<Vec<_>>();
    let begun = answers
        .iter()
        .filter(|(_, answer)| last_event(answer) > 0)
        .count();
    record.line(format!(
        "streams: {}, begun: {begun}, with events of two software versions: {} ({})",
        answers.len(),
        mixed.len(),
        mixed.join(" ")
    ));
    if begun < STREAMS / 2 {
        return Err("fewer than half of the streams began".to_owned());
    }
    Ok(if mixed.len() > MAX_MIXED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Returns the software versions that made the events of an answer.
fn versions(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let versions = data.filter_map(|data| data.split(' ').next());
    versions.map(str::to_owned).collect()
}
