//! Callers take streams up at other hosts after theirs was killed, just after a new software version
//! joined their service.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Deployment, NOTICE, last_event, request_notice};
use crate::http::Answer;

/// Streams that begin at the host that is killed, and the time between two.
const STREAMS: usize = 24;
const STREAM_INTERVAL: Duration = Duration::from_millis(20);
/// Events of a stream, one each 100 ms.
const EVENTS: u32 = 40;
/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Least number of streams that are taken up for the rule to count.
const MIN_TAKEN_UP: usize = 12;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(folder, "take_up", has_trouble, NOTICE)?;
    let record = deployment.record.clone();
    let hosts = deployment.callers();
    let (killed, others) = (hosts[0], [hosts[1], hosts[2]]);
    let clients = (0..STREAMS).map(|number| {
        thread::sleep(STREAM_INTERVAL);
        let record = record.clone();
        thread::spawn(move || {
            let id = format!("s{number}");
            record.line(format!("client: sends {id} to host 1"));
            let began = request_notice(killed, &id, EVENTS, "");
            let last = last_event(&began);
            record.line(format!(
                "client: {id} answered {}, whole: {}, up to event {last}",
                began.status, began.is_whole
            ));
            if began.is_whole || last == 0 {
                return None;
            }
            let again = format!("t{number}");
            let headers = format!("Resumes: {id}\r\nLast-Event-Id: {last}\r\n");
            let index = number % others.len();
            record.line(format!(
                "client: {again} takes {id} up at host {}",
                index + 2
            ));
            let taken_up = request_notice(others[index], &again, EVENTS, &headers);
            record.line(format!(
                "client: {again} answered {} {}, whole: {}, up to event {}",
                taken_up.status,
                error(&taken_up),
                taken_up.is_whole,
                last_event(&taken_up)
            ));
            Some(taken_up)
        })
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(Duration::from_millis(800));
    if has_trouble {
        deployment.add_runner("i-10", "v2")?;
    }
    thread::sleep(Duration::from_millis(700));
    record.line("host 1 is killed (SIGKILL)");
    deployment.kill_host(0);
    let killed_at = Instant::now();
    let new = (0..STREAMS).map(|number| {
        thread::sleep(STREAM_INTERVAL);
        let to = others[number % others.len()];
        thread::spawn(move || request_notice(to, &format!("n{number}"), EVENTS, ""))
    });
    let new = new.collect::<Vec<_>>();
    thread::sleep(RESTART_DELAY.saturating_sub(killed_at.elapsed()));
    deployment.start_host_again(0)?;
    let taken_up = clients
        .into_iter()
        .filter_map(|client| client.join().expect("no panic"));
    let taken_up = taken_up.collect::<Vec<_>>();
    let new = new
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let new = new.collect::<Vec<_>>();
    let began = new.iter().filter(|answer| last_event(answer) > 0).count();
    let went_on = taken_up
        .iter()
        .filter(|answer| last_event(answer) > 0)
        .count();
    record.line(format!(
        "streams taken up: {}, of which {went_on} went on; new streams at the same hosts: {}, of which {began} began",
        taken_up.len(),
        new.len()
    ));
    if taken_up.len() < MIN_TAKEN_UP {
        return Err(format!("only {} streams were taken up", taken_up.len()));
    }
    let is_broken = 2 * went_on * new.len() < began * taken_up.len();
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

fn error(answer: &Answer) -> String {
    let is_error = answer.status != 200;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    is_error.then_some(text).unwrap_or_default()
}
