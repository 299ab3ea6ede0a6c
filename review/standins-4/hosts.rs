//! The platform's part for the hosts: starts them with the command of the deploy file, and starts a process
//! that has ended again.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::get_status;
use crate::record::Record;

/// Program that `deploy/system.toml` starts.
const PROGRAM: &str = "target/release/hickoryhall-platform";
/// Memory of each machine in MiB, and its descriptors: those of the sheet's machines.
const MEMORY_MB: u64 = 110;
const FILE_DESCRIPTORS: u64 = 4_100;
/// First of the ports for the protocol between hosts.
const PEER_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;
const FRONT_PORT: u16 = 8_782;
const READINESS_PORT: u16 = 8_789;
/// Interval at which it is seen whether a process runs.
const PROCESS_CHECK: Duration = Duration::from_millis(10);
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// One machine with its process.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    settings_text: String,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    is_over: AtomicBool,
}

/// Returns loopback addresses at which the ports of a host are free.
fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let block = (std::process::id() % 200) as u8;
    let ports = [
        FRONT_PORT,
        READINESS_PORT,
        PEER_PORT,
        PEER_PORT + 1,
        METRICS_PORT,
    ];
    let is_free = |ip: &Ipv4Addr| {
        ports
            .iter()
            .all(|port| TcpListener::bind((*ip, *port)).is_ok())
    };
    let addresses = (1..=250).map(|last| Ipv4Addr::new(127, 81, block, last));
    addresses.filter(is_free).take(count).collect()
}

/// Starts hosts that are seeds of each other.
pub fn start(
    count: usize,
    store: SocketAddr,
    folder: &Path,
    record: &Arc<Record>,
) -> Vec<Arc<Host>> {
    let ips = free_addresses(count);
    let seeds = ips.iter().map(|ip| format!("\"{ip}:8783\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let hosts = ips.iter().enumerate().map(|(number, ip)| {
        let name = format!("front-za-west-a-{}", number + 1);
        let front = SocketAddr::from((*ip, FRONT_PORT));
        let readiness = SocketAddr::from((*ip, READINESS_PORT));
        let settings_text = format!(
            r#"{{"host":"{name}","failure_domain":"za-west-a","ip":"{ip}","callers":"{front}","readiness":"{readiness}","peer_port":{PEER_PORT},"metrics_port":{METRICS_PORT},"seeds":[{seeds}],"store":"{store}","is_first_start":IS_FIRST,"log_format":"json","limits":{{"memory_mb":{MEMORY_MB},"file_descriptors":{FILE_DESCRIPTORS}}},"bounds":{{"grace_s":8,"retry_ratio":0.2,"retry_extra":54,"retry_window_s":10,"lease_ms":3000,"lease_min_ms":1000,"weights_ms":8000}}}}"#
        );
        let host = Arc::new(Host {
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            name,
            front,
            readiness,
            settings_text,
            child: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        host.start_process(true, record);
        let (watched, record) = (Arc::clone(&host), Arc::clone(record));
        thread::spawn(move || watched.keep_running(&record));
        host
    });
    hosts.collect()
}

impl Host {
    fn start_process(&self, is_first: bool, record: &Record) {
        let settings = self
            .settings_text
            .replace("IS_FIRST", &is_first.to_string());
        fs::write(&self.settings, settings).expect("the settings file is written");
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("HICKORYHALL_SETTINGS", &self.settings)
            .stdout(log.expect("the log file opens"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file starts");
        record.line(&format!("{} starts, process {}", self.name, child.id()));
        *self.child.lock().expect("no thread panics") = Some(child);
    }

    /// Returns whether the host answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        get_status(self.readiness, "/-/readiness") == Some(200)
    }

    /// Watches the process until the run is over.
    fn keep_running(&self, record: &Record) {
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(PROCESS_CHECK);
            if !self.check_process(record) {
                thread::sleep(RESTART_DELAY);
                if !self.is_over.load(Ordering::SeqCst) {
                    self.start_process(false, record);
                }
            }
        }
    }

    /// Returns whether the process runs, or was ended here.
    fn check_process(&self, record: &Record) -> bool {
        let mut child = self.child.lock().expect("no thread panics");
        let has_ended = child
            .as_mut()
            .is_some_and(|process| process.try_wait().is_ok_and(|ended| ended.is_some()));
        if has_ended {
            *child = None;
            record.summary(&format!("{}: process ends by itself", self.name));
        }
        !has_ended
    }

    /// Kills the process, as the platform's final fault does; it is started again by
    /// [`start_again`](Self::start_again).
    pub fn kill(&self, record: &Record) {
        if let Some(mut process) = self.child.lock().expect("no thread panics").take() {
            record.line(&format!("{} is killed", self.name));
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn start_again(&self, record: &Record) {
        self.start_process(false, record);
    }

    /// Ends the process for good.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        thread::sleep(PROCESS_CHECK * 2);
        if let Some(mut process) = self.child.lock().expect("no thread panics").take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Waits until all hosts are ready; returns whether they became so in time.
pub fn wait_ready(hosts: &[Arc<Host>], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if hosts.iter().all(|host| host.is_ready()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
