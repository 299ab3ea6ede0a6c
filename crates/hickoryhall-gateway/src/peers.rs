//! Protocol between hosts: digests over UDP several times a second, and the raw records of the
//! store over TCP for a host that cannot read the store.
//!
//! Hosts discover each other from the addresses in their settings and in digests. Correctness does
//! not depend on digests or on hosts agreeing with each other: a lost digest only makes placement
//! less accurate.

mod directory;
mod known_peers;
mod message;
mod streams;

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::set_socket_options;
use metrics::counter;
use slog::{Logger, debug, info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;

pub use directory::{Directory, HostList};
use known_peers::HEARTBEATS_PER_S;
pub use known_peers::{KnownPeers, LocalHost};
pub use message::{
    DecodeError, DesiredVersionUpdate, Digest, PromptUpdate, Scope, ServerUpdate, StoreRecords,
    StoreSnapshot, SuspectUpdate,
};

use crate::core::CoreHandle;
use crate::feeds::Feeds;
use crate::interface::Platform;

/// Time between two digests to the members of a small group.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of digests that one host sends to its group per second; in a large group the
/// interval grows instead.
const MAX_DIGESTS_PER_S: f64 = 150.0;
/// Delay of a push, in which further ones join it: a lease holder changes many runners within
/// milliseconds, and a round to all hosts for each would fill the link of its host.
const PUSH_DELAY: Duration = Duration::from_millis(20);
/// Time between two group digests.
const GROUP_DIGEST_INTERVAL: Duration = Duration::from_millis(150);
/// Size of the receive buffer, and so the largest digest accepted.
const MAX_DIGEST_BYTES: usize = 16_384;
/// Largest snapshot accepted: the largest value of the store plus the registry.
const MAX_SNAPSHOT_BYTES: usize = 8 << 20;
/// Timeout for sending a whole snapshot, and for connecting to a peer and receiving one.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before each fetch of a snapshot, and after a socket error.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Addresses that a host needs to take part in the protocol between hosts.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// Identity and address of this host.
    pub local_host: LocalHost,
    /// UDP and TCP port of the protocol between hosts, the same on every host.
    pub port: u16,
    /// Addresses of hosts listed in the settings; they are never forgotten.
    pub seeds: Vec<Ipv4Addr>,
}

/// Sends and receives digests and snapshots.
pub struct Peers<P> {
    config: PeersConfig,
    core: CoreHandle,
    feeds: Rc<Feeds<P>>,
    socket: UdpSocket,
    known_peers: RefCell<KnownPeers>,
    /// Notified to send the next digests at once.
    push_requested: Notify,
    /// Notified when a peer may have newer records.
    fetch_requested: Notify,
    logger: Logger,
}

impl<P: Platform> Peers<P> {
    /// Binds the UDP socket and the TCP listener of the protocol between hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        config: PeersConfig,
        core: CoreHandle,
        feeds: Rc<Feeds<P>>,
        logger: Logger,
    ) -> io::Result<(Rc<Self>, TcpListener)> {
        let address = SocketAddr::from((config.local_host.ip, config.port));
        let socket = UdpSocket::bind(address).await?;
        let listener = TcpListener::bind(address).await?;
        let known_peers = KnownPeers::new(Instant::now(), config.local_host, config.seeds.clone());
        let peers = Self {
            config,
            core,
            feeds,
            socket,
            known_peers: RefCell::new(known_peers),
            push_requested: Notify::new(),
            fetch_requested: Notify::new(),
            logger,
        };
        Ok((Rc::new(peers), listener))
    }

    /// Sends the next digests at once instead of after the interval.
    pub fn push_digests(&self) {
        self.push_requested.notify_one();
    }

    /// Sends digests until the task is dropped: in each round a full one to every member of the
    /// group, and heartbeats to all other hosts in rotation.
    pub async fn send_digests(&self) {
        let mut rotation = Rotation::default();
        let mut is_pushed = false;
        for round in 0.. {
            let now = Instant::now();
            self.known_peers.borrow_mut().expire(now);
            let (group, members, addresses) = {
                let known_peers = self.known_peers.borrow();
                self.feeds.set_registry_role(known_peers.registry_role(now));
                let addresses = known_peers.addresses_to_list(round);
                (known_peers.group(now), known_peers.members(now), addresses)
            };
            let interval = digest_interval(members.len());
            if !members.is_empty() {
                let mut digest = self.core.with(|core, now| core.digest(now, group));
                digest.store_era = self.feeds.store_era();
                digest.registry = self.feeds.registry_relay(now);
                self.send_all(&members, &digest.encode(&addresses)).await;
            }
            let non_members = self.known_peers.borrow().non_members(now, rotation.number);
            let non_members = if is_pushed {
                non_members
            } else {
                rotation.next(non_members, interval)
            };
            if !non_members.is_empty() {
                let mut heartbeat = self.core.with(|core, now| core.heartbeat(now, group));
                heartbeat.store_era = self.feeds.store_era();
                self.send_all(&non_members, &heartbeat.encode(&addresses))
                    .await;
            }
            // A push starts the next round early, and that round contacts all other hosts.
            is_pushed = timeout(interval, self.push_requested.notified())
                .await
                .is_ok();
            if is_pushed {
                tokio::time::sleep(PUSH_DELAY).await;
            }
        }
    }

    /// Sends group digests to the other groups, while this host is the member responsible for them,
    /// until the task is dropped.
    pub async fn send_group_digests(&self) {
        loop {
            tokio::time::sleep(GROUP_DIGEST_INTERVAL).await;
            let now = Instant::now();
            let (group, recipients, hosts) = {
                let known_peers = self.known_peers.borrow();
                let recipients = known_peers.group_digest_recipients(now);
                (
                    known_peers.group(now),
                    recipients,
                    known_peers.member_hashes(now),
                )
            };
            if recipients.is_empty() {
                self.core.with(|core, _| core.stop_collecting_prompts());
                continue;
            }
            let mut digest = self
                .core
                .with(|core, now| core.group_digest(now, group, hosts));
            digest.store_era = self.feeds.store_era();
            self.send_all(&recipients, &digest.encode(&[])).await;
        }
    }

    async fn send_all(&self, recipients: &[Ipv4Addr], bytes: &[u8]) {
        for &ip in recipients {
            let to = SocketAddr::from((ip, self.config.port));
            if let Err(error) = self.socket.send_to(bytes, to).await {
                debug!(self.logger, "peers: Failed to send a digest."; "host" => %ip, "error" => %error);
            }
        }
    }

    /// Receives digests of peers until the task is dropped.
    pub async fn receive_digests(&self) {
        let mut buffer = vec![0; MAX_DIGEST_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(&buffer[..length], from.ip()).await,
                Err(error) => {
                    warn!(self.logger, "peers: Failed to receive a digest."; "error" => %error);
                    tokio::time::sleep(FETCH_DELAY).await;
                }
            }
        }
    }

    async fn receive(&self, bytes: &[u8], from: IpAddr) {
        let IpAddr::V4(from) = from else { return };
        match Digest::decode(bytes) {
            Ok((digest, _)) if matches!(digest.scope, Scope::Group { .. }) => {
                self.receive_group_digest(digest).await;
            }
            Ok((digest, addresses)) => {
                self.receive_digest(&digest, addresses, from);
                if !digest.streams.is_empty() {
                    self.receive_about_streams(from, &digest.streams).await;
                }
            }
            Err(error) => {
                warn!(self.logger, "peers: Received a digest that cannot be decoded."; "host" => %from, "error" => %error);
            }
        }
    }

    /// Merges the digest of another group, and forwards it to the members of this one.
    async fn receive_group_digest(&self, mut digest: Digest) {
        let now = Instant::now();
        if digest.group == self.known_peers.borrow().group(now) {
            return;
        }
        self.core.with(|core, now| core.on_digest(now, &digest));
        self.feeds.observe_peer_era(digest.store_era);
        if !digest.is_forwarded {
            digest.is_forwarded = true;
            let members = self.known_peers.borrow().members(now);
            self.send_all(&members, &digest.encode(&[])).await;
        }
    }

    fn receive_digest(&self, digest: &Digest, addresses: Vec<Ipv4Addr>, from: Ipv4Addr) {
        let own_revision = self.core.with(|core, now| {
            core.on_digest(now, digest);
            core.record_peer_statement(now, from, digest);
            core.table().map_or(0, |table| table.revision())
        });
        let now = Instant::now();
        self.feeds.observe_peer_era(digest.store_era);
        if let Some(relay) = &digest.registry {
            self.feeds.on_registry_relay(now, relay);
        }
        let mut known_peers = self.known_peers.borrow_mut();
        if known_peers.record_digest(now, from, digest) {
            info!(self.logger, "peers: Discovered a host by its digest."; "host" => %from, "table" => digest.table_revision);
        }
        known_peers.add_addresses(now, addresses);
        if digest.table_revision > own_revision {
            self.fetch_requested.notify_one();
        }
    }

    /// Fetches the records of a peer whenever one has a newer table, until the task is dropped.
    pub async fn fetch_records(&self) {
        loop {
            self.fetch_requested.notified().await;
            tokio::time::sleep(FETCH_DELAY).await;
            let own_revision = self
                .core
                .with(|core, _| core.table())
                .map_or(0, |table| table.revision());
            let source = self
                .known_peers
                .borrow()
                .peer_with_newer_table(own_revision);
            let Some(ip) = source else {
                continue;
            };
            match self.fetch_from(ip).await {
                Ok(snapshot) => {
                    info!(self.logger, "peers: Fetched store records from a peer."; "host" => %ip, "era" => snapshot.operator.position.era, "revision" => snapshot.operator.position.revision);
                    self.feeds.apply_snapshot(snapshot);
                }
                Err(error) => {
                    warn!(self.logger, "peers: Failed to fetch store records from a peer."; "host" => %ip, "error" => %error);
                    self.fetch_requested.notify_one();
                }
            }
        }
    }

    async fn fetch_from(&self, ip: Ipv4Addr) -> io::Result<StoreSnapshot> {
        let address = SocketAddr::from((ip, self.config.port));
        let read = async {
            let mut stream = TcpStream::connect(address).await?;
            set_socket_options(&stream)?;
            let length = stream.read_u32().await? as usize;
            if length > MAX_SNAPSHOT_BYTES {
                return Err(io::Error::other(format!(
                    "snapshot of {length} bytes exceeds the limit of {MAX_SNAPSHOT_BYTES} bytes"
                )));
            }
            let mut bytes = vec![0; length];
            stream.read_exact(&mut bytes).await?;
            StoreSnapshot::decode(Bytes::from(bytes)).map_err(io::Error::other)
        };
        let result = timeout(SNAPSHOT_TIMEOUT, read).await;
        result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Sends a snapshot of the records on each TCP connection, until the task is dropped. Connections
    /// beyond `limit` are closed; the peer tries another host.
    pub async fn serve_records(&self, listener: TcpListener, limit: usize) {
        let room = Arc::new(Semaphore::new(limit));
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
                        counter!("connections_closed_total", "reason" => "records").increment(1);
                        continue;
                    };
                    let bytes = self.feeds.snapshot().encode();
                    let logger = self.logger.clone();
                    spawn_local(async move {
                        send_snapshot(stream, bytes, logger).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!(self.logger, "peers: Failed to accept a snapshot connection."; "error" => %error);
                    tokio::time::sleep(FETCH_DELAY).await;
                }
            }
        }
    }
}

/// Position in the rotation through the hosts of other groups.
#[derive(Default)]
struct Rotation {
    /// Number of completed rotations; each one sends every host one heartbeat.
    number: u64,
    /// Index of the next host.
    position: usize,
    /// Fraction of a heartbeat carried over to the next interval.
    due: f64,
}

impl Rotation {
    /// Returns the hosts to contact in an interval, and advances past them.
    fn next(&mut self, non_members: Vec<Ipv4Addr>, interval: Duration) -> Vec<Ipv4Addr> {
        self.due += interval.as_secs_f64() * HEARTBEATS_PER_S;
        let count = (self.due as usize).min(non_members.len());
        self.due = self.due.fract();
        let end = (self.position + count).min(non_members.len());
        let next = non_members
            .get(self.position..end)
            .unwrap_or_default()
            .to_vec();
        self.position = end;
        if self.position >= non_members.len() {
            self.position = 0;
            self.number += 1;
        }
        next
    }
}

/// Returns the time between two rounds for a group with this many other members.
fn digest_interval(hosts: usize) -> Duration {
    DIGEST_INTERVAL.max(Duration::from_secs_f64(hosts as f64 / MAX_DIGESTS_PER_S))
}

async fn send_snapshot(mut stream: TcpStream, bytes: Bytes, logger: Logger) {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    let write = async {
        stream.write_u32(length).await?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    };
    match timeout(SNAPSHOT_TIMEOUT, write).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(logger, "peers: Failed to send a snapshot."; "error" => %error),
        Err(_) => debug!(logger, "peers: Timed out sending a snapshot."),
    }
}
