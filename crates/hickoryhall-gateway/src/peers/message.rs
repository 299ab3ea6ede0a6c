//! Messages between hosts.

mod wire;
mod wire_news;
mod wire_speeds;

use std::net::Ipv4Addr;

use bytes::Bytes;
use hickoryhall_limits::{LimitStatement, QuotaReport};
use hickoryhall_routing::{CrashNews, Level, ReachStatement, ServiceSums, SpeedStatement};
use hickoryhall_types::{Incarnation, Revision, TargetId, WeightsVersion};
use prost::Message;
use wire::{WireDigest, WireSnapshot};

use crate::core::StreamMessages;
use crate::feeds::relay::RegistryRelay;
use crate::interface::{StoreEra, StoreItem};
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
    /// Requests that the sender refuses, for hosts that do not read `request_crashes`.
    pub suspects: Vec<SuspectUpdate>,
    /// Crashes of servers and the prompt parts that may have caused them.
    pub crashes: CrashNews,
    /// Crashes of servers and the requests that may have caused them, with fingerprints in place of
    /// parts; `None` if the sender does not tell.
    pub request_crashes: Option<CrashNews>,
    /// Limits that servers name.
    pub limits: Vec<LimitStatement>,
    /// Requests a second that servers can turn away.
    pub refusal_limits: Vec<LimitStatement>,
    /// Load of the sender, and services that it is cut off from.
    pub reach: ReachStatement,
    /// Samples of the speed of services, by the hashes of their names, summed over the hosts of the
    /// scope.
    pub service_speeds: Vec<(u64, ServiceSums)>,
    /// Prompts that runners prefilled, or saved to a prompt cache store, since the last digest.
    pub prompts: Vec<PromptUpdate>,
    /// Changes of the registry, from a host that reads it for its group.
    pub registry: Option<RegistryRelay>,
    /// What the sender tells and asks the recipient about streams.
    pub streams: StreamMessages,
    /// Use of the quotas of workspaces, counted over the hosts of the digest's scope; `None` if the
    /// sender does not tell, as hosts of the previous build.
    pub quotas: Option<QuotaReport>,
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
    /// Speed of the runner by the samples of the hosts of the digest's scope; `None` if it has not
    /// changed since it was told.
    pub speed: Option<SpeedStatement>,
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
