//! Calls to the store that notice when it has come back from an older copy.
//!
//! The store states its era in each answer. All calls of a host go through one [`StoreClient`]: the
//! first answer of a newer era ends what relies on an older one, whichever call it answers, and
//! later answers of an older era are dropped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use metrics::{counter, gauge};
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::interface::{
    ConditionalPut, LeaseId, Store, StoreAnswer, StoreChange, StoreEra, StoreError, StoreItem,
    StoreRevision, WithRevision,
};
use crate::store_position::{EraObservation, EraTracker, StorePosition};

/// Items or changes with the position of the store that they were read at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithPosition<T> {
    /// Items or changes that were read.
    pub content: T,
    /// Position after which a watch continues without missing a change.
    pub position: StorePosition,
}

/// Lease of the store; its id is valid only in its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    /// Id that the store gave the lease.
    pub id: LeaseId,
    /// Era in which the lease was granted.
    pub era: StoreEra,
}

/// The store, as one host sees it.
pub struct StoreClient<P> {
    platform: Rc<P>,
    eras: RefCell<EraTracker>,
    /// Newest era, for the tasks that wait for a change.
    era: watch::Sender<StoreEra>,
    /// Time at which the newest era was first observed.
    era_seen_at: Cell<Instant>,
    logger: Logger,
}

impl<P: Store> StoreClient<P> {
    /// Creates a client that has not observed any era.
    #[must_use]
    pub fn new(platform: Rc<P>, logger: Logger) -> Self {
        Self {
            platform,
            eras: RefCell::default(),
            era: watch::Sender::new(0),
            era_seen_at: Cell::new(Instant::now()),
            logger,
        }
    }

    /// Returns the newest era that this host or a peer has observed.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.eras.borrow().era()
    }

    /// Returns the time for which this host has known the newest era.
    #[must_use]
    pub fn era_age(&self) -> Duration {
        self.era_seen_at.get().elapsed()
    }

    /// Waits until an era newer than `known` has been observed.
    pub async fn wait_for_newer_era(&self, known: StoreEra) {
        let mut eras = self.era.subscribe();
        // Fails only without a sender, which lives as long as `self`.
        let _ = eras.wait_for(|&era| era > known).await;
    }

    /// Records the era that a peer has observed.
    pub fn observe_peer_era(&self, era: StoreEra) {
        if era > self.era() {
            self.observe("peer", era, None);
        }
    }

    /// Returns all items under a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, refuses the call or has changed its era.
    pub async fn range(&self, prefix: &str) -> Result<WithPosition<Vec<StoreItem>>, StoreError> {
        let answer = self.platform.range(prefix).await;
        self.check("range", answer, |read| Some(read.revision))
            .map(WithPosition::from)
    }

    /// Returns the changes under a prefix after a position; waits for the first one at most for
    /// `wait` and returns none if none occurs.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, refuses the call, has compacted its history
    /// since the position, or has changed its era.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<WithPosition<Vec<StoreChange>>, StoreError> {
        if after.era < self.era() {
            return Err(StoreError::EraChanged);
        }
        let watched = self.platform.watch(prefix, after.revision, wait).await;
        let watched = self.check("watch", watched, |read| Some(read.revision));
        self.in_era(after.era, watched).map(WithPosition::from)
    }

    /// Writes an item under a lease if its key is at the expected revision of the lease's era, and
    /// returns the position of the write.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold, the store does not answer, refuses the call
    /// or has changed its era.
    pub async fn put_if(
        &self,
        put: &ConditionalPut,
        era: StoreEra,
    ) -> Result<StorePosition, StoreError> {
        if era < self.era() {
            return Err(StoreError::EraChanged);
        }
        let written = self.platform.put_if(put).await;
        let written = self.check("write", written, |revision| Some(*revision));
        let (revision, era) = self.in_era(era, written)?;
        Ok(StorePosition { era, revision })
    }

    /// Requests a lease, which lapses unless it is renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or refuses the call.
    pub async fn grant(&self, ttl: Duration) -> Result<StoreLease, StoreError> {
        let granted = self.platform.grant(ttl).await;
        let (id, era) = self.check("lease", granted, |_| None)?;
        Ok(StoreLease { id, era })
    }

    /// Renews a lease for another period of the `ttl` that it was granted for.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease has ended, the store does not answer, refuses the call or has
    /// changed its era; in a newer era the id may be that of another lease.
    pub async fn renew(&self, lease: StoreLease) -> Result<(), StoreError> {
        if lease.era < self.era() {
            return Err(StoreError::EraChanged);
        }
        let renewed = self.platform.renew(lease.id).await;
        let renewed = self.check("renewal", renewed, |()| None);
        self.in_era(lease.era, renewed).map(|((), _)| ())
    }

    /// Ends a lease before it lapses.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease has ended, the store does not answer, refuses the call or has
    /// changed its era; in a newer era the id may be that of another lease.
    pub async fn end_lease(&self, lease: StoreLease) -> Result<(), StoreError> {
        if lease.era < self.era() {
            return Err(StoreError::EraChanged);
        }
        let ended = self.platform.end_lease(lease.id).await;
        let ended = self.check("end of a lease", ended, |()| None);
        self.in_era(lease.era, ended).map(|((), _)| ())
    }

    /// Records the era of an answer; drops an answer of an older era.
    fn check<T>(
        &self,
        call: &'static str,
        answer: StoreAnswer<T>,
        revision: impl Fn(&T) -> Option<StoreRevision>,
    ) -> Result<(T, StoreEra), StoreError> {
        let Some(era) = answer.era else {
            return answer.result.map(|value| (value, self.era()));
        };
        let revision = answer.result.as_ref().ok().and_then(revision);
        let is_older = self.observe(call, era, revision) == EraObservation::Older;
        match answer.result {
            Err(error @ (StoreError::Refused(_) | StoreError::Unreadable(_))) => Err(error),
            _ if is_older => Err(StoreError::OlderEra),
            result => result.map(|value| (value, era)),
        }
    }

    /// Returns an error unless the answer is of the era that the call belongs to; a newer one may
    /// have given out the same revisions and lease ids.
    fn in_era<T>(
        &self,
        era: StoreEra,
        answer: Result<(T, StoreEra), StoreError>,
    ) -> Result<(T, StoreEra), StoreError> {
        match answer {
            Ok((_, answered)) if answered > era => Err(StoreError::EraChanged),
            Err(
                StoreError::Compacted
                | StoreError::Conflict
                | StoreError::NotFound
                | StoreError::OlderEra,
            ) if self.era() > era => Err(StoreError::EraChanged),
            answer => answer,
        }
    }

    fn observe(
        &self,
        call: &'static str,
        era: StoreEra,
        revision: Option<StoreRevision>,
    ) -> EraObservation {
        let observation = self.eras.borrow_mut().observe(era, revision);
        match observation {
            EraObservation::Current => {
                if self
                    .era
                    .send_if_modified(|known| std::mem::replace(known, era) != era)
                {
                    self.era_seen_at.set(Instant::now());
                }
            }
            EraObservation::Newer { before } => {
                warn!(
                    self.logger, "store: Store came back from an older copy. All records are read again.";
                    "era" => era, "before" => before.era, "call" => call,
                    "revision" => revision, "revision_before" => before.revision
                );
                counter!("store_era_changes_total").increment(1);
                self.era_seen_at.set(Instant::now());
                self.era.send_replace(era);
            }
            EraObservation::Older => {
                info!(
                    self.logger, "store: Answer of an older era dropped.";
                    "era" => era, "newest" => self.era(), "call" => call
                );
                counter!("store_answers_of_older_era_total").increment(1);
            }
        }
        gauge!("store_era").set(self.era() as f64);
        observation
    }
}

impl<T> From<(WithRevision<T>, StoreEra)> for WithPosition<T> {
    fn from((read, era): (WithRevision<T>, StoreEra)) -> Self {
        Self {
            content: read.content,
            position: StorePosition {
                era,
                revision: read.revision,
            },
        }
    }
}
