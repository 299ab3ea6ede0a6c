//! Relays of the registry while the store comes back from older copies, and readers and followers
//! are in different eras.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_gateway::feeds::relay::{RegistryRelay, RelayLog, RelayMonitor};
use hickoryhall_gateway::interface::{StoreChange, StoreItem};
use hickoryhall_gateway::store_position::StorePosition;
use proptest::prelude::*;

type Contents = BTreeMap<String, Bytes>;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn apply(contents: &mut Contents, changes: &[StoreChange]) {
    for change in changes {
        match change {
            StoreChange::Put(item) => drop(contents.insert(item.key.clone(), item.value.clone())),
            StoreChange::Removed { key, .. } => drop(contents.remove(key)),
        }
    }
}

/// A store with its contents at each position, and the changes of its current era.
struct Store {
    position: StorePosition,
    contents: Contents,
    changes: Vec<StoreChange>,
    history: BTreeMap<StorePosition, Contents>,
}

impl Store {
    fn new() -> Self {
        let position = at(0, 1);
        Self {
            position,
            contents: Contents::new(),
            changes: Vec::new(),
            history: BTreeMap::from([(position, Contents::new())]),
        }
    }

    fn write(&mut self, number: u64) {
        self.position.revision += 1;
        let revision = self.position.revision;
        let key = format!("registry/{}", number % 4);
        let change = if number.is_multiple_of(3) {
            StoreChange::Removed { key, revision }
        } else {
            // Values differ between eras although their revisions do not.
            let value = Bytes::from(format!("{:?}", self.position));
            StoreChange::Put(StoreItem {
                key,
                value,
                revision,
            })
        };
        apply(&mut self.contents, std::slice::from_ref(&change));
        self.changes.push(change);
        self.history.insert(self.position, self.contents.clone());
    }

    /// Returns to an earlier position of the era and begins a new one.
    fn restore(&mut self, lost: u64) {
        let revision = self.position.revision.saturating_sub(lost).max(1);
        let known = self.history.range(..=at(self.position.era, revision));
        let (position, contents) = known.last().expect("a first position");
        let position = at(self.position.era + 1, position.revision);
        self.contents = contents.clone();
        self.changes.clear();
        self.position = position;
        self.history.insert(position, self.contents.clone());
    }
}

/// A host with the position and the contents that it knows.
struct Host {
    position: StorePosition,
    contents: Contents,
}

impl Host {
    fn read(&mut self, store: &Store) {
        self.position = store.position;
        self.contents.clone_from(&store.contents);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// The store is written and restored, the reader reads it now and then, and relays are lost or
    /// arrive late: a follower has the contents of the store at its position, which never goes back.
    #[test]
    fn a_follower_has_what_the_store_had_at_its_position(
        steps in prop::collection::vec((0_u8..8, 0_u64..12, 20_u64..700), 1..80),
    ) {
        let mut now = Instant::now();
        let mut store = Store::new();
        let (mut log, mut monitor) = (RelayLog::default(), RelayMonitor::default());
        let mut reader = Host { position: store.position, contents: Contents::new() };
        let mut follower = Host { position: store.position, contents: Contents::new() };
        log.record_list(now, store.position);
        let mut relays = Vec::<RegistryRelay>::new();
        for (kind, number, pause_ms) in steps {
            now += ms(pause_ms);
            let before = follower.position;
            match kind {
                0..=2 => store.write(number),
                3 => store.restore(number),
                4 => {
                    log.record_answer(now, true);
                    if reader.position.era == store.position.era {
                        let changes = store.changes.iter();
                        let new = changes.filter(|change| change.revision() > reader.position.revision);
                        let (from, until) = (reader.position.revision, store.position.revision);
                        log.record_changes(now, from, until, new.cloned());
                    } else {
                        log.record_list(now, store.position);
                    }
                    reader.read(&store);
                }
                5 => relays.extend(log.relay(now, None)),
                6 => follower.read(&store),
                _ => {
                    // One of the last relays arrives.
                    let late = usize::try_from(number % 3).expect("a small number");
                    let Some(relay) = relays.iter().rev().nth(late) else { continue };
                    match monitor.on_relay(now, follower.position, relay) {
                        Some(changes) => {
                            prop_assert_eq!(relay.era, follower.position.era);
                            apply(&mut follower.contents, &changes);
                            follower.position = follower.position.max(relay.position());
                        }
                        None if relay.era >= follower.position.era => {
                            prop_assert!(!monitor.is_current(now));
                            follower.read(&store);
                        }
                        None => {}
                    }
                }
            }
            prop_assert!(follower.position >= before);
            prop_assert_eq!(&follower.contents, &store.history[&follower.position]);
        }
    }
}

/// Guards against followers that drop servers which the copy lacks: they must see the new era
/// themselves to keep them.
#[test]
fn a_reader_is_silent_for_a_while_after_the_store_was_restored() {
    let start = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(start, at(1, 7));
    log.record_answer(start, true);
    assert!(
        log.relay(start, None).is_some(),
        "the first era seen is no change"
    );
    log.record_list(start, at(2, 4));
    for after_ms in [0, 1_000, 2_000] {
        log.record_answer(start + ms(after_ms), true);
        assert_eq!(log.relay(start + ms(after_ms), None), None, "{after_ms} ms");
    }
    log.record_answer(start + ms(2_600), true);
    let relay = log
        .relay(start + ms(2_600), None)
        .expect("the store answers");
    assert_eq!(relay.position(), at(2, 4));
}

/// Guards against followers that rely on a reader in another era than their own.
#[test]
fn a_reader_in_another_era_does_not_keep_a_follower_up_to_date() {
    let start = Instant::now();
    let relay = |era| RegistryRelay {
        era,
        after: 3,
        until: 9,
        changes: Vec::new(),
        read_age: None,
    };
    let mut monitor = RelayMonitor::default();
    for other in [0, 2] {
        assert_eq!(monitor.on_relay(start, at(1, 5), &relay(other)), None);
        assert!(!monitor.is_current(start), "era {other}");
    }
    // A reader that is still in an older era does not speak against one that is not.
    assert!(monitor.on_relay(start, at(1, 5), &relay(1)).is_some());
    assert_eq!(monitor.on_relay(start, at(1, 5), &relay(0)), None);
    assert!(monitor.is_current(start));
}
