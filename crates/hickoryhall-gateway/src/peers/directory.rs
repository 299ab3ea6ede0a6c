//! Finds hosts through the store where all addresses of the settings are stale.
//!
//! The store holds the addresses of some live hosts and the size of the fleet. One host keeps the list up
//! to date; a host that hears of no other one reads it and contacts those listed, and a host that joins the
//! fleet reads its size.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_types::hash_name;
use prost::Message;
use slog::{Logger, debug, info, warn};
use tokio::time::sleep;

use super::Peers;
use crate::core::{Core, CoreHandle};
use crate::interface::{ConditionalPut, Platform, StoreError};
use crate::store_client::StoreClient;

/// Key of the list.
const LIST_KEY: &str = "hickoryhall/hosts";
/// Maximum number of listed hosts.
const MAX_LISTED: usize = 16;
/// Number of listed hosts of which at least some live long enough for others to find them.
const MIN_LIVE_LISTED: usize = 4;
/// The listed size of the fleet may exceed the actual one by this part of it.
const MAX_SIZE_EXCESS: usize = 4;
/// Time between two looks of the host that keeps the list.
const KEEP_INTERVAL: Duration = Duration::from_secs(10);
/// First and longest time between two looks of a host that hears of no other one.
const FIRST_LOOK_AFTER: Duration = Duration::from_secs(1);
const MAX_LOOK_INTERVAL: Duration = Duration::from_secs(30);

/// Value of the list.
///
/// Field numbers and types stay: hosts of other builds read and write them.
#[derive(Clone, PartialEq, Message)]
struct WireHostList {
    #[prost(fixed32, repeated, tag = "1")]
    hosts: Vec<u32>,
    /// Number of hosts in the fleet, listed or not; 0 if the writer does not tell.
    #[prost(uint32, tag = "2")]
    fleet_size: u32,
}

/// Decides which hosts the store lists.
#[derive(Clone, Copy, Debug)]
pub struct HostList {
    own: Ipv4Addr,
}

impl HostList {
    /// Creates the view of a host.
    #[must_use]
    pub fn new(own: Ipv4Addr) -> Self {
        Self { own }
    }

    /// Returns the hosts to list instead of those that are listed, `None` if enough of these live.
    /// `live` are the other hosts that are heard of.
    #[must_use]
    pub fn update(&self, listed: &[Ipv4Addr], live: &[Ipv4Addr]) -> Option<Vec<Ipv4Addr>> {
        if live.is_empty() {
            // The others may live all the same.
            let is_listed = listed.contains(&self.own);
            let kept = listed.len().min(MAX_LISTED - 1);
            let with_own = listed[listed.len() - kept..].iter().copied();
            return (!is_listed).then(|| with_own.chain([self.own]).collect());
        }
        let live = live.iter().copied().chain([self.own]);
        let live = live.collect::<BTreeSet<_>>();
        let live_listed = listed.iter().filter(|ip| live.contains(ip)).count();
        let is_enough = live_listed >= MIN_LIVE_LISTED.min(live.len());
        (!is_enough).then(|| live.into_iter().take(MAX_LISTED).collect())
    }
}

/// Returns whether the listed size of the fleet has to be written again: a lower one than the fleet has
/// would make shares of hosts that join it too large.
fn is_size_stale(listed: usize, hosts: usize) -> bool {
    listed < hosts || listed > hosts + hosts / MAX_SIZE_EXCESS
}

/// Reads and writes the list.
pub struct Directory<P> {
    peers: Rc<Peers<P>>,
    store: Rc<StoreClient<P>>,
    core: CoreHandle,
    list: HostList,
    logger: Logger,
}

impl<P: Platform> Directory<P> {
    /// Creates a directory that has read nothing.
    #[must_use]
    pub fn new(
        peers: Rc<Peers<P>>,
        store: Rc<StoreClient<P>>,
        core: CoreHandle,
        logger: Logger,
    ) -> Self {
        Self {
            list: HostList::new(peers.config.local_host.ip),
            peers,
            store,
            core,
            logger,
        }
    }

    /// Looks for other hosts, or keeps the list, until the task is dropped.
    pub async fn run(&self) {
        let mut interval = FIRST_LOOK_AFTER;
        if self.needs_fleet_size() {
            self.look_or_log(&self.live(), false).await;
        }
        loop {
            sleep(interval).await;
            let live = self.live();
            let keeps_list = || {
                let duty = hash_name(LIST_KEY);
                self.core.with(|core, now| core.duty_rank(now, duty)) == 0
            };
            let is_alone = live.is_empty();
            let may_write = is_alone || keeps_list();
            if may_write || self.needs_fleet_size() {
                self.look_or_log(&live, may_write).await;
            }
            interval = if self.needs_fleet_size() {
                FIRST_LOOK_AFTER
            } else if is_alone {
                (2 * interval).min(MAX_LOOK_INTERVAL)
            } else {
                KEEP_INTERVAL
            };
        }
    }

    fn needs_fleet_size(&self) -> bool {
        self.core.with(|core, now| core.needs_fleet_size(now))
    }

    async fn look_or_log(&self, live: &[Ipv4Addr], may_write: bool) {
        if let Err(error) = self.look(live, may_write).await {
            debug!(self.logger, "directory: List of hosts not reached."; "error" => %error);
        }
    }

    fn live(&self) -> Vec<Ipv4Addr> {
        self.peers.known_peers.borrow().live(Instant::now())
    }

    /// Reads the list, contacts the hosts in it and writes it if it has to change and this host may.
    async fn look(&self, live: &[Ipv4Addr], may_write: bool) -> Result<(), StoreError> {
        let read = self.store.range(LIST_KEY).await?;
        let mut items = read.content.into_iter();
        let item = items.find(|item| item.key == LIST_KEY);
        let (listed, listed_size, expected_revision) = item.map_or_else(Default::default, |item| {
            let list = WireHostList::decode(item.value).unwrap_or_else(|error| {
                warn!(self.logger, "directory: List of hosts cannot be read. It is written again."; "error" => %error);
                WireHostList::default()
            });
            let hosts = list.hosts.into_iter().map(Ipv4Addr::from);
            let hosts = hosts.take(MAX_LISTED).collect::<Vec<_>>();
            (hosts, list.fleet_size as usize, item.revision)
        });
        if listed_size > 0 && self.needs_fleet_size() {
            self.core
                .with(|core, now| core.on_listed_fleet_size(now, listed_size));
        }
        if live.is_empty() && !listed.is_empty() {
            info!(self.logger, "directory: No host is heard of. Those that the store lists are contacted."; "hosts" => listed.len());
        }
        let contacted = listed.iter().copied();
        self.peers
            .known_peers
            .borrow_mut()
            .add_addresses(Instant::now(), contacted);
        if !may_write {
            return Ok(());
        }
        let fleet_size = self.core.with(Core::fleet_size_for_shares);
        let is_size_stale =
            fleet_size.is_some_and(|hosts| !live.is_empty() && is_size_stale(listed_size, hosts));
        let hosts = match self.list.update(&listed, live) {
            Some(hosts) => hosts,
            None if is_size_stale => listed,
            None => return Ok(()),
        };
        let value = WireHostList {
            hosts: hosts.iter().copied().map(u32::from).collect(),
            fleet_size: u32::try_from(fleet_size.unwrap_or(listed_size)).unwrap_or(u32::MAX),
        };
        let put = ConditionalPut {
            key: LIST_KEY.to_owned(),
            value: Bytes::from(value.encode_to_vec()),
            expected_revision,
            lease: 0,
        };
        match self.store.put_if(&put, read.position.era).await {
            Ok(_) => {
                info!(self.logger, "directory: Hosts listed in the store."; "hosts" => hosts.len());
                Ok(())
            }
            // Another host was faster.
            Err(StoreError::Conflict | StoreError::EraChanged) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
