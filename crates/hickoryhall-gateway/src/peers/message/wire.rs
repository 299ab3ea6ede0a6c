//! Protocol Buffers encoding of the messages between hosts.
//!
//! Field numbers and types stay: hosts of earlier builds read and send them.

use std::time::Duration;

use bytes::Bytes;
use hickoryhall_routing::{CrashNews, Level, ReachStatement};
use prost::Message;

use super::wire_news::{
    WireAnsweredPart, WireBlockedPart, WireCrash, WireCrashNews, WireLimit, WireQuotaReport,
};
use super::wire_speeds::{WireRunnerSpeed, WireServiceSpeed};
use super::{
    DesiredVersionUpdate, Digest, PromptUpdate, Scope, ServerUpdate, StoreRecords, StoreSnapshot,
    SuspectUpdate,
};
use crate::core::StreamMessages;
use crate::feeds::relay::RegistryRelay;
use crate::interface::{StoreChange, StoreItem};
use crate::scheduler::{DesiredVersionAge, HostLoad};
use crate::store_position::StorePosition;
use crate::stream_versions::{ServiceVersion, StreamKnowledge, StreamOrigin, StreamQuestion};

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireDigest {
    #[prost(fixed64, tag = "1")]
    pub(super) host: u64,
    #[prost(uint64, tag = "2")]
    pub(super) table_revision: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) servers: Vec<WireServer>,
    /// Desired versions.
    #[prost(message, repeated, tag = "4")]
    pub(super) wanted: Vec<WireWanted>,
    #[prost(message, repeated, tag = "5")]
    pub(super) suspects: Vec<WireSuspect>,
    #[prost(fixed32, repeated, tag = "6")]
    pub(super) known_hosts: Vec<u32>,
    #[prost(message, repeated, tag = "7")]
    pub(super) prompts: Vec<WirePrompt>,
    #[prost(fixed64, tag = "8")]
    pub(super) domain: u64,
    #[prost(fixed64, tag = "9")]
    pub(super) group: u64,
    /// Whether the digest is a heartbeat.
    #[prost(bool, tag = "10")]
    pub(super) is_presence: bool,
    /// Empty unless the load is that of a group.
    #[prost(fixed64, repeated, tag = "11")]
    pub(super) group_hosts: Vec<u64>,
    #[prost(bool, tag = "12")]
    pub(super) is_forwarded: bool,
    #[prost(message, optional, tag = "13")]
    pub(super) registry: Option<WireRelay>,
    #[prost(uint64, tag = "14")]
    pub(super) store_era: u64,
    /// Streams that the sender began.
    #[prost(message, repeated, tag = "15")]
    pub(super) streams: Vec<WireStreams>,
    #[prost(message, repeated, tag = "16")]
    pub(super) stream_questions: Vec<WireStreamQuestion>,
    #[prost(message, repeated, tag = "17")]
    pub(super) stream_answers: Vec<WireStreamAnswer>,
    #[prost(message, repeated, tag = "18")]
    pub(super) crashes: Vec<WireCrash>,
    /// Prompt parts that were answered in full after they had been suspected.
    #[prost(message, repeated, tag = "19")]
    pub(super) answered_parts: Vec<WireAnsweredPart>,
    /// Prompt parts that are refused, by the age of their last crash.
    #[prost(message, repeated, tag = "20")]
    pub(super) blocked_parts: Vec<WireBlockedPart>,
    #[prost(message, repeated, tag = "21")]
    pub(super) limits: Vec<WireLimit>,
    /// Requests in progress or waiting at the sender.
    #[prost(uint32, tag = "22")]
    pub(super) requests: u32,
    /// Services that the sender is cut off from.
    #[prost(fixed64, repeated, tag = "23")]
    pub(super) unreached_services: Vec<u64>,
    /// Requests a second that servers can turn away.
    #[prost(message, repeated, tag = "24")]
    pub(super) refusal_limits: Vec<WireLimit>,
    /// Crashes of servers by the requests that they ran; missing in digests of earlier builds.
    #[prost(message, optional, tag = "25")]
    pub(super) request_crashes: Option<WireCrashNews>,
    /// Samples of the speed of services.
    #[prost(message, repeated, tag = "28")]
    pub(super) service_speeds: Vec<WireServiceSpeed>,
    /// Use of quotas; missing in digests of earlier builds.
    #[prost(message, optional, tag = "26")]
    pub(super) quotas: Option<WireQuotaReport>,
}

/// Streams of one service that began at one software version; without streams, a version that the
/// sender uses.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireStreams {
    #[prost(fixed64, tag = "1")]
    pub(super) service: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) software: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) streams: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireStreamQuestion {
    #[prost(fixed64, optional, tag = "1")]
    pub(super) stream: Option<u64>,
    #[prost(fixed64, tag = "2")]
    pub(super) service: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireStreamAnswer {
    #[prost(message, required, tag = "1")]
    pub(super) question: WireStreamQuestion,
    #[prost(enumeration = "WireKnowledge", tag = "2")]
    pub(super) knowledge: i32,
    /// Software version, unless several or none are known.
    #[prost(fixed64, tag = "3")]
    pub(super) software: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum WireKnowledge {
    Unknown = 0,
    Began = 1,
    OnlyCurrent = 2,
    OnlyOutdated = 3,
    Several = 4,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireRelay {
    #[prost(uint64, tag = "1")]
    pub(super) after: u64,
    #[prost(uint64, tag = "2")]
    pub(super) until: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) changes: Vec<WireChange>,
    #[prost(uint64, tag = "4")]
    pub(super) era: u64,
    /// Time since the sender read the registry; missing in digests of earlier builds.
    #[prost(uint64, optional, tag = "5")]
    pub(super) read_age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireChange {
    #[prost(message, required, tag = "1")]
    pub(super) item: WireItem,
    /// Whether the item was removed; its value is empty then.
    #[prost(bool, tag = "2")]
    pub(super) is_removed: bool,
}

/// Keys and tokens of the levels are two lists of equal length.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WirePrompt {
    #[prost(fixed64, tag = "1")]
    pub(super) server: u64,
    #[prost(uint64, tag = "2")]
    pub(super) weights: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    pub(super) tokens: Vec<u32>,
    #[prost(uint64, optional, tag = "5")]
    pub(super) incarnation: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireServer {
    #[prost(fixed64, tag = "1")]
    pub(super) server: u64,
    #[prost(uint32, tag = "2")]
    pub(super) requests: u32,
    #[prost(uint32, tag = "3")]
    pub(super) pending_ms: u32,
    #[prost(uint32, tag = "4")]
    pub(super) own_tokens: u32,
    #[prost(uint64, tag = "5")]
    pub(super) weights: u64,
    #[prost(bool, optional, tag = "6")]
    pub(super) is_changing: Option<bool>,
    /// Number of requests that no other server can resume.
    #[prost(uint32, tag = "7")]
    pub(super) bound: u32,
    #[prost(uint32, tag = "8")]
    pub(super) output_tokens: u32,
    #[prost(uint64, optional, tag = "9")]
    pub(super) incarnation: Option<u64>,
    #[prost(bool, tag = "10")]
    pub(super) is_leaving: bool,
    #[prost(message, optional, tag = "11")]
    pub(super) speed: Option<WireRunnerSpeed>,
    /// Missing in digests of earlier builds.
    #[prost(uint32, optional, tag = "12")]
    pub(super) urgent_pending_ms: Option<u32>,
}

/// Desired version of a model.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireWanted {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(uint64, tag = "3")]
    pub(super) age_ms: u64,
    /// Whether the version may be older.
    #[prost(bool, tag = "4")]
    pub(super) is_at_least: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSuspect {
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(super) deaths: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireItem {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) value: Bytes,
    #[prost(uint64, tag = "3")]
    pub(super) revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSnapshot {
    #[prost(uint64, tag = "1")]
    pub(super) operator_revision: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) operator: Vec<WireItem>,
    #[prost(uint64, tag = "3")]
    pub(super) registry_revision: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) registry: Vec<WireItem>,
    #[prost(uint64, tag = "5")]
    pub(super) operator_era: u64,
    #[prost(uint64, tag = "6")]
    pub(super) registry_era: u64,
}
impl From<&Digest> for WireDigest {
    fn from(digest: &Digest) -> Self {
        Self {
            host: digest.host,
            table_revision: digest.table_revision,
            servers: digest.servers.iter().map(WireServer::from).collect(),
            wanted: digest
                .desired_versions
                .iter()
                .map(WireWanted::from)
                .collect(),
            suspects: digest.suspects.iter().map(WireSuspect::from).collect(),
            known_hosts: Vec::new(),
            prompts: digest.prompts.iter().map(WirePrompt::from).collect(),
            domain: digest.domain,
            group: digest.group,
            is_presence: digest.scope == Scope::Heartbeat,
            group_hosts: match &digest.scope {
                Scope::Group { hosts } => hosts.clone(),
                Scope::Host | Scope::Heartbeat => Vec::new(),
            },
            is_forwarded: digest.is_forwarded,
            registry: digest.registry.as_ref().map(WireRelay::from),
            store_era: digest.store_era,
            streams: wire_streams(&digest.streams),
            stream_questions: digest.streams.asked.iter().map(From::from).collect(),
            stream_answers: digest.streams.answers.iter().map(From::from).collect(),
            request_crashes: digest.request_crashes.as_ref().map(From::from),
            crashes: digest.crashes.crashes.iter().map(From::from).collect(),
            answered_parts: digest.crashes.answered.iter().map(From::from).collect(),
            blocked_parts: digest.crashes.blocked.iter().map(From::from).collect(),
            limits: digest.limits.iter().map(From::from).collect(),
            requests: digest.reach.requests,
            unreached_services: digest.reach.unreached.clone(),
            refusal_limits: digest.refusal_limits.iter().map(From::from).collect(),
            service_speeds: digest.service_speeds.iter().map(From::from).collect(),
            quotas: digest.quotas.as_ref().map(From::from),
        }
    }
}

/// Groups streams by service and software version; a group without streams is a version in use.
fn wire_streams(messages: &StreamMessages) -> Vec<WireStreams> {
    let in_use = messages.in_use.iter().map(|version| WireStreams {
        service: version.service,
        software: version.software,
        streams: Vec::new(),
    });
    let in_use = in_use.collect::<Vec<_>>();
    let mut groups = Vec::<WireStreams>::new();
    for origin in &messages.told {
        let (service, software) = (origin.service, origin.software);
        let is_own =
            |group: &&mut WireStreams| (group.service, group.software) == (service, software);
        match groups.iter_mut().find(is_own) {
            Some(group) => group.streams.push(origin.stream),
            None => groups.push(WireStreams {
                service,
                software,
                streams: vec![origin.stream],
            }),
        }
    }
    in_use.into_iter().chain(groups).collect()
}

fn version_in_use(group: &WireStreams) -> Option<ServiceVersion> {
    group.streams.is_empty().then_some(ServiceVersion {
        service: group.service,
        software: group.software,
    })
}

fn stream_origins(group: &WireStreams) -> impl Iterator<Item = StreamOrigin> {
    group.streams.iter().map(|&stream| StreamOrigin {
        stream,
        service: group.service,
        software: group.software,
    })
}

impl From<&StreamQuestion> for WireStreamQuestion {
    fn from(question: &StreamQuestion) -> Self {
        Self {
            stream: question.stream,
            service: question.service,
        }
    }
}

impl From<&WireStreamQuestion> for StreamQuestion {
    fn from(wire: &WireStreamQuestion) -> Self {
        Self {
            stream: wire.stream,
            service: wire.service,
        }
    }
}

impl From<&(StreamQuestion, StreamKnowledge)> for WireStreamAnswer {
    fn from((question, knowledge): &(StreamQuestion, StreamKnowledge)) -> Self {
        let (knowledge, software) = match *knowledge {
            StreamKnowledge::Began(software) => (WireKnowledge::Began, software),
            StreamKnowledge::Only {
                software,
                is_current: true,
            } => (WireKnowledge::OnlyCurrent, software),
            StreamKnowledge::Only { software, .. } => (WireKnowledge::OnlyOutdated, software),
            StreamKnowledge::Several => (WireKnowledge::Several, 0),
            StreamKnowledge::Unknown => (WireKnowledge::Unknown, 0),
        };
        Self {
            question: question.into(),
            knowledge: knowledge.into(),
            software,
        }
    }
}

impl From<&WireStreamAnswer> for (StreamQuestion, StreamKnowledge) {
    fn from(wire: &WireStreamAnswer) -> Self {
        let software = wire.software;
        let knowledge = match wire.knowledge() {
            WireKnowledge::Unknown => StreamKnowledge::Unknown,
            WireKnowledge::Began => StreamKnowledge::Began(software),
            WireKnowledge::OnlyCurrent => StreamKnowledge::Only {
                software,
                is_current: true,
            },
            WireKnowledge::OnlyOutdated => StreamKnowledge::Only {
                software,
                is_current: false,
            },
            WireKnowledge::Several => StreamKnowledge::Several,
        };
        ((&wire.question).into(), knowledge)
    }
}

impl From<WireDigest> for Digest {
    fn from(wire: WireDigest) -> Self {
        let scope = if wire.is_presence {
            Scope::Heartbeat
        } else if wire.group_hosts.is_empty() {
            Scope::Host
        } else {
            Scope::Group {
                hosts: wire.group_hosts,
            }
        };
        Self {
            host: wire.host,
            domain: wire.domain,
            group: wire.group,
            scope,
            is_forwarded: wire.is_forwarded,
            table_revision: wire.table_revision,
            store_era: wire.store_era,
            servers: wire.servers.iter().map(ServerUpdate::from).collect(),
            desired_versions: wire
                .wanted
                .into_iter()
                .map(DesiredVersionUpdate::from)
                .collect(),
            suspects: wire.suspects.iter().map(SuspectUpdate::from).collect(),
            crashes: CrashNews {
                crashes: wire.crashes.iter().map(From::from).collect(),
                answered: wire.answered_parts.iter().map(From::from).collect(),
                blocked: wire.blocked_parts.iter().map(From::from).collect(),
            },
            request_crashes: wire.request_crashes.as_ref().map(CrashNews::from),
            limits: wire.limits.iter().map(From::from).collect(),
            refusal_limits: wire.refusal_limits.iter().map(From::from).collect(),
            service_speeds: wire.service_speeds.iter().map(From::from).collect(),
            reach: ReachStatement {
                requests: wire.requests,
                unreached: wire.unreached_services,
            },
            prompts: wire.prompts.iter().map(PromptUpdate::from).collect(),
            quotas: wire.quotas.as_ref().map(From::from),
            registry: wire.registry.map(RegistryRelay::from),
            streams: StreamMessages {
                in_use: wire.streams.iter().filter_map(version_in_use).collect(),
                told: wire.streams.iter().flat_map(stream_origins).collect(),
                asked: wire.stream_questions.iter().map(From::from).collect(),
                answers: wire.stream_answers.iter().map(From::from).collect(),
            },
        }
    }
}

impl From<&RegistryRelay> for WireRelay {
    fn from(relay: &RegistryRelay) -> Self {
        Self {
            after: relay.after,
            until: relay.until,
            changes: relay.changes.iter().map(WireChange::from).collect(),
            era: relay.era,
            read_age_ms: relay.read_age.map(super::wire_news::whole_ms),
        }
    }
}

impl From<WireRelay> for RegistryRelay {
    fn from(wire: WireRelay) -> Self {
        Self {
            era: wire.era,
            after: wire.after,
            until: wire.until,
            changes: wire.changes.into_iter().map(StoreChange::from).collect(),
            read_age: wire.read_age_ms.map(Duration::from_millis),
        }
    }
}

impl From<&StoreChange> for WireChange {
    fn from(change: &StoreChange) -> Self {
        match change {
            StoreChange::Put(item) => Self {
                item: item.into(),
                is_removed: false,
            },
            StoreChange::Removed { key, revision } => Self {
                item: WireItem {
                    key: key.clone(),
                    value: Bytes::new(),
                    revision: *revision,
                },
                is_removed: true,
            },
        }
    }
}

impl From<WireChange> for StoreChange {
    fn from(wire: WireChange) -> Self {
        if wire.is_removed {
            Self::Removed {
                key: wire.item.key,
                revision: wire.item.revision,
            }
        } else {
            Self::Put(wire.item.into())
        }
    }
}

impl From<&PromptUpdate> for WirePrompt {
    fn from(update: &PromptUpdate) -> Self {
        Self {
            server: update.server,
            weights: update.weights,
            keys: update.levels.iter().map(|level| level.key).collect(),
            tokens: update.levels.iter().map(|level| level.tokens).collect(),
            incarnation: update.incarnation,
        }
    }
}

impl From<&WirePrompt> for PromptUpdate {
    fn from(wire: &WirePrompt) -> Self {
        let levels = wire.keys.iter().zip(&wire.tokens);
        Self {
            server: wire.server,
            incarnation: wire.incarnation,
            weights: wire.weights,
            levels: levels
                .map(|(&key, &tokens)| Level { key, tokens })
                .collect(),
        }
    }
}

impl From<&ServerUpdate> for WireServer {
    fn from(update: &ServerUpdate) -> Self {
        Self {
            server: update.server,
            requests: update.load.requests,
            pending_ms: update.load.pending_ms,
            own_tokens: update.load.unshared_tokens,
            weights: update.weights,
            is_changing: update.is_changing,
            bound: update.load.non_resumable,
            output_tokens: update.load.output_tokens,
            incarnation: update.incarnation,
            is_leaving: update.is_leaving,
            speed: update.speed.map(From::from),
            urgent_pending_ms: (update.load.urgent_pending_ms != update.load.pending_ms)
                .then_some(update.load.urgent_pending_ms),
        }
    }
}

impl From<&WireServer> for ServerUpdate {
    fn from(wire: &WireServer) -> Self {
        Self {
            server: wire.server,
            incarnation: wire.incarnation,
            load: HostLoad {
                requests: wire.requests,
                pending_ms: wire.pending_ms,
                // Work whose urgency is unknown may be ahead of any request.
                urgent_pending_ms: wire.urgent_pending_ms.unwrap_or(wire.pending_ms),
                unshared_tokens: wire.own_tokens,
                non_resumable: wire.bound,
                output_tokens: wire.output_tokens,
            },
            weights: wire.weights,
            is_changing: wire.is_changing,
            is_leaving: wire.is_leaving,
            speed: wire.speed.map(From::from),
        }
    }
}

impl From<&DesiredVersionUpdate> for WireWanted {
    fn from(update: &DesiredVersionUpdate) -> Self {
        Self {
            model: update.model.as_ref().to_owned(),
            version: update.version,
            age_ms: u64::try_from(update.age.lower_bound().as_millis()).unwrap_or(u64::MAX),
            is_at_least: !update.age.is_exact(),
        }
    }
}

impl From<WireWanted> for DesiredVersionUpdate {
    fn from(wire: WireWanted) -> Self {
        let age = Duration::from_millis(wire.age_ms);
        Self {
            model: wire.model.into(),
            version: wire.version,
            age: if wire.is_at_least {
                DesiredVersionAge::AtLeast(age)
            } else {
                DesiredVersionAge::Exact(age)
            },
        }
    }
}

impl From<&SuspectUpdate> for WireSuspect {
    fn from(update: &SuspectUpdate) -> Self {
        Self {
            fingerprint: update.fingerprint,
            deaths: update.deaths,
        }
    }
}

impl From<&WireSuspect> for SuspectUpdate {
    fn from(wire: &WireSuspect) -> Self {
        Self {
            fingerprint: wire.fingerprint,
            deaths: wire.deaths,
        }
    }
}

impl From<&StoreItem> for WireItem {
    fn from(item: &StoreItem) -> Self {
        Self {
            key: item.key.clone(),
            value: item.value.clone(),
            revision: item.revision,
        }
    }
}

impl From<WireItem> for StoreItem {
    fn from(wire: WireItem) -> Self {
        Self {
            key: wire.key,
            value: wire.value,
            revision: wire.revision,
        }
    }
}

impl From<&StoreSnapshot> for WireSnapshot {
    fn from(snapshot: &StoreSnapshot) -> Self {
        Self {
            operator_era: snapshot.operator.position.era,
            operator_revision: snapshot.operator.position.revision,
            operator: snapshot.operator.items.iter().map(WireItem::from).collect(),
            registry_era: snapshot.registry.position.era,
            registry_revision: snapshot.registry.position.revision,
            registry: snapshot.registry.items.iter().map(WireItem::from).collect(),
        }
    }
}

impl From<WireSnapshot> for StoreSnapshot {
    fn from(wire: WireSnapshot) -> Self {
        let records = |era, revision, items: Vec<WireItem>| StoreRecords {
            position: StorePosition { era, revision },
            items: items.into_iter().map(StoreItem::from).collect(),
        };
        Self {
            operator: records(wire.operator_era, wire.operator_revision, wire.operator),
            registry: records(wire.registry_era, wire.registry_revision, wire.registry),
        }
    }
}
