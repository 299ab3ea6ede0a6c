//! Messages between hosts and their Protocol Buffers encoding.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_routing::Level;
use hickoryhall_types::{Incarnation, Revision, TargetId, WeightsVersion};
use prost::Message;

use crate::feeds::relay::RegistryRelay;
use crate::interface::{StoreChange, StoreEra, StoreItem};
use crate::scheduler::{DesiredVersionAge, GroupHash, HostHash, HostLoad};
use crate::store_position::StorePosition;

/// State of a host or of a group, sent to peers several times a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Hash of the sender's name.
    pub host: HostHash,
    /// Hash of the name of the sender's failure domain.
    pub domain: u64,
    /// Group that the sender is a member of.
    pub group: GroupHash,
    /// Whose load `servers` lists.
    pub scope: Scope,
    /// Whether a host other than its sender forwarded the digest; it is not forwarded again.
    pub is_forwarded: bool,
    /// Revision of the sender's route table, 0 for none.
    pub table_revision: Revision,
    /// Newest era of the store that the sender knows.
    pub store_era: StoreEra,
    /// Load at backend servers, and runners that receive orders from the sender.
    pub servers: Vec<ServerUpdate>,
    /// Desired versions of models that the sender knows.
    pub desired_versions: Vec<DesiredVersionUpdate>,
    /// Requests during which backend servers failed.
    pub suspects: Vec<SuspectUpdate>,
    /// Prompts that runners prefilled, or saved to a prompt cache store, since the last digest.
    pub prompts: Vec<PromptUpdate>,
    /// Changes of the registry, from a host that reads it for its group.
    pub registry: Option<RegistryRelay>,
}

/// Whose load a digest lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All of the sender's own load.
    #[default]
    Host,
    /// No load: a heartbeat that shows that the sender is alive, with urgent updates only.
    Heartbeat,
    /// The summed load of a group's hosts.
    Group {
        /// Hashes of the names of the hosts in the sum, the sender included.
        hosts: Vec<HostHash>,
    },
}

/// Update about a prompt that a runner has prefilled and now has in its cache, or that it saves to
/// a prompt cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptUpdate {
    /// Hash of the runner's id, or of the prompt cache store's address.
    pub server: u64,
    /// Process of the runner; `None` for a prompt cache store, or if the sender does not tell.
    pub incarnation: Option<Incarnation>,
    /// Version of the weights with which the prompt was prefilled; its cached levels are useless to
    /// other versions.
    pub weights: WeightsVersion,
    /// Levels of the prompt, from its start; for a prompt cache store, with keys that depend on the
    /// weights version.
    pub levels: Vec<Level>,
}

/// Update about one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// Hash of the server's id.
    pub server: u64,
    /// Process of the server that the update is about; `None` if the sender does not tell.
    pub incarnation: Option<Incarnation>,
    /// Load on the server, counted over the hosts of the digest's scope.
    pub load: HostLoad,
    /// Version of the weights that the server has.
    pub weights: WeightsVersion,
    /// Whether the runner is changing its weights; `None` unless the sender orders it to, as
    /// the lease holder.
    pub is_changing: Option<bool>,
    /// Whether the server said in a response that it is shutting down.
    pub is_leaving: bool,
}

impl ServerUpdate {
    /// Returns whether hosts need the update to place requests correctly, not only well.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.is_changing.is_some() || self.is_leaving
    }
}

/// Update about a desired version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredVersionUpdate {
    /// Model that the version belongs to.
    pub model: TargetId,
    /// Version that the model's runners shall have unless a newer one is known.
    pub version: WeightsVersion,
    /// Time since the version became known to any host, as far as the sender knows.
    pub age: DesiredVersionAge,
}

/// Update about a request during which backend servers failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Hash of the request's workspace, target and body.
    pub fingerprint: u64,
    /// Number of servers that failed while they ran the request.
    pub deaths: u32,
}

/// Raw records of the store, sent to a host that cannot read the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// Records that operators write: the route table and desired versions.
    pub operator: StoreRecords,
    /// Registry entries of backend servers.
    pub registry: StoreRecords,
}

/// Records under one prefix of the store, as of one position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRecords {
    /// Position of the store as of which the records are current, 0 if none were read.
    pub position: StorePosition,
    /// Records with their full keys.
    pub items: Vec<StoreItem>,
}

/// Error for a message of a peer that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid message from a peer: {0}")]
pub struct DecodeError(String);

#[derive(Clone, PartialEq, Message)]
struct WireDigest {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(uint64, tag = "2")]
    table_revision: u64,
    #[prost(message, repeated, tag = "3")]
    servers: Vec<WireServer>,
    /// Desired versions.
    #[prost(message, repeated, tag = "4")]
    wanted: Vec<WireWanted>,
    #[prost(message, repeated, tag = "5")]
    suspects: Vec<WireSuspect>,
    #[prost(fixed32, repeated, tag = "6")]
    known_hosts: Vec<u32>,
    #[prost(message, repeated, tag = "7")]
    prompts: Vec<WirePrompt>,
    #[prost(fixed64, tag = "8")]
    domain: u64,
    #[prost(fixed64, tag = "9")]
    group: u64,
    /// Whether the digest is a heartbeat.
    #[prost(bool, tag = "10")]
    is_presence: bool,
    /// Empty unless the load is that of a group.
    #[prost(fixed64, repeated, tag = "11")]
    group_hosts: Vec<u64>,
    #[prost(bool, tag = "12")]
    is_forwarded: bool,
    #[prost(message, optional, tag = "13")]
    registry: Option<WireRelay>,
    #[prost(uint64, tag = "14")]
    store_era: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireRelay {
    #[prost(uint64, tag = "1")]
    after: u64,
    #[prost(uint64, tag = "2")]
    until: u64,
    #[prost(message, repeated, tag = "3")]
    changes: Vec<WireChange>,
    #[prost(uint64, tag = "4")]
    era: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireChange {
    #[prost(message, required, tag = "1")]
    item: WireItem,
    /// Whether the item was removed; its value is empty then.
    #[prost(bool, tag = "2")]
    is_removed: bool,
}

/// Keys and tokens of the levels are two lists of equal length.
#[derive(Clone, PartialEq, Message)]
struct WirePrompt {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint64, tag = "2")]
    weights: u64,
    #[prost(fixed64, repeated, tag = "3")]
    keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    tokens: Vec<u32>,
    #[prost(uint64, optional, tag = "5")]
    incarnation: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct WireServer {
    #[prost(fixed64, tag = "1")]
    server: u64,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    pending_ms: u32,
    #[prost(uint32, tag = "4")]
    own_tokens: u32,
    #[prost(uint64, tag = "5")]
    weights: u64,
    #[prost(bool, optional, tag = "6")]
    is_changing: Option<bool>,
    /// Number of requests that no other server can resume.
    #[prost(uint32, tag = "7")]
    bound: u32,
    #[prost(uint32, tag = "8")]
    output_tokens: u32,
    #[prost(uint64, optional, tag = "9")]
    incarnation: Option<u64>,
    #[prost(bool, tag = "10")]
    is_leaving: bool,
}

/// Desired version of a model.
#[derive(Clone, PartialEq, Message)]
struct WireWanted {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    /// Whether the version may be older.
    #[prost(bool, tag = "4")]
    is_at_least: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireSuspect {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint32, tag = "2")]
    deaths: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireItem {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
    #[prost(uint64, tag = "3")]
    revision: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireSnapshot {
    #[prost(uint64, tag = "1")]
    operator_revision: u64,
    #[prost(message, repeated, tag = "2")]
    operator: Vec<WireItem>,
    #[prost(uint64, tag = "3")]
    registry_revision: u64,
    #[prost(message, repeated, tag = "4")]
    registry: Vec<WireItem>,
    #[prost(uint64, tag = "5")]
    operator_era: u64,
    #[prost(uint64, tag = "6")]
    registry_era: u64,
}

impl Digest {
    /// Encodes the digest, with the addresses of hosts that its sender knows.
    #[must_use]
    pub fn encode(&self, known_hosts: &[Ipv4Addr]) -> Vec<u8> {
        let mut wire = WireDigest::from(self);
        wire.known_hosts = known_hosts.iter().map(|&ip| ip.into()).collect();
        wire.encode_to_vec()
    }

    /// Decodes a digest and the addresses sent with it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a digest.
    pub fn decode(bytes: &[u8]) -> Result<(Self, Vec<Ipv4Addr>), DecodeError> {
        let wire = WireDigest::decode(bytes).map_err(|error| DecodeError(error.to_string()))?;
        let known_hosts = wire.known_hosts.iter().map(|&ip| ip.into()).collect();
        Ok((Self::from(wire), known_hosts))
    }
}

impl StoreSnapshot {
    /// Encodes the snapshot.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        WireSnapshot::from(self).encode_to_vec().into()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot.
    pub fn decode(bytes: Bytes) -> Result<Self, DecodeError> {
        let wire = WireSnapshot::decode(bytes).map_err(|error| DecodeError(error.to_string()))?;
        Ok(Self::from(wire))
    }
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
        }
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
            prompts: wire.prompts.iter().map(PromptUpdate::from).collect(),
            registry: wire.registry.map(RegistryRelay::from),
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
                unshared_tokens: wire.own_tokens,
                non_resumable: wire.bound,
                output_tokens: wire.output_tokens,
            },
            weights: wire.weights,
            is_changing: wire.is_changing,
            is_leaving: wire.is_leaving,
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
