//! Decides at which software version a stream goes on.
//!
//! What two software versions write does not fit together, so a stream goes on only at the version
//! that began it. Each host remembers that of the streams that it began, and tells some peers of them
//! in the background, which save them for all. Once a service may have several versions, it tells
//! them of those streams at once, and of each further one when its first event leaves. A caller that
//! takes a stream up at another host names the request that brought its first event. The host needs no
//! memory of that request where the service has had one version for longer than any stream lasts; else
//! it asks its peers, and then the store. What is registered now tells nothing of servers that have
//! left, so that a host which has just started relies on the versions that the store records.

mod inquiry;
mod own_streams;
mod saved_reads;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

pub use inquiry::{Inquiry, OwnKnowledge};
pub use own_streams::{KeeperPositions, OwnStreams, SharePosition, StreamLog};
pub use saved_reads::SavedStreamReads;

use hickoryhall_types::{Incarnation, hash_name};

use crate::registry::{BackendServer, ServerId};

/// Stable hash of the name of a software version.
pub type SoftwareHash = u64;
/// Stable hash of the name of a service.
pub type ServiceHash = u64;
/// Stable hash of the id of the request that brought a stream's first event.
pub type StreamHash = u64;

/// Longest time for which a stream may be taken up, before a table tells.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(5);
/// Time beyond the longest timeout of a route for which a stream may be taken up.
const STREAM_LIFETIME_SLACK: Duration = Duration::from_secs(2);
/// Longest such time; a longer timeout would keep everything forever.
const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(120);
/// Age up to which the last answer of the store about the registry tells which servers there are. A host
/// that asks anew for each stream would ask at most as often.
const MAX_REGISTRY_AGE: Duration = Duration::from_millis(300);
/// Maximum number of streams that are remembered; the oldest are forgotten first.
const MAX_STREAMS: usize = 65_536;
/// Maximum number of versions that the store records; services beyond them are left out.
const MAX_RECORDED_VERSIONS: usize = 512;

/// A software version that servers of a service have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceVersion {
    /// Service of the servers.
    pub service: ServiceHash,
    /// Their software version.
    pub software: SoftwareHash,
}

/// A stream and the software version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Request that brought the first event.
    pub stream: StreamHash,
    /// Service that the stream comes from.
    pub service: ServiceHash,
    /// Software version of the server that began it.
    pub software: SoftwareHash,
}

/// A stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamQuestion {
    /// Request that brought the first event; `None` if the caller does not name it.
    pub stream: Option<StreamHash>,
    /// Service that the stream comes from.
    pub service: ServiceHash,
}

/// What a host knows of the version of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKnowledge {
    /// The stream began at this version.
    Began(SoftwareHash),
    /// The service has had no other version for longer than any stream lasts.
    Only {
        /// The version.
        software: SoftwareHash,
        /// Whether the host has read the registry for as long and has just read it, so that no other
        /// server is unknown to it.
        is_current: bool,
    },
    /// The service has had several versions.
    Several,
    /// The host has not known the service for long enough.
    Unknown,
}

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeUp {
    /// At servers of this software version.
    At(SoftwareHash),
    /// Peers have to be asked.
    Ask,
}

/// Circumstances under which a host is asked.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time by the steady clock.
    pub now: Instant,
    /// Time since the registry was read; `None` if it has not been.
    pub registry_age: Option<Duration>,
}

impl Moment {
    /// Returns whether the registry was read so lately that no stream can have begun at a server that
    /// is unknown here, but in that time.
    #[must_use]
    pub fn is_registry_current(&self) -> bool {
        self.registry_age.is_some_and(|age| age <= MAX_REGISTRY_AGE)
    }
}

/// What a registered server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerSoftware {
    version: ServiceVersion,
    incarnation: Incarnation,
}

/// Memory of the versions of streams and services.
#[derive(Debug)]
pub struct StreamVersions {
    /// Whether no stream is older than this process, because the whole fleet starts for the first
    /// time.
    is_first_start: bool,
    streams: HashMap<StreamHash, (StreamOrigin, Instant)>,
    /// Streams by the time at which they were recorded; those recorded again stand here twice.
    by_age: VecDeque<(Instant, StreamHash)>,
    servers: HashMap<ServerId, ServerSoftware>,
    /// Versions that were in use and may be no more, with the last time at which they were.
    earlier: HashMap<ServiceVersion, Instant>,
    /// Versions whose last server has changed or gone since the last call that tells the time.
    left: Vec<ServiceVersion>,
    /// Versions that appeared in the registry, of which peers have not been told.
    new: Vec<ServiceVersion>,
    /// Time since which all servers are known; `None` before the first list of the registry.
    known_since: Option<Instant>,
    /// Versions that the store records, all that were in use of each service that it names; `None`
    /// before the record is read.
    recorded: Option<BTreeSet<ServiceVersion>>,
    /// Services of which a peer that knows their versions for long has named the only one, since this
    /// host has read the registry.
    vouched: HashSet<ServiceHash>,
    /// Whether the record may have to change.
    may_need_record: bool,
    /// Streams that this host began.
    own: OwnStreams,
    /// Streams of services with one version, those of peers too, which this host may have to save.
    kept: StreamLog,
    /// Whether a service that had one version may have several since own streams were last shared.
    may_have_to_share: bool,
    lifetime: Duration,
}

impl StreamVersions {
    /// Creates the memory of a host that knows no servers yet. `is_first_start` tells whether the
    /// whole fleet starts for the first time.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            streams: HashMap::new(),
            by_age: VecDeque::new(),
            servers: HashMap::new(),
            earlier: HashMap::new(),
            left: Vec::new(),
            new: Vec::new(),
            known_since: None,
            recorded: None,
            vouched: HashSet::new(),
            may_need_record: false,
            own: OwnStreams::default(),
            kept: StreamLog::default(),
            may_have_to_share: false,
            lifetime: MIN_STREAM_LIFETIME,
        }
    }

    /// Applies the longest timeout of a route; the longest of all tables counts, because streams
    /// that began under an earlier table may still be taken up.
    pub fn set_longest_timeout(&mut self, timeout: Duration) {
        let lifetime = timeout.saturating_add(STREAM_LIFETIME_SLACK);
        self.lifetime = self.lifetime.max(lifetime.min(MAX_STREAM_LIFETIME));
    }

    /// Records a registered server, or a change of it.
    pub fn on_server(&mut self, server: &BackendServer) {
        let known = ServerSoftware {
            version: ServiceVersion {
                service: hash_name(&server.service),
                software: hash_name(&server.software),
            },
            incarnation: server.incarnation,
        };
        if self.known_since.is_some() && !self.is_in_use(known.version) {
            self.new.push(known.version);
        }
        let recorded = self.recorded.as_ref();
        self.may_need_record |= recorded.is_none_or(|all| !all.contains(&known.version));
        let before = self.servers.insert(server.id.clone(), known);
        self.may_have_to_share |= before.is_none_or(|before| before.version != known.version);
        if let Some(before) = before
            && before != known
        {
            self.left.push(before.version);
        }
    }

    fn is_in_use(&self, version: ServiceVersion) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.version == version) || self.earlier.contains_key(&version)
    }

    /// Takes the versions that appeared in the registry since the last call. Peers may read it a
    /// second later than this host, which uses them now.
    pub fn take_new(&mut self) -> Vec<ServiceVersion> {
        std::mem::take(&mut self.new)
    }

    /// Returns whether versions have appeared since the last call of [`take_new`](Self::take_new).
    #[must_use]
    pub fn has_new(&self) -> bool {
        !self.new.is_empty()
    }

    /// Records that a peer uses a version.
    pub fn record_in_use(&mut self, now: Instant, version: ServiceVersion) {
        self.may_have_to_share |= self.earlier.insert(version, now).is_none();
    }

    /// Records that a server is no longer registered.
    pub fn on_server_gone(&mut self, id: &str) {
        if let Some(before) = self.servers.remove(id) {
            self.left.push(before.version);
        }
    }

    /// Records that all registered servers are known.
    pub fn on_registry_list(&mut self, now: Instant) {
        if self.known_since.is_none() {
            self.known_since = Some(now);
            self.may_need_record = true;
        }
    }

    /// Applies the versions that the store records. Those that were not recorded before may have been
    /// in use until now.
    pub fn on_recorded(&mut self, now: Instant, versions: BTreeSet<ServiceVersion>) {
        let before = self.recorded.take().unwrap_or_default();
        for &version in versions.difference(&before) {
            self.record_in_use(now, version);
        }
        self.recorded = Some(versions);
        self.may_need_record = true;
        self.may_have_to_share = true;
    }

    /// Returns whether the record may have to change, for which
    /// [`record_update`](Self::record_update) has to be called.
    #[must_use]
    pub fn may_need_record(&self) -> bool {
        self.may_need_record && self.recorded.is_some() && self.known_since.is_some()
    }

    /// Returns the versions that the store has to record from now on, `None` if it does already or the
    /// record has not been read.
    ///
    /// A service is recorded first by a host that knows all versions that were in use.
    pub fn record_update(&mut self, now: Instant) -> Option<BTreeSet<ServiceVersion>> {
        self.expire(now);
        let (recorded, _) = (self.recorded.as_ref()?, self.known_since?);
        self.may_need_record = false;
        let knows_for_long = self.knows_for_long(now);
        let registered = self.servers.values().map(|server| server.version);
        let in_use = registered.chain(self.earlier.keys().copied());
        let is_complete = |service| self.knows_service(now, service) || self.is_recorded(service);
        let in_use = in_use.filter(|version| is_complete(version.service));
        let mut versions = in_use.collect::<BTreeSet<_>>();
        if !knows_for_long {
            versions.extend(recorded);
        }
        while versions.len() > MAX_RECORDED_VERSIONS
            && let Some(last) = versions.last().map(|version| version.service)
        {
            versions.retain(|version| version.service != last);
        }
        (versions != *recorded).then_some(versions)
    }

    /// Returns the time for which a stream may be taken up.
    #[must_use]
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns whether streams may be taken up that began before this host knew of any.
    #[must_use]
    pub fn may_miss_streams(&self, now: Instant) -> bool {
        !self.knows_for_long(now)
    }

    /// Forgets what is older than any stream that may be taken up.
    pub fn expire(&mut self, now: Instant) {
        for version in self.left.drain(..) {
            self.earlier.insert(version, now);
        }
        let lifetime = self.lifetime;
        let is_old = |at: Instant| now.saturating_duration_since(at) > lifetime;
        let count = self.earlier.len();
        self.earlier.retain(|_, at| !is_old(*at));
        let is_any_forgotten = self.earlier.len() < count;
        self.may_need_record |= is_any_forgotten;
        self.may_have_to_share |= is_any_forgotten;
        self.own.expire(now, lifetime);
        self.kept.expire(now, lifetime);
        while let Some(&(at, stream)) = self.by_age.front() {
            if !is_old(at) && self.by_age.len() <= MAX_STREAMS {
                break;
            }
            self.by_age.pop_front();
            if self
                .streams
                .get(&stream)
                .is_some_and(|(_, recorded)| *recorded == at)
            {
                self.streams.remove(&stream);
            }
        }
    }

    /// Returns the software of a server that a request was sent to, `None` if its process may have
    /// changed to another version meanwhile.
    #[must_use]
    pub fn software_of(&self, server: &BackendServer) -> Option<SoftwareHash> {
        let software = hash_name(&server.software);
        let known = self.servers.get(&server.id);
        let is_certain = known.is_none_or(|known| {
            known.incarnation == server.incarnation || known.version.software == software
        });
        is_certain.then_some(software)
    }

    /// Records the version that began a stream, of this host or as a peer told it. A stream that is
    /// known keeps its version, and is remembered for longer.
    pub fn record(&mut self, now: Instant, origin: &StreamOrigin) {
        let known = self.streams.get(&origin.stream);
        let kept = known.map_or(*origin, |(known, _)| *known);
        let before = self.streams.insert(origin.stream, (kept, now));
        // One that was recorded just before needs no second place.
        if before.is_none_or(|(_, at)| at != now) {
            self.by_age.push_back((now, origin.stream));
        }
        let version = ServiceVersion {
            service: origin.service,
            software: origin.software,
        };
        self.record_in_use(now, version);
        self.expire(now);
    }

    /// Records a stream that this host begins. Others have to know it at once if the version of its
    /// service alone does not tell where it goes on.
    pub fn begin(&mut self, now: Instant, origin: StreamOrigin) {
        let is_shared = self.must_share(now, origin.service);
        self.record(now, &origin);
        self.own.begin(now, origin, is_shared);
        if !is_shared {
            self.kept.push(now, origin);
        }
    }

    /// Records streams that a peer began. Of a service that may have several versions, the peer saves its
    /// streams itself.
    pub fn record_told(&mut self, now: Instant, origins: &[StreamOrigin]) {
        for origin in origins {
            self.record(now, origin);
        }
        // One look at all servers for each service, not for each stream.
        let services = origins.iter().map(|origin| origin.service);
        for service in services.collect::<BTreeSet<_>>() {
            if !self.must_share(now, service) {
                let kept = origins.iter().filter(|origin| origin.service == service);
                kept.for_each(|origin| self.kept.push(now, *origin));
            }
        }
    }

    /// Returns the streams of this host and of its peers that are saved in the background.
    #[must_use]
    pub fn kept(&self) -> &StreamLog {
        &self.kept
    }

    /// Returns the number of streams, shared or kept, that were forgotten since the last call though they
    /// may still be taken up.
    pub fn take_forgotten(&mut self) -> u64 {
        self.own.take_forgotten() + self.kept.take_forgotten()
    }

    /// Returns whether [`share_own`](Self::share_own) has to be called.
    #[must_use]
    pub fn may_have_to_share(&self) -> bool {
        self.may_have_to_share
    }

    /// Shares the streams that this host began while their service had one version, if it may have
    /// several now; returns their numbers by service.
    pub fn share_own(&mut self, now: Instant) -> Vec<(ServiceHash, usize)> {
        self.expire(now);
        self.may_have_to_share = false;
        let mut shared = Vec::new();
        for service in self.own.unshared_services() {
            if self.must_share(now, service) {
                shared.push((service, self.own.share(service)));
            }
        }
        shared
    }

    /// Returns the streams that this host began.
    #[must_use]
    pub fn own(&self) -> &OwnStreams {
        &self.own
    }

    fn must_share(&mut self, now: Instant, service: ServiceHash) -> bool {
        let moment = Moment {
            now,
            registry_age: None,
        };
        !matches!(
            self.knowledge_of_service(moment, service),
            StreamKnowledge::Only { .. }
        )
    }

    /// Returns what this host knows of a stream.
    pub fn knowledge(&mut self, moment: Moment, question: &StreamQuestion) -> StreamKnowledge {
        self.expire(moment.now);
        let stream = question.stream.and_then(|stream| self.streams.get(&stream));
        match stream {
            Some((origin, _)) if origin.service == question.service => {
                StreamKnowledge::Began(origin.software)
            }
            // The route has another service now.
            Some(_) => StreamKnowledge::Several,
            None => self.knowledge_of_service(moment, question.service),
        }
    }

    /// Decides where a stream that a caller takes up may go on, as far as this host knows.
    pub fn take_up(&mut self, moment: Moment, question: &StreamQuestion) -> TakeUp {
        match self.knowledge(moment, question) {
            StreamKnowledge::Began(software)
            | StreamKnowledge::Only {
                software,
                is_current: true,
            } => TakeUp::At(software),
            _ => TakeUp::Ask,
        }
    }

    fn knowledge_of_service(&mut self, moment: Moment, service: ServiceHash) -> StreamKnowledge {
        self.expire(moment.now);
        let registered = self.servers.values().map(|server| &server.version);
        let in_use = registered.chain(self.earlier.keys());
        let in_use = in_use.filter(|version| version.service == service);
        let versions = in_use.map(|version| version.software);
        let mut versions = versions.collect::<BTreeSet<_>>().into_iter();
        let knows_service = self.knows_service(moment.now, service);
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => StreamKnowledge::Several,
            (Some(software), None) if knows_service || self.is_recorded(service) => {
                StreamKnowledge::Only {
                    software,
                    is_current: knows_service && moment.is_registry_current(),
                }
            }
            _ => StreamKnowledge::Unknown,
        }
    }

    /// Records the only version of a service, named by a peer that knows it for long.
    pub fn vouch(&mut self, now: Instant, version: ServiceVersion) {
        self.record_in_use(now, version);
        if self.known_since.is_some() && self.vouched.len() < MAX_RECORDED_VERSIONS {
            self.may_need_record |= self.vouched.insert(version.service);
        }
    }

    /// Returns the registered services of which neither this host nor the record in the store knows all
    /// versions that were in use.
    pub fn unknown_services(&self, now: Instant) -> BTreeSet<ServiceHash> {
        if self.recorded.is_none() || self.known_since.is_none() || self.knows_for_long(now) {
            return BTreeSet::new();
        }
        let services = self.servers.values().map(|server| server.version.service);
        let is_unknown = |service: &ServiceHash| {
            !self.knows_service(now, *service) && !self.is_recorded(*service)
        };
        services.filter(is_unknown).collect()
    }

    fn knows_service(&self, now: Instant, service: ServiceHash) -> bool {
        self.knows_for_long(now) || self.vouched.contains(&service)
    }

    /// Returns whether no version can have left a service before this host knew of it.
    fn knows_for_long(&self, now: Instant) -> bool {
        let Some(known_since) = self.known_since else {
            return false;
        };
        self.is_first_start || now.saturating_duration_since(known_since) > self.lifetime
    }

    /// Returns whether all versions of a service are known from the record in the store and the registry.
    fn is_recorded(&self, service: ServiceHash) -> bool {
        let mut recorded = self.recorded.iter().flatten();
        self.known_since.is_some() && recorded.any(|version| version.service == service)
    }
}
