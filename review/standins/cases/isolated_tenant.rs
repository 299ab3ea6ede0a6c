//! A newer configuration makes a tenant isolated, and other tenants send prompts with the same parts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Call, call};
use crate::deployment::{Deployment, MODEL_SERVICE, STREAM_ROUTE, config};
use crate::record::Record;
use crate::runner::{Plan, Request, Runner, Service};

/// Time within which a configuration has to be in force, and some more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_500);
const PARTS: &str = "5c1e07a2:2520,91bd3f06:3780";

/// A part as it lies at a runner: the salt and the chain of ids up to it.
type Cached = (String, String, String);

fn tenants(is_isolated: bool) -> String {
    format!(
        r#"{{"name":"sese880","api-keys":["key-of-sese880"],"priority":1,"isolated":{is_isolated}}},{{"name":"vavo12","api-keys":["key-of-vavo12"],"priority":1,"isolated":false}}"#
    )
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Verdict> {
    // The tenant that made each cached part.
    let cache = Mutex::new(HashMap::<Cached, String>::new());
    let on_run = {
        let record = Arc::clone(record);
        move |request: &Request, server: &str| {
            let header = |name| request.head.header(name).unwrap_or("").to_owned();
            let (tenant, salt, mut chain) = (header("tenant"), header("cache-salt"), String::new());
            let mut cache = cache.lock().unwrap();
            let mut makers = Vec::new();
            for part in header("prompt-prefix").split(',') {
                chain = format!("{chain}/{}", part.split(':').next().unwrap_or(""));
                let key = (server.to_owned(), salt.clone(), chain.clone());
                let maker = cache.entry(key).or_insert_with(|| tenant.clone());
                if *maker != tenant {
                    makers.push(maker.clone());
                }
            }
            makers.dedup();
            let used = if makers.is_empty() {
                "none".to_owned()
            } else {
                makers.join("+")
            };
            let detail = format!("tenant {tenant} salt {salt} uses cache of {used}");
            record.add("cache", &request.id, server, detail);
        }
    };
    let plan = |_: &Request, _: &Runner| Plan {
        work: Duration::from_millis(60),
        events: 13,
        step: Duration::from_millis(10),
        ..Plan::default()
    };
    let service = Service {
        name: "llm-pool".to_owned(),
        is_model: true,
        slots: 64,
        queue: 192,
        software: &["v1"],
        records_events: false,
        plan: Box::new(plan),
        on_run: Box::new(on_run),
    };
    let first = config(7, STREAM_ROUTE, MODEL_SERVICE, &tenants(false));
    let deployment = Deployment::start(record, &first, service, 3, 2)?;
    let send = |tenant: &str, count: usize, phase: &str| {
        thread::scope(|scope| {
            for number in 0..count {
                let host = deployment.hosts[number % deployment.hosts.len()].callers;
                let id = format!("{phase}-{tenant}-{number}");
                let headers = format!(
                    "Key: key-of-{tenant}\r\nModel: daka510000\r\nToken-Counts: 6500,13\r\nPrompt-Prefix: {PARTS},{number:08x}:200\r\n"
                );
                scope.spawn(move || {
                    let request = Call {
                        id: &id,
                        line: "POST /draft/2f",
                        headers: &headers,
                        body: "a notice",
                        deadline: Duration::from_secs(15),
                    };
                    call(record, host, &request);
                });
                thread::sleep(Duration::from_millis(100));
            }
        });
    };
    send("sese880", 12, "before");
    let newer = config(9, STREAM_ROUTE, MODEL_SERVICE, &tenants(has_trouble));
    deployment.store.put("op/config", &newer);
    record.add(
        "config",
        "-",
        "store",
        format!("version 9, sese880 isolated: {has_trouble}"),
    );
    thread::sleep(IN_FORCE_AFTER);
    send("sese880", 6, "after");
    send("vavo12", 12, "after");
    Ok(judge(record, has_trouble))
}

fn judge(record: &Record, is_isolated: bool) -> Verdict {
    let events = record.events();
    let crossing = events.iter().filter(|event| {
        event.kind == "cache"
            && event.request.starts_with("after-vavo12")
            && event.detail.contains("uses cache of sese880")
    });
    let crossing: Vec<&str> = crossing.map(|event| event.request.as_str()).collect();
    Verdict {
        is_broken: is_isolated && !crossing.is_empty(),
        text: format!(
            "After the newer configuration {} requests of vavo12 used KV cache that requests of sese880 had made; sese880 was isolated: {is_isolated}. {}",
            crossing.len(),
            crossing.join(" ")
        ),
    }
}
