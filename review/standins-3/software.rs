//! Runners start again under their ids with other software, and one of them crashes soon after.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, NOTICE, last_event, request_notice};
use crate::http::Answer;

/// Streams that show which runner gets most.
const EARLIER_STREAMS: usize = 12;
/// Streams that begin after the restarts, and the time between two.
const STREAMS: usize = 24;
const STREAM_INTERVAL: Duration = Duration::from_millis(12);
/// Streams that hold events of two versions before the rule is broken.
const MAX_MIXED: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(folder, "software", has_trouble, NOTICE)?;
    let record = deployment.record.clone();
    let host = deployment.callers()[0];
    let busiest = busiest(host, &deployment);
    let other = usize::from(busiest == 0);
    thread::sleep(Duration::from_millis(500));
    let software = if has_trouble { "v2" } else { "v1" };
    deployment.restart_runner(other, software)?;
    thread::sleep(Duration::from_millis(30));
    deployment.restart_runner(busiest, software)?;
    let clients = (0..STREAMS).map(|number| {
        thread::sleep(STREAM_INTERVAL);
        let (id, record) = (format!("s{number}"), record.clone());
        record.line(format!("client: sends {id} to host 1"));
        thread::spawn(move || {
            let answer = request_notice(host, &id, "");
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
    thread::sleep(Duration::from_millis(700));
    let runner = &mut deployment.runners[busiest];
    record.line(format!("runner {} crashes (SIGKILL)", runner.id));
    runner.kill();
    let answers = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let answers = answers.collect::<Vec<_>>();
    let mixed = answers
        .iter()
        .filter(|(_, answer)| versions(answer).len() > 1);
    let mixed = mixed.map(|(id, _)| id.as_str()).collect::<Vec<_>>();
    let began = answers
        .iter()
        .filter(|(_, answer)| last_event(answer) > 0)
        .count();
    record.line(format!(
        "streams: {}, begun: {began}, with events of two software versions: {} ({})",
        answers.len(),
        mixed.len(),
        mixed.join(" ")
    ));
    if began < STREAMS / 2 {
        return Err("fewer than half of the streams began".to_owned());
    }
    Ok(if mixed.len() > MAX_MIXED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Returns the index of the runner that gets most of some streams.
fn busiest(host: SocketAddr, deployment: &Deployment) -> usize {
    let clients = (0..EARLIER_STREAMS).map(|number| {
        thread::sleep(STREAM_INTERVAL);
        thread::spawn(move || request_notice(host, &format!("e{number}"), ""))
    });
    let clients = clients.collect::<Vec<_>>().into_iter();
    let answers = clients.map(|client| client.join().expect("no panic"));
    let answers = answers.collect::<Vec<_>>();
    let streams = |index: usize| {
        let name = format!(" {} ", deployment.runners[index].id);
        let own = answers.iter();
        own.filter(|answer| String::from_utf8_lossy(&answer.body).contains(&name))
            .count()
    };
    let indices = 0..deployment.runners.len();
    indices.max_by_key(|&index| streams(index)).unwrap_or(0)
}

/// Returns the software versions that made the events of an answer.
fn versions(answer: &Answer) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let versions = data.filter_map(|data| data.split(' ').next());
    versions.map(str::to_owned).collect()
}
