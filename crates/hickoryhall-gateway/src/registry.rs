//! Registry of the backend servers, which register themselves in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, Incarnation, TargetId, WeightsVersion};

/// Id of a backend server, unique across services.
pub type ServerId = Arc<str>;

/// Time after the store's return for which entries that expired during its outage stay in use. Live
/// servers are guaranteed to register again within this time.
const STORE_RETURN_GRACE: Duration = Duration::from_secs(2);

/// Registry entry of a backend server, written by the server itself.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id, the key of the entry.
    pub id: ServerId,
    /// Service whose requests it takes.
    pub service: TargetId,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: FailureDomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new work.
    pub is_leaving: bool,
    /// Models that it serves, with their weights versions; empty if it serves none.
    pub models: Vec<(TargetId, WeightsVersion)>,
    /// Identifies the process start; state recorded for an older incarnation is invalid.
    pub incarnation: Incarnation,
}

impl BackendServer {
    /// Returns the weights version of a model, or `None` if the server does not serve it.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<WeightsVersion> {
        let model = self.models.iter().find(|(name, _)| name.as_ref() == model);
        model.map(|(_, version)| *version)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    server: BackendServer,
    /// Whether the store no longer has the entry, possibly because of an outage.
    is_expired: bool,
}

/// Change of the set of servers in use.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEvent {
    /// A server was added or its entry changed.
    Upsert(BackendServer),
    /// A server was removed.
    Removed(ServerId),
}

/// The registered servers.
///
/// Entries that expire while the store is unreachable stay in use until shortly after its return,
/// because a live server cannot renew its entry during the outage.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, Entry>,
    is_store_unreachable: bool,
    /// Time at which the store became reachable after the last outage.
    returned_at: Option<Instant>,
}

impl Registry {
    /// Applies the complete list of entries; entries that are not listed count as removed.
    pub fn on_list(&mut self, now: Instant, servers: Vec<BackendServer>) -> Vec<RegistryEvent> {
        let missing = self.entries.keys().filter(|id| {
            let is_listed = servers.iter().any(|server| server.id == **id);
            !is_listed
        });
        let missing = missing.cloned().collect::<Vec<_>>();
        let mut events = servers
            .into_iter()
            .filter_map(|server| self.on_entry(server))
            .collect::<Vec<_>>();
        events.extend(missing.iter().filter_map(|id| self.on_removed(now, id)));
        events
    }

    /// Applies a new or changed entry; returns `None` if nothing changed.
    pub fn on_entry(&mut self, server: BackendServer) -> Option<RegistryEvent> {
        let known = self.entries.get(&server.id);
        if known.is_some_and(|known| known.server == server && !known.is_expired) {
            return None;
        }
        let entry = Entry {
            server: server.clone(),
            is_expired: false,
        };
        self.entries.insert(server.id.clone(), entry);
        Some(RegistryEvent::Upsert(server))
    }

    /// Applies the removal of an entry. The entry stays in use if an outage of the store may be the
    /// cause of the removal and the server is not shutting down.
    ///
    /// Returns `None` if the entry stays in use or is unknown.
    pub fn on_removed(&mut self, now: Instant, id: &str) -> Option<RegistryEvent> {
        let may_be_outage = self.may_be_outage(now);
        let entry = self.entries.get_mut(id)?;
        if may_be_outage && !entry.server.is_leaving {
            entry.is_expired = true;
            return None;
        }
        let (id, _) = self.entries.remove_entry(id)?;
        Some(RegistryEvent::Removed(id))
    }

    /// Records that the store is unreachable.
    pub fn on_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store is reachable again.
    pub fn on_store_reachable(&mut self, now: Instant) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.returned_at = Some(now);
        }
    }

    /// Removes expired entries that were not registered again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<RegistryEvent> {
        if self.may_be_outage(now) {
            return Vec::new();
        }
        let expired = self.entries.iter().filter(|(_, entry)| entry.is_expired);
        let expired = expired.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in &expired {
            self.entries.remove(id);
        }
        expired.into_iter().map(RegistryEvent::Removed).collect()
    }

    /// Returns the servers in use.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns a server in use.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    fn may_be_outage(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < STORE_RETURN_GRACE;
        self.is_store_unreachable || self.returned_at.is_some_and(is_fresh)
    }
}
