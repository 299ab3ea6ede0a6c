//! Registry entries when the store comes back from an older copy of its contents.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::{BackendServer, Registry, RegistryEntry, RegistryEvent};
use proptest::prelude::*;

fn entry(id: &str, incarnation: u64, heartbeats: u64) -> RegistryEntry {
    let server = BackendServer {
        id: id.into(),
        service: "booking".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        slots: 6,
        is_leaving: false,
        models: Vec::new(),
        software: "v1".into(),
        incarnation,
    };
    RegistryEntry { server, heartbeats }
}

fn leaving(mut entry: RegistryEntry) -> RegistryEntry {
    entry.server.is_leaving = true;
    entry
}

fn removed(id: &str) -> RegistryEvent {
    RegistryEvent::Removed(id.into())
}

#[test]
fn a_heartbeat_alone_is_no_event() {
    let mut registry = Registry::default();
    assert!(registry.on_entry(entry("s1", 1, 1)).is_some());
    assert!(registry.on_entry(entry("s1", 1, 2)).is_none());
}

/// Guards against servers that are dropped although no call failed while the store was away.
#[test]
fn an_entry_that_the_copy_lacks_stays_for_two_seconds() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, [entry("s1", 1, 1), entry("s2", 1, 1)]);
    registry.on_store_restored(now);
    assert_eq!(registry.on_list(now, [entry("s1", 1, 1)]), vec![]);
    assert_eq!(registry.expire(now + Duration::from_millis(1_999)), vec![]);
    let expired = registry.expire(now + Duration::from_secs(2));
    assert_eq!(expired, vec![removed("s2")]);
}

#[test]
fn an_older_entry_does_not_undo_a_newer_one() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let known = [
        leaving(entry("leaving", 5, 7)),
        entry("restarted", 5, 1),
        entry("moved", 5, 9),
    ];
    registry.on_list(now, known.clone());
    registry.on_store_restored(now);
    let mut moved = entry("moved", 5, 8);
    moved.server.address = ([127, 0, 0, 2], 2).into();
    let older = [entry("leaving", 5, 7), entry("restarted", 4, 90), moved];
    assert_eq!(registry.on_list(now, older), vec![]);
    for entry in known {
        assert_eq!(registry.get(&entry.server.id), Some(&entry.server));
    }
}

#[test]
fn a_gone_server_is_used_once_it_writes_its_entry_again() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, [entry("s1", 5, 7)]);
    assert_eq!(registry.on_removed(now, "s1"), Some(removed("s1")));
    registry.on_store_restored(now);
    // Heartbeats alone are no events, so the copy may have more of them than are known.
    assert_eq!(registry.on_list(now, [entry("s1", 5, 9)]), vec![]);
    assert_eq!(registry.get("s1"), None);
    assert!(registry.on_entry(entry("s1", 5, 9)).is_some());
}

/// Guards against a live server that stays unused because its entry did not change.
#[test]
fn a_server_that_stays_listed_is_used_after_a_while() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, [entry("s1", 5, 7), entry("s2", 5, 7)]);
    for id in ["s1", "s2"] {
        assert_eq!(registry.on_removed(now, id), Some(removed(id)));
    }
    registry.on_store_restored(now);
    registry.on_list(now, [entry("s1", 5, 6), entry("s2", 5, 6)]);
    assert_eq!(registry.on_removed(now, "s2"), None);
    let later = now + Duration::from_secs(6);
    assert_eq!(registry.expire(later - Duration::from_millis(1)), vec![]);
    let used = RegistryEvent::Upsert(entry("s1", 5, 6).server);
    assert_eq!(registry.expire(later), vec![used]);
}

#[test]
fn a_new_incarnation_in_the_copy_is_used() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, [entry("s1", 5, 7)]);
    registry.on_removed(now, "s1");
    registry.on_store_restored(now);
    let events = registry.on_list(now, [entry("s1", 6, 1)]);
    assert_eq!(
        events,
        vec![RegistryEvent::Upsert(entry("s1", 6, 1).server)]
    );
}

/// A server of the simulation below.
#[derive(Clone, Copy, Debug, Default)]
struct Server {
    incarnation: u64,
    heartbeats: u64,
    is_alive: bool,
    is_leaving: bool,
}

impl Server {
    fn entry(self, id: &str) -> RegistryEntry {
        let mut entry = entry(id, self.incarnation, self.heartbeats);
        entry.server.is_leaving = self.is_leaving;
        entry
    }
}

type Contents = BTreeMap<String, RegistryEntry>;

/// A store, the servers that write into it, and a host that reads it.
struct Simulation {
    now: Instant,
    servers: BTreeMap<String, Server>,
    store: Contents,
    copy: Contents,
    /// Changes that the host has not read yet.
    unread: Vec<(String, Option<RegistryEntry>)>,
    registry: Registry,
    /// Time by which live servers have written their entries after a restore.
    writes_again_at: Option<Instant>,
    /// Time at which the store removes the entries of dead servers that a restore brought back.
    removes_dead_at: Option<Instant>,
    /// Servers that the host has learned to be leaving or gone, with the content then known. They
    /// may be used again only after they have written something newer.
    left: BTreeMap<String, (u64, u64)>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            servers: BTreeMap::new(),
            store: Contents::new(),
            copy: Contents::new(),
            unread: Vec::new(),
            registry: Registry::default(),
            writes_again_at: None,
            removes_dead_at: None,
            left: BTreeMap::new(),
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
        if self.writes_again_at.is_some_and(|at| self.now >= at) {
            self.writes_again_at = None;
            self.write_all();
        }
        if self.removes_dead_at.is_some_and(|at| self.now >= at) {
            self.removes_dead_at = None;
            self.remove_dead();
            self.read();
        }
        self.registry.expire(self.now);
    }

    /// A live server writes its entry.
    fn write(&mut self, id: &str) {
        let Some(server) = self.servers.get_mut(id).filter(|server| server.is_alive) else {
            return;
        };
        server.heartbeats += 1;
        let entry = server.entry(id);
        self.store.insert(id.to_owned(), entry.clone());
        self.unread.push((id.to_owned(), Some(entry)));
    }

    fn end(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_alive = false;
        }
        if self.store.remove(id).is_some() {
            self.unread.push((id.to_owned(), None));
        }
    }

    fn start(&mut self, id: &str) {
        let server = self.servers.entry(id.to_owned()).or_default();
        if !server.is_alive {
            *server = Server {
                incarnation: server.incarnation + 1,
                is_alive: true,
                ..Server::default()
            };
        }
        self.write(id);
    }

    fn read(&mut self) {
        for (id, entry) in std::mem::take(&mut self.unread) {
            match entry {
                Some(entry) => {
                    self.learn(&id, &entry);
                    self.registry.on_entry(entry);
                }
                None => {
                    if let Some(RegistryEvent::Removed(_)) = self.registry.on_removed(self.now, &id)
                    {
                        self.learn_gone(&id);
                    }
                }
            }
        }
    }

    fn learn(&mut self, id: &str, entry: &RegistryEntry) {
        let content = (entry.server.incarnation, entry.heartbeats);
        if entry.server.is_leaving {
            self.left.insert(id.to_owned(), content);
        } else if self.left.get(id).is_some_and(|left| content > *left) {
            self.left.remove(id);
        }
    }

    fn learn_gone(&mut self, id: &str) {
        // What the host knew of the server is not more than what the server wrote at last.
        let Some(server) = self.servers.get(id) else {
            return;
        };
        if !server.is_alive {
            let content = (server.incarnation, server.heartbeats);
            self.left.insert(id.to_owned(), content);
        }
    }

    /// Reads the whole registry, as after a compaction of the history.
    fn list(&mut self) {
        let listed = self.store.values().cloned().collect::<Vec<_>>();
        for entry in &listed {
            if !self.registry.is_outdated(self.now, entry) {
                self.learn(&entry.server.id.clone(), entry);
            }
        }
        for event in self.registry.on_list(self.now, listed) {
            if let RegistryEvent::Removed(id) = event {
                self.learn_gone(&id);
            }
        }
        self.unread.clear();
    }

    fn remove_dead(&mut self) {
        for id in self.store.keys().cloned().collect::<Vec<_>>() {
            if self.servers.get(&id).is_none_or(|server| !server.is_alive) {
                self.end(&id);
            }
        }
    }

    fn restore(&mut self) {
        self.writes_again_at = Some(self.now + Duration::from_millis(1_900));
        self.removes_dead_at = Some(self.now + Duration::from_millis(3_600));
        self.store.clone_from(&self.copy);
        self.unread.clear();
        self.registry.on_store_restored(self.now);
        self.list();
    }

    /// Returns a server in use that the host has learned to be leaving or gone.
    fn wrongly_used(&self) -> Option<&BackendServer> {
        let mut used = self.registry.servers();
        used.find(|server| !server.is_leaving && self.left.contains_key(&*server.id))
    }

    fn write_all(&mut self) {
        for id in self.servers.keys().cloned().collect::<Vec<_>>() {
            self.write(&id);
        }
        self.read();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Servers come, leave, end and start again, the store is copied and restored, and the host
    /// reads at any time: what it has learned is not undone, and it ends with what the store has.
    #[test]
    fn what_is_known_is_not_undone_and_the_registry_ends_equal_to_the_store(
        steps in prop::collection::vec((0_u8..10, 0_u8..3, 10_u64..900), 1..60),
    ) {
        let mut simulation = Simulation::new();
        for (kind, number, pause_ms) in steps {
            let id = format!("s{number}");
            match kind {
                0 | 1 => simulation.start(&id),
                2 => simulation.write(&id),
                3 => {
                    if let Some(server) = simulation.servers.get_mut(&id) {
                        server.is_leaving = server.is_alive;
                    }
                    simulation.write(&id);
                }
                4 => simulation.end(&id),
                5 => simulation.copy = simulation.store.clone(),
                6 => simulation.restore(),
                7 => simulation.list(),
                _ => simulation.read(),
            }
            simulation.advance(Duration::from_millis(pause_ms));
            prop_assert_eq!(simulation.wrongly_used(), None);
        }
        simulation.restore();
        prop_assert_eq!(simulation.wrongly_used(), None);
        for _ in 0..2 {
            simulation.advance(Duration::from_secs(2));
        }
        prop_assert_eq!(simulation.wrongly_used(), None);
        let used = simulation.registry.servers().cloned().collect::<Vec<_>>();
        let stored = simulation.store.values().map(|entry| entry.server.clone());
        prop_assert_eq!(used, stored.collect::<Vec<_>>());
    }
}
