//! A part of a prompt crashes runners while other requests, many of them alike, are in flight there.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Call, call};
use crate::deployment::{Deployment, KEY, MODEL_SERVICE, STREAM_ROUTE, TENANT, config};
use crate::record::Record;
use crate::runner::{Plan, Request, Runner, Service};

/// `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
const RUN_TIME: Duration = Duration::from_secs(45);
/// Time without any disruption at the start.
const CALM: Duration = Duration::from_secs(8);
/// Sound requests, one in four of which is like no other; the others ask a frequent question.
const SOUND_INTERVAL: Duration = Duration::from_millis(16);
const UNIQUE_ONE_IN: usize = 4;
const FREQUENT_QUESTIONS: usize = 1;
/// Sound requests for each one with the part that crashes runners.
const HARMFUL_ONE_IN: usize = 38;
const FIRST_PART: &str = "5c1e07a2:119";
const HARMFUL_PART: &str = "dead0000";
const MIN_REQUESTS: usize = 20;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let plan = move |request: &Request, _: &Runner| {
        let parts = request.head.header("prompt-prefix").unwrap_or("");
        let is_harmful = parts.contains(HARMFUL_PART);
        Plan {
            work: Duration::from_millis(300),
            events: 10,
            step: Duration::from_millis(20),
            crash_after: (is_harmful && has_trouble).then_some(Duration::ZERO),
            is_answer_lost: false,
        }
    };
    let service = Service {
        name: "llm-pool".to_owned(),
        is_model: true,
        slots: 64,
        queue: 192,
        software: &["v1"],
        records_events: false,
        plan: Box::new(plan),
        on_run: Box::new(|_, _| {}),
    };
    let config = config(7, STREAM_ROUTE, MODEL_SERVICE, TENANT);
    let deployment = Deployment::start(record, &config, service, 4, 3)?;
    let begin = Instant::now();
    thread::scope(|scope| {
        for number in 0.. {
            if begin.elapsed() >= RUN_TIME {
                break;
            }
            let host = deployment.hosts[number % deployment.hosts.len()].callers;
            let is_unique = number % UNIQUE_ONE_IN == 0;
            let question = if is_unique {
                1_000 + number
            } else {
                number % FREQUENT_QUESTIONS
            };
            scope.spawn(move || {
                let parts = format!("{FIRST_PART},91bd3f06:79,e{question:07x}:628");
                send(record, host, &format!("sound-{number}"), question, &parts);
            });
            if begin.elapsed() > CALM && number % HARMFUL_ONE_IN == 0 {
                let turn = number / HARMFUL_ONE_IN;
                let host = deployment.hosts[turn % deployment.hosts.len()].callers;
                scope.spawn(move || {
                    let parts = format!("{FIRST_PART},{HARMFUL_PART}:79,f{number:07x}:628");
                    send(
                        record,
                        host,
                        &format!("harmful-{number}"),
                        1_000_000 + number,
                        &parts,
                    );
                });
            }
            thread::sleep(SOUND_INTERVAL);
        }
    });
    Ok(judge(record))
}

fn send(record: &Record, host: std::net::SocketAddr, id: &str, question: usize, parts: &str) {
    let headers =
        format!("{KEY}Model: daka510000\r\nToken-Counts: 826,10\r\nPrompt-Prefix: {parts}\r\n");
    let request = Call {
        id,
        line: "POST /draft/2f",
        headers: &headers,
        body: &format!("question {question}"),
        deadline: Duration::from_secs(15),
    };
    call(record, host, &request);
}

/// Compares how often sound requests begin at the first attempt before the first harmful request, and
/// from twice `contact-ms` after the fifth crash (the last, if there are fewer) to the last harmful one.
fn judge(record: &Record) -> Verdict {
    let events = record.events();
    let times = |kind: &str, prefix: &str| -> Vec<Duration> {
        let found = events
            .iter()
            .filter(|event| event.kind == kind && event.request.starts_with(prefix));
        found.map(|event| event.at).collect()
    };
    let (crashes, harmful) = (times("crashes", "-"), times("sent", "harmful-"));
    let first_harmful = harmful.first().copied().unwrap_or_default();
    let last_harmful = harmful.last().copied().unwrap_or_default();
    let counted_crash = crashes
        .get(4)
        .or(crashes.last())
        .copied()
        .unwrap_or(first_harmful);
    let share = |from: Duration, until: Duration| {
        let sent = events.iter().filter(|event| {
            event.kind == "sent"
                && event.request.starts_with("sound-")
                && (from..until).contains(&event.at)
        });
        let sent: std::collections::HashSet<&str> =
            sent.map(|event| event.request.as_str()).collect();
        let begun = events.iter().filter(|event| {
            event.kind == "answered"
                && sent.contains(event.request.as_str())
                && event.detail.starts_with("200")
                && !event.detail.ends_with(" 0 events")
        });
        (begun.count(), sent.len())
    };
    let (calm_begun, calm) = share(Duration::ZERO, first_harmful);
    let (late_begun, late) = share(counted_crash + 2 * CONTACT, last_harmful);
    let is_enough = calm >= MIN_REQUESTS && late >= MIN_REQUESTS;
    let (calm_share, late_share) = (
        calm_begun as f64 / calm.max(1) as f64,
        late_begun as f64 / late.max(1) as f64,
    );
    Verdict {
        is_broken: !crashes.is_empty() && is_enough && late_share < 0.5 * calm_share,
        text: format!(
            "{} runners crashed. Of the sound requests before that {calm_begun} of {calm} began at the first attempt, and from {} ms after the fifth crash (the last, if there were fewer) {late_begun} of {late}.",
            crashes.len(),
            (2 * CONTACT).as_millis()
        ),
    }
}
