//! The cases, each with a small fleet.

use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{Attempt, Bookers, End, run_crowd};
use crate::hosts::{self, Host, MEMORY_MB};
use crate::moved_route;
use crate::rank;
use crate::record::Record;
use crate::runners::{Runner, Runs, SHORT_STREAMS, Work};
use crate::store::Store;

const HOSTS: usize = 2;
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Time of ordinary traffic before the disruption.
const CALM: Duration = Duration::from_secs(4);
/// Longest time of the disruption, and the time of a run without one.
const TROUBLE_LIMIT: Duration = Duration::from_secs(45);
const QUIET_TIME: Duration = Duration::from_secs(15);
/// Ends of the processes of one machine from which the rule `Fault` counts the machine.
const ENDS_OF_A_FAULT: usize = 3;
/// Connections that the rule `LOST` allows to be closed without an answer.
const ALLOWED_LOSSES: usize = 3;
/// Ordinary clients of each host.
const BOOKERS: usize = 10;

/// The table of the runs, after the first site's sheet.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"possession-scan","host":"svc.example","path-prefix":"/scan/","kind":"streaming","timeout-ms":5000,"target-latency-ms":600,"gap-target-ms":400,"priority":1,"service":"llm","attempts":1,"public":false,"sticky-sessions":true,"resumable":false},
{"name":"notice-draft","host":"svc.example","path-prefix":"/draft/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"gap-target-ms":400,"priority":0,"service":"llm","attempts":2,"public":false,"sticky-sessions":true,"resumable":true},
{"name":"coach-booking","host":"svc.example","path-prefix":"/booking/","kind":"unsafe","timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"booking","attempts":1,"public":false}],
"services":[
{"name":"llm","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0"}]}},
{"name":"booking","health-path":"/health","connection-limit":100,"protocol":"h1","tls":false}],
"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"karoo","api-keys":["key-a"],"priority":1,"isolated":false}]}"#;

/// A store, runners and hosts, which end with it.
pub struct Fleet {
    folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Store,
    pub runs: Runs,
    model_runners: Vec<Arc<Runner>>,
    pub hosts: Vec<Arc<Host>>,
    crowds: Vec<Child>,
}

/// Runners of one kind: the start of their ids, their number, work and slots.
pub type RunnerGroup = (&'static str, usize, Work, usize);

impl Drop for Fleet {
    fn drop(&mut self) {
        for crowd in &mut self.crowds {
            let _ = crowd.kill();
            let _ = crowd.wait();
        }
        self.hosts.iter().for_each(|host| host.stop());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a store with a table, runners and hosts, and waits until the hosts are ready.
    pub fn start(case_folder: &Path, config: &str, groups: &[RunnerGroup]) -> Result<Self, String> {
        let record = Record::create(case_folder).map_err(|error| error.to_string())?;
        let record = Arc::new(record);
        let name = format!("hickoryhall-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (store, runs) = (Store::start(), Runs::default());
        store.put("op/config", config);
        store.put("op/version/m0", r#"{"model":"m0","version":1}"#);
        let mut model_runners = Vec::new();
        for &(prefix, count, work, slots) in groups {
            for number in 1..=count {
                let id = format!("{prefix}-{number}");
                let runner = Runner::start(&id, work, slots, &store, &runs);
                if work != Work::Bookings {
                    model_runners.push(runner);
                }
            }
        }
        let hosts = hosts::start(HOSTS, store.address, &folder, &record);
        let fleet = Self {
            folder,
            record,
            store,
            runs,
            model_runners,
            hosts,
            crowds: Vec::new(),
        };
        if !hosts::wait_ready(&fleet.hosts, READY_LIMIT) {
            return Err("not all hosts became ready".to_owned());
        }
        Ok(fleet)
    }

    /// Starts the clients of a crowd at each host, in processes of their own.
    fn start_crowds(&mut self, kind: &str, count: usize, limit: Duration) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        for host in &self.hosts {
            let crowd = Command::new(&program)
                .args(["crowd", kind, &host.front.to_string(), &count.to_string()])
                .arg(limit.as_secs().to_string())
                .spawn()
                .map_err(|error| error.to_string())?;
            self.record
                .line(&format!("crowd of {count} clients begins at {}", host.name));
            self.crowds.push(crowd);
        }
        Ok(())
    }

    /// Waits until the processes of all machines have ended often enough, or for the limit.
    fn wait_for_faults(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let is_fault = |host: &Arc<Host>| host.own_ends() >= ENDS_OF_A_FAULT;
        while Instant::now() < end && !self.hosts.iter().all(is_fault) {
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns whether the rules held; says what was seen.
    fn judge(&self, attempts: &[Attempt]) -> Result<bool, String> {
        let runs = self.runs.lock().expect("no thread panics");
        let served = attempts
            .iter()
            .filter(|attempt| attempt.end == End::Answered(200));
        let served = served.count();
        let lost = attempts.iter().filter(|attempt| {
            attempt.is_kept && attempt.end == End::Closed && runs.contains_key(&attempt.id)
        });
        let lost = lost.map(|attempt| attempt.id.as_str()).collect::<Vec<_>>();
        let twice = attempts
            .iter()
            .filter(|attempt| runs.get(&attempt.id) > Some(&1))
            .count();
        let record = &self.record;
        record.summary(&format!(
            "bookings: {} sent, {served} answered with 200, {twice} run twice",
            attempts.len()
        ));
        record.summary(&format!(
            "bookings on kept connections that ran at a sound runner and whose connection was closed without an answer: {} ({} allowed)",
            lost.len(),
            ALLOWED_LOSSES
        ));
        lost.iter()
            .for_each(|id| record.line(&format!("lost: {id}")));
        for host in &self.hosts {
            record.summary(&format!(
                "{}: peak memory {} KiB of {} KiB, processes that ended by themselves: {}",
                host.name,
                host.peak_kib(),
                MEMORY_MB << 10,
                host.own_ends()
            ));
        }
        if served == 0 {
            return Err("no booking was served".to_owned());
        }
        let is_fault = |host: &&Arc<Host>| host.own_ends() >= ENDS_OF_A_FAULT;
        let faults = self.hosts.iter().filter(is_fault).count();
        let is_broken = faults >= 2 || lost.len() > ALLOWED_LOSSES;
        record.summary(if is_broken { "BROKEN" } else { "held" });
        Ok(!is_broken)
    }
}

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let (model_runners, troubled, crowd, count) = match case {
        "long-prefixes" => (3, 0, "long-prefixes", 500),
        "endless-events" => (5, 3, "streams", 160),
        "moved-route" => return moved_route::run(folder, has_trouble),
        "rank" => return rank::run(folder, has_trouble),
        other => return Err(format!("no case {other}")),
    };
    let groups = [
        ("b", 3, Work::Bookings, 6),
        ("m", model_runners, SHORT_STREAMS, 64),
    ];
    let mut fleet = Fleet::start(folder, CONFIG, &groups)?;
    let bookers = fleet.hosts.iter().enumerate().map(|(number, host)| {
        let name = format!("h{number}");
        Bookers::start(host.front, &name, BOOKERS, &fleet.record)
    });
    let bookers = bookers.collect::<Vec<_>>();
    thread::sleep(CALM);
    let limit = if has_trouble {
        TROUBLE_LIMIT
    } else {
        QUIET_TIME
    };
    if has_trouble {
        for runner in fleet.model_runners.iter().take(troubled) {
            fleet
                .record
                .line(&format!("runner {} is in trouble from now on", runner.id));
            runner.is_in_trouble.store(true, Ordering::SeqCst);
        }
    }
    // The crowd of the second case consists of ordinary clients, which come without trouble, too.
    if has_trouble || troubled > 0 {
        fleet.start_crowds(crowd, count, limit)?;
    }
    fleet.wait_for_faults(limit);
    let attempts = bookers.into_iter().flat_map(Bookers::stop);
    let attempts = attempts.collect::<Vec<_>>();
    fleet.judge(&attempts)
}

/// Runs the clients of a crowd at one host.
pub fn crowd(kind: &str, front: &str, count: &str, seconds: &str) -> Result<bool, String> {
    let front = front.parse().map_err(|_| "no address".to_owned())?;
    let count = count.parse().map_err(|_| "no count".to_owned())?;
    let seconds = seconds.parse().map_err(|_| "no seconds".to_owned())?;
    let process = std::process::id();
    let request = |number: usize| match kind {
        "long-prefixes" => long_prefix_request(&format!("c{process}-{number}")),
        _ => stream_request(&format!("c{process}-{number}"), number),
    };
    let counts = run_crowd(front, count, Duration::from_secs(seconds), request);
    println!(
        "crowd at {front}: {} requests sent, {} answered, {} connections closed",
        counts.sent.load(Ordering::SeqCst),
        counts.answered.load(Ordering::SeqCst),
        counts.closed.load(Ordering::SeqCst)
    );
    Ok(true)
}

/// Returns a request whose head is legal in size and has very many short entries; its body stops ten
/// bytes before its end.
fn long_prefix_request(id: &str) -> Vec<u8> {
    const ENTRIES: usize = 3_900;
    const BODY_BYTES: usize = 600;
    let prefix = vec!["a:1"; ENTRIES].join(",");
    let mut request = format!(
        "POST /draft/notice HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nModel: m0\r\nToken-Counts: {ENTRIES},20\r\nPrompt-Prefix: {prefix}\r\nDeadline-Ms: 15000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    assert!(request.len() < 16_384, "the head is within the limit");
    request.push_str(&"x".repeat(BODY_BYTES - 10));
    request.into_bytes()
}

/// Returns an ordinary request for a stream that may not be resumed.
fn stream_request(id: &str, number: usize) -> Vec<u8> {
    let body = "x".repeat(600);
    let request = format!(
        "POST /scan/notice HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nModel: m0\r\nToken-Counts: 1460,13\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,{number:08x}:250\r\nDeadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    request.into_bytes()
}
