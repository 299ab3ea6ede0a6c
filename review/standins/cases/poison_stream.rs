//! A streaming request crashes each runner that begins to run it, just after the first event.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Call, call};
use crate::deployment::{Deployment, KEY, MODEL_SERVICE, STREAM_ROUTE, TENANT, config};
use crate::record::Record;
use crate::runner::{Plan, Service};

/// `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Retries that may reach runners after that.
const MAX_RETRIES: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(40);
const POISON_BODY: &str = "draft the notice for possession 17";
/// Time from the first event of the harmful request to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(60);

fn headers(own_part: &str) -> String {
    format!(
        "{KEY}Model: daka510000\r\nToken-Counts: 826,73\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,{own_part}:628\r\n"
    )
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    // For a comparison: the same request, which crashes runners before their first event.
    let is_early = std::env::var_os("EARLY").is_some();
    let plan = move |request: &crate::runner::Request, _: &crate::runner::Runner| {
        let is_poison = request.body == POISON_BODY.as_bytes();
        let crash_after = if is_early {
            Duration::ZERO
        } else {
            CRASH_AFTER
        };
        Plan {
            work: Duration::from_millis(30),
            events: 40,
            step: Duration::from_millis(25),
            crash_after: (is_poison && has_trouble).then_some(crash_after),
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
    let deployment = Deployment::start(record, &config, service, 6, 3)?;
    let end = Instant::now() + RUN_TIME;
    thread::scope(|scope| {
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let host = deployment.hosts[number % deployment.hosts.len()].callers;
            scope.spawn(move || {
                let id = format!("sound-{number}");
                let headers = headers(&format!("e44{number:05x}"));
                let request = Call {
                    id: &id,
                    line: "POST /draft/2f",
                    headers: &headers,
                    body: &format!("draft notice {number}"),
                    deadline: Duration::from_secs(15),
                };
                call(record, host, &request);
            });
            if number % 16 == 8 {
                // The request comes again, at another machine each time.
                let turn = number / 16;
                let host = deployment.hosts[turn % deployment.hosts.len()].callers;
                scope.spawn(move || {
                    let id = format!("poison-{turn}");
                    let request = Call {
                        id: &id,
                        line: "POST /draft/2f",
                        headers: &headers("e4402b7d"),
                        body: POISON_BODY,
                        deadline: Duration::from_secs(15),
                    };
                    call(record, host, &request);
                });
            }
            thread::sleep(Duration::from_millis(125));
        }
    });
    Ok(judge(record))
}

/// Counts the retries of the harmful request that reached runners after `contact-ms` since its third
/// crash.
pub fn judge(record: &Record) -> Verdict {
    let events = record.events();
    let is_poison = |request: &str| request.starts_with("poison-");
    let mut crashes = Vec::new();
    for crash in events.iter().filter(|event| event.kind == "crashes") {
        let mut runs = events.iter();
        let ran = runs.any(|event| {
            event.kind == "runs" && is_poison(&event.request) && event.place == crash.place
        });
        if ran {
            crashes.push(crash.at);
        }
    }
    let third = crashes.get(2).copied();
    let late = third.map_or(Vec::new(), |third| {
        let late = events.iter().filter(|event| {
            event.kind == "arrives" && is_poison(&event.request) && event.at > third + CONTACT
        });
        late.map(|event| format!("{}@{:.1}s", event.request, event.at.as_secs_f64()))
            .collect()
    });
    let sound = events
        .iter()
        .filter(|event| event.kind == "answered" && event.request.starts_with("sound-"));
    let sound: Vec<bool> = sound
        .map(|event| event.detail.starts_with("200 whole"))
        .collect();
    let served = sound.iter().filter(|is_whole| **is_whole).count();
    Verdict {
        is_broken: late.len() > MAX_RETRIES,
        text: format!(
            "The request crashed {} runners, the third at {:.1} s. {} retries of it reached runners more than {} ms later, {MAX_RETRIES} are allowed: {}. Sound requests answered whole: {served} of {}.",
            crashes.len(),
            third.unwrap_or_default().as_secs_f64(),
            late.len(),
            CONTACT.as_millis(),
            late.join(" "),
            sound.len()
        ),
    }
}
