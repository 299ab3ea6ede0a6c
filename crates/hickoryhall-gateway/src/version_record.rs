//! Keeps the software versions of all services recorded in the store.
//!
//! A host that starts finds there which versions were in use, also if all hosts ended at once and
//! the servers of a version have left since. The record changes only when a version joins or was
//! left for longer than any stream lasts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_types::hash_name;
use prost::Message;
use slog::{Logger, debug, info, warn};
use tokio::time::{sleep, timeout};

use crate::core::{Core, CoreHandle};
use crate::interface::{ConditionalPut, Store, StoreError, StoreRevision};
use crate::store_client::StoreClient;
use crate::store_position::StorePosition;
use crate::stream_versions::ServiceVersion;

/// Key of the record.
const RECORD_KEY: &str = "hickoryhall/software-versions";
/// Hosts that write a change at once; the others look whether it was written.
const WRITERS: usize = 2;
/// Time after which the first of the other hosts looks, and the time between two of them.
const OTHERS_DELAY: Duration = Duration::from_secs(1);
const DELAY_PER_HOST: Duration = Duration::from_millis(50);
/// Longest time until any host looks.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// Time after which a host compares the record with what it knows, though no version has changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Value of the record in the store.
///
/// Field numbers and types stay: hosts of other builds read and write them.
#[derive(Clone, PartialEq, Message)]
struct WireVersionRecord {
    #[prost(message, repeated, tag = "1")]
    versions: Vec<WireServiceVersion>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireServiceVersion {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    software: u64,
}

impl From<&BTreeSet<ServiceVersion>> for WireVersionRecord {
    fn from(versions: &BTreeSet<ServiceVersion>) -> Self {
        let versions = versions.iter().map(|version| WireServiceVersion {
            service: version.service,
            software: version.software,
        });
        Self {
            versions: versions.collect(),
        }
    }
}

impl From<WireVersionRecord> for BTreeSet<ServiceVersion> {
    fn from(wire: WireVersionRecord) -> Self {
        let versions = wire.versions.into_iter();
        let versions = versions.map(|version| ServiceVersion {
            service: version.service,
            software: version.software,
        });
        versions.collect()
    }
}

/// Reads and writes the record.
pub struct VersionRecorder<P> {
    store: Rc<StoreClient<P>>,
    core: CoreHandle,
    logger: Logger,
}

impl<P: Store> VersionRecorder<P> {
    /// Creates a recorder that has not read the record.
    #[must_use]
    pub fn new(store: Rc<StoreClient<P>>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            store,
            core,
            logger,
        }
    }

    /// Reads the record and keeps it up to date until the task is dropped.
    pub async fn run(&self) {
        loop {
            if let Err(error) = self.follow().await {
                debug!(self.logger, "versions: Record of software versions not reached."; "error" => %error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads the record, and writes it once it has to change. Returns when it has to be read again.
    async fn follow(&self) -> Result<(), StoreError> {
        let (position, revision) = self.read().await?;
        let versions = tokio::select! {
            () = self.store.wait_for_newer_era(position.era) => return Ok(()),
            versions = self.next_update() => versions,
        };
        let rank = self
            .core
            .with(|core, now| core.duty_rank(now, hash_name(RECORD_KEY)));
        if rank >= WRITERS {
            let others = u32::try_from(rank - WRITERS).unwrap_or(u32::MAX);
            let delay = OTHERS_DELAY.saturating_add(DELAY_PER_HOST.saturating_mul(others));
            sleep(delay.min(MAX_DELAY)).await;
            let (_, found) = self.read().await?;
            let update = self.core.with(Core::version_record_update);
            if found != revision || update.is_none() {
                return Ok(());
            }
        }
        let put = ConditionalPut {
            key: RECORD_KEY.to_owned(),
            value: Bytes::from(WireVersionRecord::from(&versions).encode_to_vec()),
            expected_revision: revision,
            lease: 0,
        };
        match self.store.put_if(&put, position.era).await {
            Ok(_) => {
                info!(self.logger, "versions: Software versions recorded."; "versions" => versions.len());
                Ok(())
            }
            // Another host was faster.
            Err(StoreError::Conflict | StoreError::EraChanged) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads the record; returns the position of the store and the revision of the record.
    async fn read(&self) -> Result<(StorePosition, StoreRevision), StoreError> {
        let read = self.store.range(RECORD_KEY).await?;
        let mut items = read.content.into_iter();
        let item = items.find(|item| item.key == RECORD_KEY);
        let (versions, revision) = item.map_or_else(Default::default, |item| {
            let versions = WireVersionRecord::decode(item.value).unwrap_or_else(|error| {
                warn!(
                    self.logger, "versions: Record of software versions cannot be read. It is written again.";
                    "error" => %error, "revision" => item.revision
                );
                WireVersionRecord::default()
            });
            (BTreeSet::from(versions), item.revision)
        });
        self.core
            .with(|core, now| core.on_recorded_versions(now, versions));
        Ok((read.position, revision))
    }

    /// Waits until the record has to change.
    async fn next_update(&self) -> BTreeSet<ServiceVersion> {
        loop {
            let versions = self.core.with(Core::version_record_update);
            if let Some(versions) = versions {
                return versions;
            }
            // Knowledge grows with time as well.
            let _ = timeout(CHECK_INTERVAL, self.core.may_need_record()).await;
        }
    }
}
