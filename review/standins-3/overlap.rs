//! Runners spoil an event of some answers and work on, while the answers of some runs are lost.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, NOTICE, last_event, request_notice};
use crate::runner::Faults;

/// Runners that spoil answers, and the ones that lose them, by their numbers.
const SPOILING: std::ops::RangeInclusive<usize> = 1..=3;
const LOSING: std::ops::RangeInclusive<usize> = 5..=8;
/// Streams, and the time between two.
const STREAMS: u32 = 1_500;
const STREAM_INTERVAL: Duration = Duration::from_millis(30);
/// Length of a disruption, and the time between two.
const DISRUPTION: Duration = Duration::from_millis(5_500);
const PAUSE: Duration = Duration::from_millis(1_500);
/// Disruptions, one after the other.
const DISRUPTIONS: usize = 6;
/// Events of a stream, one each 100 ms.
const EVENTS: u32 = 25;
/// Time for which two runners may work on a request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let faults = |number| Faults {
        spoils: has_trouble && SPOILING.contains(&number),
        loses: has_trouble && LOSING.contains(&number),
    };
    let mut deployment = Deployment::start_with(folder, "overlap", has_trouble, NOTICE, faults)?;
    let record = deployment.record.clone();
    let hosts = deployment.callers();
    let started = Instant::now();
    let traffic = thread::spawn(move || send(started, &hosts));
    for _ in 0..DISRUPTIONS {
        thread::sleep(PAUSE);
        deployment.set_faulty(true);
        thread::sleep(DISRUPTION);
        deployment.set_faulty(false);
    }
    let begun = traffic.join().map_err(|_| "a client panicked".to_owned())?;
    let mut count = 0;
    for (id, overlap) in deployment.overlaps() {
        record.line(format!(
            "two runners worked on {id} for {} ms",
            overlap.as_millis()
        ));
        count += u32::from(overlap > MAX_OVERLAP);
    }
    record.line(format!(
        "streams: {STREAMS}, begun: {begun}, worked on by two runners for over {} ms: {count}",
        MAX_OVERLAP.as_millis()
    ));
    if begun < STREAMS as usize / 2 {
        return Err("fewer than half of the streams began".to_owned());
    }
    Ok(if count > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends the streams to the hosts in turn, and returns the number of those that begin.
fn send(started: Instant, hosts: &[SocketAddr]) -> usize {
    let clients = (0..STREAMS).map(|number| {
        let at = started + STREAM_INTERVAL * number;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let to = hosts[number as usize % hosts.len()];
        thread::spawn(move || request_notice(to, &format!("s{number}"), EVENTS, ""))
    });
    let clients = clients.collect::<Vec<_>>().into_iter();
    let answers = clients.map(|client| client.join().expect("no panic"));
    answers.filter(|answer| last_event(answer) > 0).count()
}
