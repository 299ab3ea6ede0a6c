//! A small deployment: three hosts in three zones before nine runners.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::hosts::{Folder, Host};
use crate::http::{self, Answer};
use crate::record::Record;
use crate::runner::{Faults, Runner, Works};
use crate::store::{Link, Store};

const RUNNERS: usize = 9;
const ZONES: [&str; 3] = ["za-west-a", "za-west-b", "za-west-c"];
/// Memory of a machine.
const MEMORY_MB: u64 = 110;

/// Route of a stream that may be resumed.
pub const NOTICE: &str = r#"{"name":"r-notice","host":"notice.example","path-prefix":"/notice/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"priority":0,"service":"llm-pool","attempts":2,"public":false,"sticky-sessions":true,"resumable":true,"gap-target-ms":400}"#;
const SERVICES: &str = r#"[{"name":"llm-pool","health-path":"/health","connection-limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-cache-tokens":101787,"kv-token-bytes":163840,"link-mbps":550000.0,"moves":true,"backups":true,"stride":4,"max-concurrency":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}]"#;
const LIMITS: &str = r#"{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}"#;
const TENANTS: &str =
    r#"[{"name":"depot","api-keys":["key-depot"],"priority":1,"isolated":false}]"#;

pub struct Deployment {
    pub record: Record,
    store: Store,
    runners: Vec<Runner>,
    hosts: Vec<Host>,
    /// Link of the first host to the store.
    pub link: Link,
    works: Works,
    _files: Folder,
}

impl Deployment {
    /// Starts a deployment with one route, and waits until each host serves streams.
    pub fn start(
        folder: &Path,
        case: &str,
        has_trouble: bool,
        route: &str,
    ) -> Result<Self, String> {
        Self::start_with(folder, case, has_trouble, route, |_| Faults::default())
    }

    /// Does the same with runners that do something wrong, given by their numbers.
    pub fn start_with(
        folder: &Path,
        case: &str,
        has_trouble: bool,
        route: &str,
        faults: impl Fn(usize) -> Faults,
    ) -> Result<Self, String> {
        let works = Works::default();
        let record = Record::create(&folder.join("record.txt"))?;
        record.line(format!("case: {case}, trouble: {has_trouble}"));
        let files = Folder::create()?;
        let store = Store::start(&record)?;
        let config = format!(
            r#"{{"version":7,"routes":[{route}],"services":{SERVICES},"limits":{LIMITS},"tenants":{TENANTS}}}"#
        );
        store.put("op/config", &config);
        store.put("op/version/m0", r#"{"model":"m0","version":1}"#);
        let mut runners = Vec::new();
        for number in 1..=RUNNERS {
            let zone = ZONES[number % ZONES.len()];
            let (id, born) = (format!("i-{number}"), born(number));
            let address = free_address()?;
            store.put(
                &format!("servers/{id}"),
                &Runner::entry(address, zone, "v1", born, "ready"),
            );
            runners.push(Runner::start(
                &id,
                (address, zone),
                "v1",
                born,
                faults(number),
                (&record, &works),
            )?);
        }
        let link = Link::start(store.address)?;
        let mut hosts = Vec::new();
        for (number, zone) in (1..).zip(ZONES) {
            let store = if number == 1 {
                link.address
            } else {
                store.address
            };
            hosts.push(Host::start(&files.0, number, zone, store, MEMORY_MB)?);
        }
        let deployment = Self {
            record,
            store,
            runners,
            hosts,
            link,
            works,
            _files: files,
        };
        for host in &deployment.hosts {
            host.wait_ready()?;
        }
        // The hosts hear of each other meanwhile.
        thread::sleep(Duration::from_secs(1));
        Ok(deployment)
    }

    /// Lets the runners with faults do something wrong, or no longer.
    pub fn set_faulty(&mut self, is_faulty: bool) {
        self.record
            .line(format!("disruption of the runners: {is_faulty}"));
        for runner in &mut self.runners {
            runner.set_faulty(is_faulty);
        }
    }

    /// Returns each pair of runs of one request at two runners, by its id, with the time for which both worked
    /// on it.
    pub fn overlaps(&self) -> Vec<(String, Duration)> {
        let works = self.works.lock().expect("not poisoned");
        let mut runs = Vec::new();
        for (index, work) in works.iter().enumerate().filter(|(_, work)| work.begins) {
            let later = works[index..].iter();
            let mut ends = later.filter(|end| !end.begins && end.id == work.id);
            let end = ends.find(|end| end.runner == work.runner);
            runs.push((
                &work.id,
                work.at,
                end.map_or_else(Instant::now, |end| end.at),
            ));
        }
        let mut overlaps = Vec::new();
        for (index, (id, start, end)) in runs.iter().enumerate() {
            for (_, later, other_end) in runs[index + 1..].iter().filter(|run| run.0 == *id) {
                let until = (*end).min(*other_end);
                let overlap = until.saturating_duration_since((*start).max(*later));
                overlaps.push(((*id).clone(), overlap));
            }
        }
        overlaps
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].kill();
    }

    pub fn start_host_again(&mut self, index: usize) -> Result<(), String> {
        let host = &mut self.hosts[index];
        self.record.line(format!("{} is started again", host.name));
        host.start_again()
    }

    /// Adds a runner with a new id, which serves before its entry is in the store.
    pub fn add_runner(&mut self, id: &str, software: &str) -> Result<(), String> {
        let (address, zone, born) = (free_address()?, ZONES[0], born(100));
        let runner = Runner::start(
            id,
            (address, zone),
            software,
            born,
            Faults::default(),
            (&self.record, &self.works),
        )?;
        self.runners.push(runner);
        let entry = Runner::entry(address, zone, software, born, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        Ok(())
    }

    /// Lets a runner report that it is draining, in the store and in its answers.
    pub fn drain_runner(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let (address, zone) = (runner.address, runner.zone.as_str());
        let entry = Runner::entry(address, zone, "v1", runner.born, "draining");
        self.store.put(&format!("servers/{}", runner.id), &entry);
        runner.leave();
    }

    /// Replaces a runner's process by one with some software, under the same id and address. Its entry is
    /// in the store before it serves.
    pub fn restart_runner(&mut self, index: usize, software: &str) -> Result<(), String> {
        let runner = &mut self.runners[index];
        let id = runner.id.clone();
        self.record.line(format!(
            "runner {id} exits, and starts again under its id with software {software}"
        ));
        runner.kill();
        let (address, zone, born) = (runner.address, runner.zone.clone(), runner.born + 60_000);
        let entry = Runner::entry(address, &zone, software, born, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        *runner = Runner::start(
            &id,
            (address, &zone),
            software,
            born,
            Faults::default(),
            (&self.record, &self.works),
        )?;
        Ok(())
    }
}

fn born(number: usize) -> u64 {
    1_700_000_000_000 + number as u64
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// Sends a request for a stream of some events about a subject of its own, with further headers.
pub fn request_notice(host: SocketAddr, id: &str, events: u32, headers: &str) -> Answer {
    let subject = id.bytes();
    let subject = subject.fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let own = subject ^ 0x5a5a_5a5a;
    let text = format!(
        "POST /notice/{id} HTTP/1.1\r\nHost: notice.example\r\nRequest-Attempt-Id: {id}\r\nModel: m0\r\nToken-Counts: 628,{events}\r\nPrompt-Prefix: {subject:08x}:119,{own:08x}:509\r\nDeadline-Ms: 15000\r\nKey: key-depot\r\n{headers}Content-Length: 2\r\n\r\n{{}}"
    );
    http::request(host, &text, Duration::from_secs(15))
}

/// Returns the id of the last whole event of an answer with success, 0 if there is none.
pub fn last_event(answer: &Answer) -> u32 {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    let last = ids.filter_map(|id| id.parse().ok()).next_back();
    last.filter(|_| answer.status == 200).unwrap_or(0)
}
