//! What hosts tell each other: a digest over UDP several times a second, and the raw records of
//! the store over TCP for a host that cannot read it.
//!
//! Hosts learn of each other from the addresses in their settings and in digests. Nothing rests on
//! their agreeing: a digest that is lost makes placement worse, and no promise untrue.

mod message;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::tune;
use slog::{Logger, debug, info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

pub use message::{
    BadMessage, Digest, PromptNews, Records, ServerNews, Snapshot, SuspectNews, WantedNews,
};

use crate::core::CoreHandle;
use crate::feeds::Feeds;
use crate::interface::Platform;

/// Time between two digests in a small fleet.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Digests a second that one host sends in a large fleet, whose rounds are longer instead.
const DIGESTS_PER_S: f64 = 100.0;
/// Time after which a silent host is only tried now and then.
const SILENT: Duration = Duration::from_secs(3);
/// Rounds between two tries to reach a silent host.
const SILENT_ROUNDS: u64 = 10;
/// Time after which a silent host is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Hosts remembered at most.
const HOST_LIMIT: usize = 1_024;
/// Addresses told in one digest.
const ADDRESSES_TOLD: usize = 16;
/// Largest digest.
const DIGEST_BYTES: usize = 16_384;
/// Largest snapshot: the largest value of the store, and the registry.
const SNAPSHOT_BYTES: usize = 8 << 20;
/// Time for a whole snapshot.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(800);
/// Time between two fetches of snapshots.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Addresses of this host and those that it starts with.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address of this host.
    pub ip: Ipv4Addr,
    /// Port of the protocol between hosts, the same on every host.
    pub port: u16,
    /// Hosts known from the settings.
    pub seeds: Vec<Ipv4Addr>,
}

/// The other hosts.
pub struct Peers<P> {
    settings: PeerSettings,
    core: CoreHandle,
    feeds: Rc<Feeds<P>>,
    socket: UdpSocket,
    known: RefCell<HashMap<Ipv4Addr, Known>>,
    push: Notify,
    fetch: Notify,
    logger: Logger,
}

#[derive(Clone, Copy)]
struct Known {
    heard_at: Instant,
    table_revision: u64,
}

impl<P: Platform> Peers<P> {
    /// Opens the sockets of the protocol between hosts.
    ///
    /// # Errors
    ///
    /// Returns an error where the port cannot be used.
    pub async fn bind(
        settings: PeerSettings,
        core: CoreHandle,
        feeds: Rc<Feeds<P>>,
        logger: Logger,
    ) -> io::Result<(Rc<Self>, TcpListener)> {
        let address = SocketAddr::from((settings.ip, settings.port));
        let socket = UdpSocket::bind(address).await?;
        let listener = TcpListener::bind(address).await?;
        let now = Instant::now();
        let seeds = settings.seeds.iter().filter(|&&ip| ip != settings.ip);
        let known = seeds.map(|&ip| (ip, Known::new(now))).collect();
        let peers = Self {
            settings,
            core,
            feeds,
            socket,
            known: RefCell::new(known),
            push: Notify::new(),
            fetch: Notify::new(),
            logger,
        };
        Ok((Rc::new(peers), listener))
    }

    /// Sends the next digest at once.
    pub fn push(&self) {
        self.push.notify_one();
    }

    /// Sends digests until the task is dropped.
    pub async fn send_digests(&self) {
        for round in 0.. {
            let targets = self.targets(round);
            if !targets.is_empty() {
                let digest = self.core.with(crate::core::Core::digest);
                let known = self.told_addresses(round);
                let bytes = digest.encode(&known);
                for &ip in &targets {
                    self.send(ip, &bytes).await;
                }
            }
            let interval = interval(targets.len());
            // A push brings the next round forward; where none comes, the time is simply up.
            let _ = timeout(interval, self.push.notified()).await;
        }
    }

    async fn send(&self, ip: Ipv4Addr, bytes: &[u8]) {
        let to = SocketAddr::from((ip, self.settings.port));
        if let Err(error) = self.socket.send_to(bytes, to).await {
            debug!(self.logger, "peers: Digest not sent."; "host" => %ip, "error" => %error);
        }
    }

    fn targets(&self, round: u64) -> Vec<Ipv4Addr> {
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let is_seed = |ip: &Ipv4Addr| self.settings.seeds.contains(ip);
        known.retain(|ip, peer| peer.age(now) < FORGOTTEN || is_seed(ip));
        let is_due = |peer: &Known| peer.age(now) < SILENT || round.is_multiple_of(SILENT_ROUNDS);
        let due = known.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(&ip, _)| ip).collect()
    }

    /// Returns some of the known addresses, others in each round.
    fn told_addresses(&self, round: u64) -> Vec<Ipv4Addr> {
        let known = self.known.borrow();
        let mut addresses = known.keys().copied().collect::<Vec<_>>();
        addresses.sort_unstable();
        if addresses.len() <= ADDRESSES_TOLD {
            // A small fleet learns all addresses in a few rounds and then needs them rarely.
            let is_due = round < 50 || round.is_multiple_of(SILENT_ROUNDS);
            return if is_due { addresses } else { Vec::new() };
        }
        let start = (round as usize * ADDRESSES_TOLD) % addresses.len();
        addresses.rotate_left(start);
        addresses.truncate(ADDRESSES_TOLD);
        addresses
    }

    /// Takes digests of other hosts until the task is dropped.
    pub async fn receive_digests(&self) {
        let mut buffer = vec![0; DIGEST_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(&buffer[..length], from.ip()),
                Err(error) => {
                    warn!(self.logger, "peers: Receiving failed."; "error" => %error);
                    tokio::time::sleep(FETCH_PAUSE).await;
                }
            }
        }
    }

    fn receive(&self, bytes: &[u8], from: IpAddr) {
        let IpAddr::V4(from) = from else { return };
        let (digest, addresses) = match Digest::decode(bytes) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!(self.logger, "peers: Unreadable digest."; "host" => %from, "error" => %error);
                return;
            }
        };
        let own_revision = self.core.with(|core, now| {
            core.on_digest(now, &digest);
            core.table().map_or(0, |table| table.revision())
        });
        let now = Instant::now();
        let mut known = self.known.borrow_mut();
        let is_new = !known.contains_key(&from);
        known.insert(
            from,
            Known {
                heard_at: now,
                table_revision: digest.table_revision,
            },
        );
        if is_new {
            info!(self.logger, "peers: Host heard."; "host" => %from, "table" => digest.table_revision);
        }
        for ip in addresses {
            if ip != self.settings.ip && known.len() < HOST_LIMIT {
                known.entry(ip).or_insert_with(|| Known::new(now));
            }
        }
        if digest.table_revision > own_revision {
            self.fetch.notify_one();
        }
    }

    /// Fetches the records of hosts that have newer ones, until the task is dropped.
    pub async fn fetch_records(&self) {
        loop {
            self.fetch.notified().await;
            tokio::time::sleep(FETCH_PAUSE).await;
            let own = self
                .core
                .with(|core, _| core.table())
                .map_or(0, |table| table.revision());
            let Some(ip) = self.newest_host(own) else {
                continue;
            };
            match self.fetch_from(ip).await {
                Ok(snapshot) => {
                    info!(self.logger, "peers: Records fetched."; "host" => %ip, "revision" => snapshot.operator.revision);
                    self.feeds.on_snapshot(snapshot);
                }
                Err(error) => {
                    warn!(self.logger, "peers: Fetching records failed."; "host" => %ip, "error" => %error);
                    self.fetch.notify_one();
                }
            }
        }
    }

    fn newest_host(&self, own: u64) -> Option<Ipv4Addr> {
        let known = self.known.borrow();
        let newer = known.iter().filter(|(_, peer)| peer.table_revision > own);
        let newest = newer.max_by_key(|(_, peer)| peer.heard_at);
        newest.map(|(&ip, _)| ip)
    }

    async fn fetch_from(&self, ip: Ipv4Addr) -> io::Result<Snapshot> {
        let address = SocketAddr::from((ip, self.settings.port));
        let read = async {
            let mut stream = TcpStream::connect(address).await?;
            tune(&stream)?;
            let length = stream.read_u32().await? as usize;
            if length > SNAPSHOT_BYTES {
                return Err(io::Error::other(format!("snapshot of {length} bytes")));
            }
            let mut bytes = vec![0; length];
            stream.read_exact(&mut bytes).await?;
            Snapshot::decode(Bytes::from(bytes)).map_err(io::Error::other)
        };
        let result = timeout(SNAPSHOT_WAIT, read).await;
        result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Gives the records to hosts that ask, until the task is dropped.
    pub async fn serve_records(&self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let bytes = self.feeds.snapshot().encode();
                    spawn_local(send_snapshot(stream, bytes, self.logger.clone()));
                }
                Err(error) => {
                    warn!(self.logger, "peers: Accepting failed."; "error" => %error);
                    tokio::time::sleep(FETCH_PAUSE).await;
                }
            }
        }
    }
}

impl Known {
    fn new(now: Instant) -> Self {
        Self {
            heard_at: now,
            table_revision: 0,
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}

fn interval(hosts: usize) -> Duration {
    DIGEST_INTERVAL.max(Duration::from_secs_f64(hosts as f64 / DIGESTS_PER_S))
}

async fn send_snapshot(mut stream: TcpStream, bytes: Bytes, logger: Logger) {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    let write = async {
        stream.write_u32(length).await?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    };
    match timeout(SNAPSHOT_WAIT, write).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(logger, "peers: Snapshot not sent."; "error" => %error),
        Err(_) => debug!(logger, "peers: Snapshot not sent in time."),
    }
}
