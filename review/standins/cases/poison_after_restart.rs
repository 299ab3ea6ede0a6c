//! A request that crashes runners comes again while the machines are stopped and started in turn.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::poison_stream::judge;
use crate::Verdict;
use crate::client::{Call, call};
use crate::deployment::{Deployment, KEY, PLAIN_ROUTES, PLAIN_SERVICE, TENANT, config};
use crate::record::Record;
use crate::runner::{Plan, Request, Runner, Service};

/// `contact-ms`, and some more.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_300);
/// `grace-s`.
const GRACE: Duration = Duration::from_secs(8);
const POISON_LINE: &str = "GET /lookup/poison";

pub fn play(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    let work_ms: u64 = std::env::var("WORK_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(300);
    let gap_ms: u64 = std::env::var("GAP_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(15);
    let plan = move |request: &Request, _: &Runner| {
        let is_poison = request.head.line.starts_with(POISON_LINE);
        Plan {
            work: Duration::from_millis(if is_poison { 20 } else { work_ms }),
            crash_after: is_poison.then_some(Duration::from_millis(20)),
            ..Plan::default()
        }
    };
    let service = Service {
        name: "booking-app".to_owned(),
        is_model: false,
        slots: 6,
        queue: 24,
        software: &["v1"],
        records_events: false,
        plan: Box::new(plan),
        on_run: Box::new(|_, _| {}),
    };
    let config = config(7, PLAIN_ROUTES, PLAIN_SERVICE, TENANT);
    let mut deployment = Deployment::start(record, &config, service, 6, 5)?;
    let hosts = Mutex::new(deployment.hosts.iter().map(|host| Some(host.callers)).collect::<Vec<_>>());
    let in_touch = Mutex::new(hosts.lock().unwrap().clone());
    let is_over = AtomicBool::new(false);
    let restarted = thread::scope(|scope| {
        scope.spawn(|| {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let open: Vec<_> = hosts.lock().unwrap().iter().flatten().copied().collect();
                let host = open[number % open.len()];
                scope.spawn(move || {
                    let request = Call {
                        id: &format!("sound-{number}"),
                        line: "POST /booking/2f",
                        headers: KEY,
                        body: &format!("coach {number}"),
                        deadline: Duration::from_secs(4),
                    };
                    call(record, host, &request);
                });
                number += 1;
                thread::sleep(Duration::from_millis(gap_ms));
            }
        });
        scope.spawn(|| {
            let mut turn = 0;
            while !is_over.load(Ordering::SeqCst) {
                let open: Vec<_> = in_touch.lock().unwrap().iter().flatten().copied().collect();
                let host = open[turn % open.len()];
                scope.spawn(move || {
                    let request = Call {
                        id: &format!("poison-{turn}"),
                        line: POISON_LINE,
                        headers: KEY,
                        body: "",
                        deadline: Duration::from_secs(4),
                    };
                    call(record, host, &request);
                });
                turn += 1;
                thread::sleep(Duration::from_millis(700));
            }
        });
        let restarted = (|| {
            thread::sleep(Duration::from_secs(8));
            for number in 0..deployment.hosts.len() {
                let host = &mut deployment.hosts[number];
                let address = host.callers;
                if has_trouble {
                    record.add("stops", "-", &host.name, "SIGTERM");
                    in_touch.lock().unwrap()[number] = None;
                    hosts.lock().unwrap()[number] = None;
                    host.terminate();
                    host.restart(GRACE)?;
                    record.add("starts", "-", &host.name, "");
                    if !host.wait_ready() {
                        return Err(std::io::Error::other("a host is not ready"));
                    }
                    hosts.lock().unwrap()[number] = Some(address);
                }
                let started = host.started_at;
                thread::sleep(IN_TOUCH_AFTER.saturating_sub(started.elapsed()));
                in_touch.lock().unwrap()[number] = Some(address);
                thread::sleep(Duration::from_secs(5));
            }
            Ok(())
        })();
        is_over.store(true, Ordering::SeqCst);
        restarted
    });
    restarted?;
    Ok(judge(record))
}
