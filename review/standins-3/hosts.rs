//! Hosts of a small deployment, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

const PROGRAM: &str = "target/release/hickoryhall-platform";
/// Ports below the ephemeral range.
const CALLERS_PORT: u16 = 8_782;
const READINESS_PORT: u16 = 8_789;
const PEER_PORT: u16 = 7_340;

/// Returns a loopback address for the host with a number; each process of a case has its own block.
pub fn host_ip(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        100 + (process % 90) as u8,
        (process / 90 % 250) as u8,
        number,
    )
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: File,
    child: Child,
}

impl Host {
    /// Starts a host. `zone` is its zone, `store` the address at which it reaches the store.
    pub fn start(
        folder: &Path,
        number: u8,
        zone: &str,
        store: SocketAddr,
        memory_mb: u64,
    ) -> Result<Self, String> {
        let ip = host_ip(number);
        let name = format!("front-{zone}-{number}");
        let seeds = (1..=3).map(|seed| format!("\"{}:8783\"", host_ip(seed)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let settings = format!(
            r#"{{"host":"{name}","failure_domain":"{zone}","ip":"{ip}","callers":"{ip}:{CALLERS_PORT}","readiness":"{ip}:{READINESS_PORT}","peer_port":{PEER_PORT},"metrics_port":9464,"seeds":[{seeds}],"store":"{store}","is_first_start":true,"log_format":"json","limits":{{"memory_mb":{memory_mb},"file_descriptors":4100}},"bounds":{{"grace_s":8,"retry_ratio":0.2,"retry_extra":54,"retry_window_s":10,"lease_ms":3000,"lease_min_ms":1000,"weights_ms":8000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        Ok(Self {
            name,
            callers: (ip, CALLERS_PORT).into(),
            readiness: (ip, READINESS_PORT).into(),
            child: spawn(&path, &log)?,
            settings: path,
            log,
        })
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) -> Result<(), String> {
        let settings = std::fs::read_to_string(&self.settings);
        let settings = settings.map_err(|error| error.to_string())?;
        let settings = settings.replace(r#""is_first_start":true"#, r#""is_first_start":false"#);
        std::fs::write(&self.settings, settings).map_err(|error| error.to_string())?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        let text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < end {
            if http::request(self.readiness, text, Duration::from_secs(1)).status == 200 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &File) -> Result<Child, String> {
    let log = || log.try_clone().map_err(|error| error.to_string());
    Command::new(PROGRAM)
        .env("HICKORYHALL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log()?)
        .stderr(log()?)
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder that is removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
