//! Registry of the backend servers, which register themselves in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, Incarnation, SoftwareVersion, TargetId, WeightsVersion};

/// Id of a backend server, unique across services.
pub type ServerId = Arc<str>;

/// Time after the store's return for which entries that expired during its outage stay in use. Live
/// servers are guaranteed to register again within this time.
const STORE_RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time after the store came back from an older copy for which its lists do not undo what is known:
/// by then it has removed the entries of servers that have been silent since.
const COPY_SETTLING: Duration = Duration::from_secs(6);
/// Time for which a removed server is remembered: longer than any copy of the store is old.
const GONE_MEMORY: Duration = Duration::from_secs(60);

/// Time for which a server stays in use after its entry was overwritten by something unreadable: three
/// heartbeats and a little more, after which a silent server's entry is removed as well.
const UNREADABLE_GRACE: Duration = Duration::from_millis(4_000);

/// A backend server, as it describes itself in the registry.
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
    /// Version of its software.
    pub software: SoftwareVersion,
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

/// Entry of the registry as the store has it.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryEntry {
    /// The server that wrote the entry.
    pub server: BackendServer,
    /// Number of times that this incarnation of the server had written the entry; 0 if unknown.
    pub heartbeats: u64,
}

impl From<BackendServer> for RegistryEntry {
    fn from(server: BackendServer) -> Self {
        Self {
            server,
            heartbeats: 0,
        }
    }
}

impl RegistryEntry {
    /// Returns the age of the content: what a server writes later compares as greater.
    fn age(&self) -> ContentAge {
        (self.server.incarnation, self.heartbeats)
    }
}

type ContentAge = (Incarnation, u64);

#[derive(Clone, Debug)]
struct KnownEntry {
    entry: RegistryEntry,
    /// Whether the store no longer has the entry, possibly because of an outage.
    is_expired: bool,
    /// When the entry was overwritten by something unreadable.
    unreadable_since: Option<Instant>,
}

/// A server that was removed.
#[derive(Clone, Copy, Debug)]
struct GoneServer {
    incarnation: Incarnation,
    removed_at: Instant,
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
///
/// A store that comes back from an older copy of its contents may list what a server wrote before
/// its latest entry, and servers that are gone. For a while, its lists do not undo what is known:
/// an older entry is not applied, and a server that was gone is used only once it writes its entry
/// again. After that time live servers have written their entries and the store has removed those
/// of dead ones, so all that is listed is used.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ServerId, KnownEntry>,
    /// Servers that were removed lately.
    gone: BTreeMap<ServerId, GoneServer>,
    /// Entries of gone servers in an older copy.
    held_back: BTreeMap<ServerId, RegistryEntry>,
    is_store_unreachable: bool,
    /// Time at which the store became reachable after the last outage.
    returned_at: Option<Instant>,
    /// Time at which the store was found to have come back from an older copy.
    restored_at: Option<Instant>,
}

impl Registry {
    /// Applies the complete list of entries; entries that are not listed count as removed.
    pub fn on_list<T: Into<RegistryEntry>>(
        &mut self,
        now: Instant,
        entries: impl IntoIterator<Item = T>,
    ) -> Vec<RegistryEvent> {
        let entries = entries.into_iter().map(Into::into).collect::<Vec<_>>();
        let listed = entries.iter().map(|entry| entry.server.id.clone());
        let listed = listed.collect::<BTreeSet<_>>();
        let missing = self.entries.iter();
        let missing =
            missing.filter(|(id, known)| !listed.contains(*id) && known.unreadable_since.is_none());
        let missing = missing.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        self.held_back.retain(|id, _| listed.contains(id));
        let mut events = entries
            .into_iter()
            .filter_map(|entry| self.on_listed(now, entry))
            .collect::<Vec<_>>();
        events.extend(missing.iter().filter_map(|id| self.on_removed(now, id)));
        events
    }

    fn on_listed(&mut self, now: Instant, entry: RegistryEntry) -> Option<RegistryEvent> {
        if !self.is_outdated(now, &entry) {
            return self.on_entry(entry);
        }
        match self.entries.get_mut(&entry.server.id) {
            Some(known) => known.is_expired = false,
            None => drop(self.held_back.insert(entry.server.id.clone(), entry)),
        }
        None
    }

    /// Returns whether an entry in a list of the store is not applied, because the list may be from
    /// an older copy and something newer is known of the server.
    #[must_use]
    pub fn is_outdated(&self, now: Instant, entry: &RegistryEntry) -> bool {
        if !self.is_settling(now) {
            return false;
        }
        let server = &entry.server;
        if let Some(known) = self.entries.get(&server.id) {
            let known = &known.entry;
            let is_leaving_undone = known.server.incarnation == server.incarnation
                && known.server.is_leaving
                && !server.is_leaving;
            return entry.age() < known.age() || is_leaving_undone;
        }
        // Heartbeats do not tell: those since the last change of the entry are not known here.
        let gone = self.gone.get(&server.id);
        gone.is_some_and(|gone| server.incarnation <= gone.incarnation)
    }

    /// Applies a new or changed entry, which its server has just written; returns `None` if nothing
    /// changed but the number of heartbeats.
    pub fn on_entry(&mut self, entry: impl Into<RegistryEntry>) -> Option<RegistryEvent> {
        let entry = entry.into();
        let server = entry.server.clone();
        self.gone.remove(&server.id);
        self.held_back.remove(&server.id);
        let known = KnownEntry {
            entry,
            is_expired: false,
            unreadable_since: None,
        };
        let before = self.entries.insert(server.id.clone(), known);
        let is_unchanged =
            before.is_some_and(|before| before.entry.server == server && !before.is_expired);
        (!is_unchanged).then_some(RegistryEvent::Upsert(server))
    }

    /// Records that an entry cannot be read. Its server, if known, stays in use until it would have
    /// written the entry again.
    pub fn on_unreadable(&mut self, now: Instant, id: &str) {
        if let Some(known) = self.entries.get_mut(id) {
            known.unreadable_since.get_or_insert(now);
        }
    }

    /// Applies the removal of an entry. The entry stays in use if an outage of the store may be the
    /// cause of the removal and the server is not shutting down.
    ///
    /// Returns `None` if the entry stays in use or is unknown.
    pub fn on_removed(&mut self, now: Instant, id: &str) -> Option<RegistryEvent> {
        self.held_back.remove(id);
        let may_be_outage = self.may_be_outage(now);
        let known = self.entries.get_mut(id)?;
        if may_be_outage && !known.entry.server.is_leaving {
            known.is_expired = true;
            return None;
        }
        self.remove(now, id)
    }

    fn remove(&mut self, now: Instant, id: &str) -> Option<RegistryEvent> {
        let (id, known) = self.entries.remove_entry(id)?;
        let gone = GoneServer {
            incarnation: known.entry.server.incarnation,
            removed_at: now,
        };
        self.gone.insert(id.clone(), gone);
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

    /// Records that the store has come back from an older copy. That is an outage even if no call
    /// failed meanwhile.
    pub fn on_store_restored(&mut self, now: Instant) {
        self.returned_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Removes expired entries that were not registered again in time, and takes servers into use
    /// that the store still lists some time after it came back from an older copy.
    pub fn expire(&mut self, now: Instant) -> Vec<RegistryEvent> {
        if self.may_be_outage(now) {
            return Vec::new();
        }
        self.gone
            .retain(|_, gone| now.saturating_duration_since(gone.removed_at) < GONE_MEMORY);
        let is_over = |known: &KnownEntry| {
            let since = known.unreadable_since;
            since.is_some_and(|at| now.saturating_duration_since(at) >= UNREADABLE_GRACE)
        };
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, known)| known.is_expired || is_over(known));
        let expired = expired.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        let removed = expired.iter().filter_map(|id| self.remove(now, id));
        let mut events = removed.collect::<Vec<_>>();
        if !self.is_settling(now) {
            let listed = std::mem::take(&mut self.held_back).into_values();
            events.extend(listed.filter_map(|entry| self.on_entry(entry)));
        }
        events
    }

    /// Returns the servers in use.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries.values().map(|known| &known.entry.server)
    }

    /// Returns a server in use.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.entries.get(id).map(|known| &known.entry.server)
    }

    /// Returns whether entries may be missing because of an outage of the store that has not ended
    /// or only just.
    #[must_use]
    pub fn may_be_outage(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < STORE_RETURN_GRACE;
        self.is_store_unreachable || self.returned_at.is_some_and(is_fresh)
    }

    /// Returns whether the store can be read.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        !self.is_store_unreachable
    }

    fn is_settling(&self, now: Instant) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < COPY_SETTLING;
        self.restored_at.is_some_and(is_fresh)
    }
}
