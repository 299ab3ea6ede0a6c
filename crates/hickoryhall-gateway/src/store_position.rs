//! Positions in the history of a store that may come back from an older copy of its contents.

use hickoryhall_types::FencingNumber;

use crate::interface::{StoreEra, StoreRevision};

/// Bits of a fencing number below the era. Fencing numbers stay below 2^53, so that JSON parsers
/// that read numbers as floating point keep them exact.
const FENCING_REVISION_BITS: u32 = 40;
/// Highest revision and era that a fencing number holds.
const MAX_FENCING_REVISION: StoreRevision = (1 << FENCING_REVISION_BITS) - 1;
const MAX_FENCING_ERA: StoreEra = (1 << (53 - FENCING_REVISION_BITS)) - 1;

/// Position in the history of the store.
///
/// A restored store gives revisions out again, so revisions are comparable only within an era;
/// positions of a newer era come after all those of older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision of the store within the era.
    pub revision: StoreRevision,
}

impl StorePosition {
    /// Returns whether this is the position of a host that has read nothing yet.
    #[must_use]
    pub fn is_unread(self) -> bool {
        self == Self::default()
    }

    /// Returns the fencing number of a lease whose key was written at this position: the revision,
    /// with the era above it.
    #[must_use]
    pub fn fencing_number(self) -> FencingNumber {
        let era = self.era.min(MAX_FENCING_ERA);
        (era << FENCING_REVISION_BITS) | self.revision.min(MAX_FENCING_REVISION)
    }
}

/// What the era of an answer says about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraObservation {
    /// The store is in the era that was known, or in the first one observed.
    Current,
    /// The store has come back from an older copy since; holds the highest position seen before.
    Newer {
        /// Highest position observed in the era before.
        before: StorePosition,
    },
    /// The answer was given before the store came back from an older copy.
    Older,
}

/// Highest position of the store that has been observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    highest: Option<StorePosition>,
}

impl EraTracker {
    /// Returns the newest era, 0 if none was observed.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.highest.map_or(0, |highest| highest.era)
    }

    /// Records the era of an answer, and the revision of the store where the answer has one.
    pub fn observe(&mut self, era: StoreEra, revision: Option<StoreRevision>) -> EraObservation {
        let observed = StorePosition {
            era,
            revision: revision.unwrap_or_default(),
        };
        let before = self.highest.unwrap_or(observed);
        if era < before.era {
            return EraObservation::Older;
        }
        self.highest = Some(before.max(observed));
        if era > before.era {
            EraObservation::Newer { before }
        } else {
            EraObservation::Current
        }
    }
}
