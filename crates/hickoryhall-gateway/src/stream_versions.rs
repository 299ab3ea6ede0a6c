//! Decides at which software version a stream goes on.
//!
//! What two software versions write does not fit together, so a stream goes on only at the version
//! that began it. Each host remembers that of the streams that it began, and while a service may
//! have several versions it tells some peers of each stream when its first event leaves. A caller
//! that takes a stream up at another host names the request that brought its first event. The host
//! needs no memory of that request where the service has had one version for longer than any stream
//! lasts; else it asks its peers.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

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
/// Largest difference between the clocks of a host and a server.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(3);
/// Maximum number of streams that are remembered; the oldest are forgotten first.
const MAX_STREAMS: usize = 65_536;

/// A software version that servers of a service have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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
        /// Whether the host reads the registry now, so that no newer server is unknown to it.
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
    /// Unix time in milliseconds.
    pub unix_ms: u64,
    /// Whether the registry can be read.
    pub is_registry_read: bool,
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
        if let Some(before) = self.servers.insert(server.id.clone(), known)
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
        self.earlier.insert(version, now);
    }

    /// Records that a server is no longer registered.
    pub fn on_server_gone(&mut self, id: &str) {
        if let Some(before) = self.servers.remove(id) {
            self.left.push(before.version);
        }
    }

    /// Records that all registered servers are known.
    pub fn on_registry_list(&mut self, now: Instant) {
        self.known_since.get_or_insert(now);
    }

    /// Forgets what is older than any stream that may be taken up.
    pub fn expire(&mut self, now: Instant) {
        for version in self.left.drain(..) {
            self.earlier.insert(version, now);
        }
        let lifetime = self.lifetime;
        let is_old = |at: Instant| now.saturating_duration_since(at) > lifetime;
        self.earlier.retain(|_, at| !is_old(*at));
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

    /// Returns whether peers have to be told of the streams of a service, because its version alone
    /// does not tell where they go on.
    pub fn must_tell(&mut self, moment: Moment, service: ServiceHash) -> bool {
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
        let registered = self.servers.values();
        let registered = registered.filter(|server| server.version.service == service);
        let mut youngest = 0;
        let mut versions = BTreeSet::new();
        for server in registered {
            youngest = youngest.max(server.incarnation);
            versions.insert(server.version.software);
        }
        let earlier = self.earlier.keys();
        let earlier = earlier.filter(|version| version.service == service);
        versions.extend(earlier.map(|version| version.software));
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => StreamKnowledge::Several,
            (Some(software), None) if self.is_known_for_long(moment, youngest) => {
                StreamKnowledge::Only {
                    software,
                    is_current: moment.is_registry_read,
                }
            }
            _ => StreamKnowledge::Unknown,
        }
    }

    /// Returns whether no version can have left a service before this host knew of it: it has known
    /// the servers for longer than any stream lasts, or none of them is younger than that, as one
    /// that replaces another would be.
    fn is_known_for_long(&self, moment: Moment, youngest: Incarnation) -> bool {
        let Some(known_since) = self.known_since else {
            return false;
        };
        let known_for = moment.now.saturating_duration_since(known_since);
        let limit = self.lifetime + MAX_CLOCK_DIFFERENCE;
        let youngest_age = Duration::from_millis(moment.unix_ms.saturating_sub(youngest));
        self.is_first_start || known_for > self.lifetime || youngest_age > limit
    }
}

/// What peers answer about one stream.
#[derive(Debug)]
pub struct Inquiry {
    /// Whether there are any peers to ask.
    has_peers: bool,
    /// Peers that were asked and are likely to answer.
    awaited: HashSet<Ipv4Addr>,
    answered: HashSet<Ipv4Addr>,
    /// Versions that hosts which do not read the registry know as the only one.
    outdated: BTreeSet<SoftwareHash>,
    /// Whether a host knows of several versions.
    is_ruled_out: bool,
}

impl Inquiry {
    /// Creates an inquiry by a host with this knowledge, which has asked nobody.
    #[must_use]
    pub fn new(own: StreamKnowledge) -> Self {
        let mut inquiry = Self {
            has_peers: false,
            awaited: HashSet::new(),
            answered: HashSet::new(),
            outdated: BTreeSet::new(),
            is_ruled_out: false,
        };
        inquiry.weigh(own);
        inquiry
    }

    /// Records that all known peers are asked now, perhaps again; `live` are those of them that were
    /// heard of lately.
    pub fn ask(&mut self, live: impl IntoIterator<Item = Ipv4Addr>) {
        self.has_peers = true;
        self.awaited.extend(live);
    }

    /// Takes an answer; returns the version if it is certain now.
    pub fn on_answer(&mut self, from: Ipv4Addr, answer: StreamKnowledge) -> Option<SoftwareHash> {
        self.answered.insert(from);
        self.weigh(answer);
        match answer {
            StreamKnowledge::Began(software) => Some(software),
            StreamKnowledge::Only {
                software,
                is_current: true,
            } if !self.is_ruled_out => Some(software),
            _ => None,
        }
    }

    fn weigh(&mut self, knowledge: StreamKnowledge) {
        match knowledge {
            StreamKnowledge::Several => self.is_ruled_out = true,
            StreamKnowledge::Only { software, .. } => {
                self.outdated.insert(software);
            }
            StreamKnowledge::Began(_) | StreamKnowledge::Unknown => {}
        }
    }

    /// Returns whether all peers have answered that are likely to, and at least one if there are any:
    /// a host that has just started, or was cut off, hears of none.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.has_answers() && self.awaited.is_subset(&self.answered)
    }

    fn has_answers(&self) -> bool {
        !self.answered.is_empty() || !self.has_peers
    }

    /// Ends the inquiry: returns the version if hosts that cannot read the registry agree on it and
    /// nobody knows of another one. A host that no peer answers may be cut off from those that know.
    #[must_use]
    pub fn finish(&self) -> Option<SoftwareHash> {
        let agreed = self.outdated.first().filter(|_| self.outdated.len() == 1);
        agreed
            .copied()
            .filter(|_| self.has_answers() && !self.is_ruled_out)
    }
}
