//! Watch over callers' connections, which `tiny_http` leaves without any timeout.
//!
//! One thread reads the system's table of TCP connections twice a second. It notices callers that
//! hung up, and shuts connections down that hold no request for too long or send one too slowly.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use procfs::net::{TcpNetEntry, TcpState};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::SockRef;

use crate::ServerLimits;

/// Time between two looks at the connections.
const SCAN_INTERVAL: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request is in progress, or its head is not complete.
    Idle,
    /// The body is on its way.
    Reading,
    /// A worker has the request.
    Working,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    since: Instant,
    gone: Arc<AtomicBool>,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    stopped: AtomicBool,
}

/// All connections of one server.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

/// One request in progress; dropping it ends the request.
pub struct Caller {
    shared: Arc<Shared>,
    address: Option<SocketAddr>,
    gone: Arc<AtomicBool>,
}

impl Callers {
    /// Starts the watch over the connections to a local address.
    ///
    /// # Panics
    ///
    /// Panics where the system refuses a thread.
    #[must_use]
    pub fn watch(local: SocketAddr, limits: ServerLimits) -> Self {
        let callers = Self {
            shared: Arc::new(Shared::default()),
        };
        let shared = Arc::clone(&callers.shared);
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || {
                while !shared.stopped.load(Ordering::Relaxed) {
                    shared.scan(local, limits);
                    thread::sleep(SCAN_INTERVAL);
                }
            })
            .expect("a thread at the start of a server");
        callers
    }

    /// Records that a worker took a request of a caller.
    #[must_use]
    pub fn begin(&self, address: Option<SocketAddr>) -> Caller {
        let gone = Arc::new(AtomicBool::new(false));
        if let Some(address) = address {
            let connection = Connection {
                phase: Phase::Working,
                since: Instant::now(),
                gone: Arc::clone(&gone),
            };
            self.shared.lock().insert(address, connection);
        }
        Caller {
            shared: Arc::clone(&self.shared),
            address,
            gone,
        }
    }

    /// Returns the number of open connections, as last seen.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.lock().len()
    }

    /// Ends the watch.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Caller {
    /// Tells whether the caller has hung up.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }

    /// Runs a read of the body, which must end within the limit for bodies.
    pub(crate) fn reading<T>(&self, read: impl FnOnce() -> T) -> T {
        self.set_phase(Phase::Reading);
        let result = read();
        self.set_phase(Phase::Working);
        result
    }

    fn set_phase(&self, phase: Phase) {
        let Some(address) = self.address else { return };
        if let Some(connection) = self.shared.lock().get_mut(&address) {
            connection.phase = phase;
            connection.since = Instant::now();
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.set_phase(Phase::Idle);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn scan(&self, local: SocketAddr, limits: ServerLimits) {
        let now = Instant::now();
        let Some(states) = connection_states(local) else {
            return;
        };
        let overdue = self.update(now, &states, limits);
        if !overdue.is_empty() {
            shut_down(local, &overdue);
        }
    }

    /// Takes in the states of all connections, read at `now`, and returns those to shut down.
    fn update(
        &self,
        now: Instant,
        states: &HashMap<SocketAddr, TcpState>,
        limits: ServerLimits,
    ) -> Vec<SocketAddr> {
        let mut connections = self.lock();
        connections.retain(|address, connection| {
            let is_newer = connection.since >= now;
            let open = is_newer || states.get(address).is_some_and(is_open);
            if !open {
                connection.gone.store(true, Ordering::Relaxed);
            }
            open || connection.phase != Phase::Idle
        });
        for (&address, _) in states.iter().filter(|(_, state)| is_open(state)) {
            connections.entry(address).or_insert_with(|| Connection {
                phase: Phase::Idle,
                since: now,
                gone: Arc::default(),
            });
        }
        let overdue = |connection: &Connection| match connection.phase {
            Phase::Idle => now.saturating_duration_since(connection.since) > limits.idle_connection,
            Phase::Reading => now.saturating_duration_since(connection.since) > limits.body_read,
            Phase::Working => false,
        };
        connections
            .iter()
            .filter(|(_, c)| overdue(c))
            .map(|(&address, _)| address)
            .collect()
    }
}

fn is_open(state: &TcpState) -> bool {
    matches!(state, TcpState::Established)
}

/// Returns the state of each connection to a local address, by the caller's address.
fn connection_states(local: SocketAddr) -> Option<HashMap<SocketAddr, TcpState>> {
    let entries = if local.is_ipv4() {
        procfs::net::tcp()
    } else {
        procfs::net::tcp6()
    };
    let is_ours = |entry: &TcpNetEntry| {
        entry.local_address.port() == local.port() && entry.state != TcpState::Listen
    };
    let states = entries.ok()?.into_iter().filter(is_ours);
    Some(
        states
            .map(|entry| (entry.remote_address, entry.state))
            .collect(),
    )
}

/// Shuts connections of this process down; the thread that reads from one sees its end.
fn shut_down(local: SocketAddr, callers: &[SocketAddr]) {
    let Ok(entries) = fs::read_dir("/proc/self/fd") else {
        return;
    };
    let fds = entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    for socket in fds.filter_map(duplicate) {
        let socket = SockRef::from(&socket);
        let ends = |address: std::io::Result<socket2::SockAddr>| address.ok()?.as_socket();
        let is_ours = ends(socket.local_addr()).is_some_and(|a| a.port() == local.port());
        if is_ours && ends(socket.peer_addr()).is_some_and(|peer| callers.contains(&peer)) {
            // It may have ended by itself meanwhile.
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Duplicates a descriptor of this process, so that the socket that is checked is the one that is
/// shut down, even when its number is used again meanwhile.
fn duplicate(fd: i32) -> Option<OwnedFd> {
    let own_pid: Pid = getpid();
    let own = pidfd_open(own_pid, PidfdFlags::empty()).ok()?;
    pidfd_getfd(own, fd, PidfdGetfdFlags::empty()).ok()
}
