//! What hosts tell each other: a digest over UDP several times a second, and the raw records of
//! the store over TCP for a host that cannot read it.
//!
//! Hosts learn of each other from the addresses in their settings and in digests. Nothing rests on
//! their agreeing: a digest that is lost makes placement worse, and no promise untrue.

mod message;
mod neighbors;

use std::cell::RefCell;
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
    BadMessage, Digest, PromptNews, Records, Scope, ServerNews, Snapshot, SuspectNews, WantedNews,
};
use neighbors::PRESENCES_PER_S;
pub use neighbors::{Me, Neighbors};

use crate::core::CoreHandle;
use crate::feeds::Feeds;
use crate::interface::Platform;

/// Time between two digests to a small group.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Digests a second that one host sends to a large group, whose rounds are longer instead.
const DIGESTS_PER_S: f64 = 150.0;
/// Time between two sums of a group's load.
const SUM_INTERVAL: Duration = Duration::from_millis(150);
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
    /// This host.
    pub me: Me,
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
    neighbors: RefCell<Neighbors>,
    push: Notify,
    fetch: Notify,
    logger: Logger,
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
        let address = SocketAddr::from((settings.me.ip, settings.port));
        let socket = UdpSocket::bind(address).await?;
        let listener = TcpListener::bind(address).await?;
        let neighbors = Neighbors::new(Instant::now(), settings.me, settings.seeds.clone());
        let peers = Self {
            settings,
            core,
            feeds,
            socket,
            neighbors: RefCell::new(neighbors),
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

    /// Sends digests until the task is dropped: to each member of the group, and in turn to all
    /// others.
    pub async fn send_digests(&self) {
        let mut turn = Turn::default();
        let mut is_pushed = false;
        for round in 0.. {
            let now = Instant::now();
            self.neighbors.borrow_mut().expire(now);
            let (group, members, addresses) = {
                let neighbors = self.neighbors.borrow();
                let addresses = neighbors.told_addresses(round);
                (neighbors.group(now), neighbors.members(now), addresses)
            };
            let interval = interval(members.len());
            if !members.is_empty() {
                let digest = self.core.with(|core, now| core.digest(now, group));
                self.send_all(&members, &digest.encode(&addresses)).await;
            }
            let others = self.neighbors.borrow().others(now, turn.number);
            let others = if is_pushed {
                others
            } else {
                turn.next(others, interval)
            };
            if !others.is_empty() {
                let presence = self.core.with(|core, now| core.presence(now, group));
                self.send_all(&others, &presence.encode(&addresses)).await;
            }
            // A push brings the next round forward; where none comes, the time is simply up.
            is_pushed = timeout(interval, self.push.notified()).await.is_ok();
        }
    }

    /// Sends the sum of the group's load to other groups, where that is this host's part, until
    /// the task is dropped.
    pub async fn send_sums(&self) {
        loop {
            tokio::time::sleep(SUM_INTERVAL).await;
            let now = Instant::now();
            let (group, targets, hosts) = {
                let neighbors = self.neighbors.borrow();
                let targets = neighbors.sum_targets(now);
                (neighbors.group(now), targets, neighbors.member_hosts(now))
            };
            if targets.is_empty() {
                self.core.with(|core, _| core.end_group_digests());
                continue;
            }
            let sum = self
                .core
                .with(|core, now| core.group_digest(now, group, hosts));
            self.send_all(&targets, &sum.encode(&[])).await;
        }
    }

    async fn send_all(&self, targets: &[Ipv4Addr], bytes: &[u8]) {
        for &ip in targets {
            let to = SocketAddr::from((ip, self.settings.port));
            if let Err(error) = self.socket.send_to(bytes, to).await {
                debug!(self.logger, "peers: Digest not sent."; "host" => %ip, "error" => %error);
            }
        }
    }

    /// Takes digests of other hosts until the task is dropped.
    pub async fn receive_digests(&self) {
        let mut buffer = vec![0; DIGEST_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(&buffer[..length], from.ip()).await,
                Err(error) => {
                    warn!(self.logger, "peers: Receiving failed."; "error" => %error);
                    tokio::time::sleep(FETCH_PAUSE).await;
                }
            }
        }
    }

    async fn receive(&self, bytes: &[u8], from: IpAddr) {
        let IpAddr::V4(from) = from else { return };
        match Digest::decode(bytes) {
            Ok((digest, _)) if matches!(digest.scope, Scope::Group { .. }) => {
                self.receive_sum(digest).await;
            }
            Ok((digest, addresses)) => self.receive_digest(&digest, addresses, from),
            Err(error) => {
                warn!(self.logger, "peers: Unreadable digest."; "host" => %from, "error" => %error);
            }
        }
    }

    /// Takes the sum of another group's load, and passes it on to the members of this one.
    async fn receive_sum(&self, mut sum: Digest) {
        let now = Instant::now();
        if sum.group == self.neighbors.borrow().group(now) {
            return;
        }
        self.core.with(|core, now| core.on_digest(now, &sum));
        if !sum.is_forwarded {
            sum.is_forwarded = true;
            let members = self.neighbors.borrow().members(now);
            self.send_all(&members, &sum.encode(&[])).await;
        }
    }

    fn receive_digest(&self, digest: &Digest, addresses: Vec<Ipv4Addr>, from: Ipv4Addr) {
        let own_revision = self.core.with(|core, now| {
            core.on_digest(now, digest);
            core.table().map_or(0, |table| table.revision())
        });
        let now = Instant::now();
        let mut neighbors = self.neighbors.borrow_mut();
        if neighbors.heard(now, from, digest) {
            info!(self.logger, "peers: Host heard."; "host" => %from, "table" => digest.table_revision);
        }
        neighbors.learn(now, addresses);
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
            let newest = self.neighbors.borrow().newest(own);
            let Some(ip) = newest else {
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

/// Whose turn it is among the hosts of other groups.
#[derive(Default)]
struct Turn {
    /// Number of the turn, in which each of them is told once.
    number: u64,
    place: usize,
    /// Part of a digest that is due beside whole ones.
    due: f64,
}

impl Turn {
    /// Returns those whose turn comes within an interval.
    fn next(&mut self, others: Vec<Ipv4Addr>, interval: Duration) -> Vec<Ipv4Addr> {
        self.due += interval.as_secs_f64() * PRESENCES_PER_S;
        let count = (self.due as usize).min(others.len());
        self.due = self.due.fract();
        let end = (self.place + count).min(others.len());
        let next = others.get(self.place..end).unwrap_or_default().to_vec();
        self.place = end;
        if self.place >= others.len() {
            self.place = 0;
            self.number += 1;
        }
        next
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
