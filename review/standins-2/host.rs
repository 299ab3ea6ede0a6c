//! Starts and ends processes of the project, as the deploy file does.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/hickoryhall-platform";
const CALLERS_PORT: u16 = 8_782;
const CONTROL_PORT: u16 = 8_783;
const READINESS_PORT: u16 = 8_789;
const PEER_PORT: u16 = 7_340;

/// Settings of a host that differ between cases.
#[derive(Clone)]
pub struct HostSettings {
    pub name: String,
    pub domain: String,
    pub ip: String,
    /// Addresses of hosts that a process knows from its start.
    pub seeds: Vec<String>,
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub is_first_start: bool,
}

/// A process of the project.
pub struct Host {
    settings: HostSettings,
    folder: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a process and waits until it says that it is ready.
    pub fn start(settings: HostSettings, folder: &Path) -> io::Result<Self> {
        let child = spawn(&settings, folder)?;
        let mut host = Self {
            settings,
            folder: folder.to_owned(),
            child,
        };
        host.wait_until_ready()?;
        Ok(host)
    }

    /// Returns the memory of the process in bytes; `None` if it has ended.
    pub fn memory_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib = line.split_whitespace().nth(1)?.parse::<u64>().ok()?;
        Some(kib << 10)
    }

    /// Sends the process SIGTERM.
    pub fn stop(&self) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", id.as_str()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("no signal sent"))
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.settings.is_first_start = false;
        self.child = spawn(&self.settings, &self.folder)?;
        self.wait_until_ready()
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.child.try_wait()?.is_some() {
                return Err(io::Error::other("the process has ended"));
            }
            if is_ready(address(&self.settings.ip, READINESS_PORT)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn address(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("loopback address"), port)
}

fn spawn(settings: &HostSettings, folder: &Path) -> io::Result<Child> {
    let HostSettings {
        name,
        domain,
        ip,
        seeds,
        store,
        memory_mb,
        is_first_start,
    } = settings;
    let seeds = seeds
        .iter()
        .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"host":"{name}","failure_domain":"{domain}","ip":"{ip}",
"callers":"{ip}:{CALLERS_PORT}","readiness":"{ip}:{READINESS_PORT}","peer_port":{PEER_PORT},"metrics_port":9464,
"seeds":[{seeds}],"store":"{store}","is_first_start":{is_first_start},"log_format":"json",
"limits":{{"memory_mb":{memory_mb},"file_descriptors":4100}},
"bounds":{{"grace_s":8,"retry_ratio":0.2,"retry_extra":54,"retry_window_s":10,"lease_ms":3000,"lease_min_ms":1000,"weights_ms":8000}}}}"#
    );
    let path = folder.join(format!("settings-{ip}.json"));
    fs::write(&path, text)?;
    let log = fs::OpenOptions::new();
    let log = log
        .clone()
        .create(true)
        .append(true)
        .open(folder.join(format!("{ip}.log")))?;
    Command::new(PROGRAM)
        .env_clear()
        .env("HICKORYHALL_SETTINGS", path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn is_ready(readiness: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect_timeout(&readiness, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut answer = [0; 12];
    stream
        .write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        .and_then(|()| stream.read_exact(&mut answer))
        .is_ok_and(|()| answer.ends_with(b"200"))
}

/// Returns a loopback address at which the ports of a host are free.
pub fn free_ip(number: u8) -> String {
    let process = std::process::id();
    for attempt in 0..200 {
        let ip = format!("127.{}.{}.{number}", 60 + attempt, process % 250);
        let is_free = |port| TcpListener::bind((ip.as_str(), port)).is_ok();
        if [
            CALLERS_PORT,
            READINESS_PORT,
            PEER_PORT,
            PEER_PORT + 1,
            9_464,
        ]
        .into_iter()
        .all(is_free)
        {
            return ip;
        }
    }
    panic!("no loopback address with free ports");
}
