//! The backend servers that registered themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, Incarnation, TargetId, WeightsVersion};

/// Id of a backend server.
pub type ServerId = Arc<str>;

/// Time after the store's return in which entries that lapsed meanwhile come back: the registry's
/// own promise for servers that live.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Id.
    pub id: ServerId,
    /// Service that it belongs to.
    pub service: TargetId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Models with the versions of their weights.
    pub models: Vec<(TargetId, WeightsVersion)>,
    /// Start of its process; state of an older one is gone.
    pub incarnation: Incarnation,
}

impl BackendServer {
    /// Returns the version of a model's weights.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<WeightsVersion> {
        let model = self.models.iter().find(|(name, _)| name.as_ref() == model);
        model.map(|(_, version)| *version)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    server: BackendServer,
    lapsed: bool,
}

/// What a change of the registry means for its users.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryEvent {
    /// A server is new, or says something new of itself.
    Upsert(BackendServer),
    /// A server is gone.
    Gone(ServerId),
}

/// The registered servers; entries that lapse while the store is away stay in use until shortly
/// after its return.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, Entry>,
    is_store_away: bool,
    returned_at: Option<Instant>,
}

impl Registry {
    /// Takes the whole list.
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

    /// Takes a new or changed entry.
    pub fn on_entry(&mut self, server: BackendServer) -> Option<RegistryEvent> {
        let known = self.entries.get(&server.id);
        if known.is_some_and(|known| known.server == server && !known.lapsed) {
            return None;
        }
        let entry = Entry {
            server: server.clone(),
            lapsed: false,
        };
        self.entries.insert(server.id.clone(), entry);
        Some(RegistryEvent::Upsert(server))
    }

    /// Takes the removal of an entry; it stays in use where the store's outage may be the cause.
    pub fn on_removed(&mut self, now: Instant, id: &str) -> Option<RegistryEvent> {
        let in_doubt = self.in_doubt(now);
        let entry = self.entries.get_mut(id)?;
        if in_doubt && !entry.server.is_leaving {
            entry.lapsed = true;
            return None;
        }
        let (id, _) = self.entries.remove_entry(id)?;
        Some(RegistryEvent::Gone(id))
    }

    /// Records that the store does not answer.
    pub fn on_store_lost(&mut self) {
        self.is_store_away = true;
    }

    /// Records that the store answers again.
    pub fn on_store_back(&mut self, now: Instant) {
        if self.is_store_away {
            self.is_store_away = false;
            self.returned_at = Some(now);
        }
    }

    /// Drops lapsed entries that did not come back in time.
    pub fn expire(&mut self, now: Instant) -> Vec<RegistryEvent> {
        if self.in_doubt(now) {
            return Vec::new();
        }
        let lapsed = self.entries.iter().filter(|(_, entry)| entry.lapsed);
        let lapsed = lapsed.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in &lapsed {
            self.entries.remove(id);
        }
        lapsed.into_iter().map(RegistryEvent::Gone).collect()
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

    fn in_doubt(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < RETURN_GRACE;
        self.is_store_away || self.returned_at.is_some_and(is_fresh)
    }
}
