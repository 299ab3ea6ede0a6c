//! Saves the software versions of streams in the store.
//!
//! If all hosts end at once, nobody remembers at which version a stream began. While a service may have
//! several versions, each host saves what it began in parts that end with a lease. Before, a few hosts save
//! what their peers tell them in the background. A host reads all parts when a caller takes a stream up
//! whose version neither it nor its peers know.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use metrics::counter;
use prost::Message;
use rand::RngExt;
use slog::{Logger, debug, info, warn};
use tokio::time::sleep;

use crate::core::{Core, CoreHandle};
use crate::interface::{ConditionalPut, Store, StoreError, StoreItem};
use crate::store_client::{StoreClient, StoreLease};
use crate::stream_versions::StreamOrigin;

/// Prefix of the keys of all parts.
const PARTS_PREFIX: &str = "hickoryhall/streams/";
/// Shortest time between two parts of one host; streams that begin meanwhile join.
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(300);
/// The same time for each host of the fleet, so that all hosts together write a hundred parts a second
/// at most.
const SAVE_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);
/// Time between two parts of a host that saves streams in the background, for each host of the fleet, and
/// its bounds.
const BACKGROUND_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);
const BACKGROUND_INTERVAL_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(650)..=Duration::from_millis(1_300);
/// Pause after a part that could not be written in the background.
const BACKGROUND_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Maximum number of streams in one part, so that it fits into a value.
const MAX_STREAMS_PER_PART: usize = 16_384;
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Value of a part.
///
/// Field numbers and types stay: hosts of other builds read and write them.
#[derive(Clone, PartialEq, Message)]
struct WirePart {
    #[prost(message, repeated, tag = "1")]
    groups: Vec<WireGroup>,
}

/// Streams of one service that began at one software version.
#[derive(Clone, PartialEq, Message)]
struct WireGroup {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    software: u64,
    #[prost(fixed64, repeated, tag = "3")]
    streams: Vec<u64>,
}

impl From<&[StreamOrigin]> for WirePart {
    fn from(origins: &[StreamOrigin]) -> Self {
        let mut groups = Vec::<WireGroup>::new();
        for origin in origins {
            let mut known = groups.iter_mut();
            let group = known
                .find(|group| (group.service, group.software) == (origin.service, origin.software));
            match group {
                Some(group) => group.streams.push(origin.stream),
                None => groups.push(WireGroup {
                    service: origin.service,
                    software: origin.software,
                    streams: vec![origin.stream],
                }),
            }
        }
        Self { groups }
    }
}

impl From<WirePart> for Vec<StreamOrigin> {
    fn from(part: WirePart) -> Self {
        let groups = part.groups.into_iter();
        let origins = groups.flat_map(|group| {
            let (service, software) = (group.service, group.software);
            group.streams.into_iter().map(move |stream| StreamOrigin {
                stream,
                service,
                software,
            })
        });
        origins.collect()
    }
}

/// Writes and reads the parts.
pub struct StreamRecorder<P> {
    store: Rc<StoreClient<P>>,
    core: CoreHandle,
    logger: Logger,
}

impl<P: Store> StreamRecorder<P> {
    /// Creates a recorder that has written and read nothing.
    #[must_use]
    pub fn new(store: Rc<StoreClient<P>>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            store,
            core,
            logger,
        }
    }

    /// Saves streams that this host began until the task is dropped. An older copy of the store lacks some
    /// of them, so that all are saved again.
    pub async fn save(&self) {
        // Tells the parts of this process from those of others.
        let process = rand::rng().random::<u64>();
        let mut lease = None;
        let mut era = self.store.era();
        for number in 0_u64.. {
            let waits_since = Instant::now();
            let is_restored = tokio::select! {
                () = self.core.has_unsaved_streams() => self.store.era() > era,
                () = self.store.wait_for_newer_era(era) => true,
            };
            if is_restored {
                era = self.store.era();
                lease = None;
                self.core.with(|core, _| core.forget_saved());
            }
            if waits_since.elapsed() > self.save_interval() {
                sleep(self.first_delay()).await;
            }
            let (origins, end) = self
                .core
                .with(|core, _| core.unsaved_streams(MAX_STREAMS_PER_PART));
            let key = format!("{PARTS_PREFIX}{process:016x}/{number:x}");
            // All streams may have ended meanwhile.
            if !origins.is_empty()
                && let Err(error) = self.write(key, &origins, &mut lease).await
            {
                debug!(self.logger, "streams: Versions of streams not saved."; "streams" => origins.len(), "error" => %error);
                lease = None;
                sleep(RETRY_PAUSE).await;
                continue;
            }
            counter!("streams_saved_total").increment(origins.len() as u64);
            self.core.with(|core, _| core.set_saved_until(end));
            sleep(self.save_interval()).await;
        }
    }

    /// Saves the streams of services with one version, if this host does so for others, until the task is
    /// dropped.
    pub async fn save_in_background(&self) {
        let process = rand::rng().random::<u64>();
        let mut lease = None;
        let mut era = self.store.era();
        for number in 0_u64.. {
            let interval = BACKGROUND_INTERVAL_PER_HOST.saturating_mul(self.host_count());
            let (shortest, longest) = BACKGROUND_INTERVAL_RANGE.into_inner();
            sleep(interval.clamp(shortest, longest)).await;
            if self.store.era() > era {
                era = self.store.era();
                lease = None;
                self.core.with(|core, _| core.set_kept_saved_until(0));
            }
            let (origins, end) = self
                .core
                .with(|core, _| core.unsaved_kept_streams(MAX_STREAMS_PER_PART));
            if origins.is_empty() {
                continue;
            }
            let key = format!("{PARTS_PREFIX}{process:016x}/{number:x}");
            if let Err(error) = self.write(key, &origins, &mut lease).await {
                info!(self.logger, "streams: Versions of streams not saved in the background."; "streams" => origins.len(), "error" => %error);
                lease = None;
                sleep(BACKGROUND_RETRY_PAUSE).await;
                continue;
            }
            counter!("streams_saved_total").increment(origins.len() as u64);
            self.core.with(|core, _| core.set_kept_saved_until(end));
        }
    }

    fn host_count(&self) -> u32 {
        let hosts = self.core.with(Core::host_count);
        u32::try_from(hosts).unwrap_or(u32::MAX)
    }

    fn save_interval(&self) -> Duration {
        SAVE_INTERVAL_PER_HOST
            .saturating_mul(self.host_count())
            .max(MIN_SAVE_INTERVAL)
    }

    /// Returns the delay of the first part after a while: a version that joins makes all hosts of a fleet
    /// save at the same moment.
    fn first_delay(&self) -> Duration {
        let interval = self.save_interval();
        if interval > MIN_SAVE_INTERVAL {
            interval.mul_f64(rand::rng().random::<f64>())
        } else {
            Duration::ZERO
        }
    }

    /// Writes a part. Its lease ends when no stream in it can be taken up any more.
    async fn write(
        &self,
        key: String,
        origins: &[StreamOrigin],
        lease: &mut Option<(StoreLease, Instant)>,
    ) -> Result<(), StoreError> {
        let lifetime = self.core.with(|core, _| core.stream_lifetime());
        let usable = lease.filter(|(_, granted_at)| granted_at.elapsed() < lifetime);
        let granted = match usable {
            Some((granted, _)) => granted,
            None => {
                let granted = self.store.grant(2 * lifetime).await?;
                *lease = Some((granted, Instant::now()));
                granted
            }
        };
        let put = ConditionalPut {
            key,
            value: Bytes::from(WirePart::from(origins).encode_to_vec()),
            expected_revision: 0,
            lease: granted.id,
        };
        self.store.put_if(&put, granted.era).await.map(|_| ())
    }

    /// Reads all parts whenever a stream is taken up that neither this host nor its peers know, until
    /// the task is dropped.
    pub async fn load(&self) {
        loop {
            self.core.wants_saved_streams().await;
            match self.store.range(PARTS_PREFIX).await {
                Ok(read) => {
                    let parts = read.content.iter();
                    let origins = parts.flat_map(|item| self.decode(item)).collect::<Vec<_>>();
                    info!(
                        self.logger, "streams: Versions of streams read.";
                        "parts" => read.content.len(), "streams" => origins.len()
                    );
                    self.core
                        .with(|core, now| core.on_saved_streams(now, &origins));
                }
                Err(error) => {
                    info!(self.logger, "streams: Versions of streams not read."; "error" => %error);
                    self.core.with(Core::on_saved_streams_unreadable);
                }
            }
        }
    }

    fn decode(&self, item: &StoreItem) -> Vec<StreamOrigin> {
        match WirePart::decode(item.value.clone()) {
            Ok(part) => part.into(),
            Err(error) => {
                warn!(
                    self.logger, "streams: Saved versions of streams skipped.";
                    "key" => &item.key, "error" => %error
                );
                Vec::new()
            }
        }
    }
}
