//! Protobuf messages, their conversions to and from [`Frame`], and frame authentication.

use prost::Message;

use crate::frame::{
    Body, Frame, Gossip, GrantRequest, GrantResponse, Heartbeat, Peer, QuoteRequest, QuoteResponse,
    Rumor, RunnerQuote, TableDelta, TableFetch, WireLevel,
};

/// Protocol version; frames of any other version are rejected.
const VERSION: u32 = 1;
/// Size of the truncated keyed hash that precedes the payload of each frame.
const TAG_BYTES: usize = 16;
/// Context string of the blake3 key derivation.
const KEY_CONTEXT: &str = "hickoryhall peer frames v1";

/// Reason why bytes could not be opened as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// No key of this host produces the frame's hash, or the frame is too short to have one.
    #[error("frame authentication failed")]
    NotAuthentic,
    /// The payload is authentic, but it is not a valid message.
    #[error("malformed frame")]
    Malformed,
    /// The sender uses another protocol version.
    #[error("unsupported protocol version {0}")]
    Version(u32),
}

/// Secret keys shared by all hosts; frames are sealed with the first key and opened with any key.
///
/// To rotate keys without rejecting frames, add the new key in second place on all hosts, then move
/// it to first place, then remove the old key.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<[u8; 32]>,
}

// Prints the number of keys only, so that no secret reaches a log.
impl std::fmt::Debug for Keyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keyring")
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl Keyring {
    /// Creates a keyring with one key derived from each shared secret.
    ///
    /// # Panics
    ///
    /// Panics if `secrets` is empty.
    #[must_use]
    pub fn new<S: AsRef<str>>(secrets: &[S]) -> Self {
        assert!(!secrets.is_empty(), "a keyring needs at least one secret");
        let derive = |secret: &S| blake3::derive_key(KEY_CONTEXT, secret.as_ref().as_bytes());
        Self {
            keys: secrets.iter().map(derive).collect(),
        }
    }

    /// Encodes a frame and prepends its keyed hash.
    #[must_use]
    pub fn seal(&self, frame: &Frame) -> Vec<u8> {
        let payload = FrameProto::from(frame.clone()).encode_to_vec();
        let mut sealed = Vec::with_capacity(TAG_BYTES + payload.len());
        sealed.extend_from_slice(&compute_tag(&self.keys[0], &payload));
        sealed.extend_from_slice(&payload);
        sealed
    }

    /// Verifies the keyed hash of a frame and decodes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not authentic, are malformed or have another protocol
    /// version.
    pub fn open(&self, bytes: &[u8]) -> Result<Frame, OpenError> {
        let (received_tag, payload) = bytes
            .split_at_checked(TAG_BYTES)
            .ok_or(OpenError::NotAuthentic)?;
        if !self
            .keys
            .iter()
            .any(|key| verify_tag(key, payload, received_tag))
        {
            return Err(OpenError::NotAuthentic);
        }
        let proto = FrameProto::decode(payload).map_err(|_| OpenError::Malformed)?;
        if proto.version != VERSION {
            return Err(OpenError::Version(proto.version));
        }
        Frame::try_from(proto)
    }
}

fn compute_tag(key: &[u8; 32], payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, payload).as_bytes()[..TAG_BYTES]);
    tag
}

fn verify_tag(key: &[u8; 32], payload: &[u8], received_tag: &[u8]) -> bool {
    // Compares in constant time, so that timing does not reveal how many bytes match.
    let differing_bits = compute_tag(key, payload)
        .iter()
        .zip(received_tag)
        .fold(0, |bits, (a, b)| bits | (a ^ b));
    differing_bits == 0
}

#[derive(Clone, PartialEq, Message)]
struct FrameProto {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(fixed64, tag = "2")]
    sender: u64,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(fixed64, tag = "4")]
    receiver: u64,
    #[prost(uint64, tag = "5")]
    sequence: u64,
    #[prost(oneof = "BodyProto", tags = "6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    body: Option<BodyProto>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum BodyProto {
    #[prost(message, tag = "6")]
    Gossip(GossipProto),
    #[prost(uint64, tag = "7")]
    PushRevision(u64),
    #[prost(message, tag = "8")]
    QuoteRequest(QuoteRequestProto),
    #[prost(message, tag = "9")]
    QuoteResponse(QuoteResponseProto),
    #[prost(message, tag = "10")]
    Reserve(ReserveProto),
    #[prost(message, tag = "11")]
    Release(ReleaseProto),
    #[prost(message, tag = "12")]
    GrantRequest(GrantProto),
    #[prost(message, tag = "13")]
    GrantResponse(GrantProto),
    #[prost(uint64, tag = "14")]
    TableFetch(u64),
    #[prost(message, tag = "15")]
    TableDelta(TableDeltaProto),
}

#[derive(Clone, PartialEq, Message)]
struct GossipProto {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bool, tag = "2")]
    leaving: bool,
    #[prost(message, repeated, tag = "3")]
    heartbeats: Vec<HeartbeatProto>,
    #[prost(message, repeated, tag = "4")]
    rumors: Vec<RumorProto>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct HeartbeatProto {
    #[prost(fixed64, tag = "1")]
    host: u64,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    count: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct RumorProto {
    #[prost(uint32, tag = "1")]
    kind: u32,
    /// Hash of the runner's or host's name, or the fingerprint of the request.
    #[prost(fixed64, tag = "2")]
    subject: u64,
    /// Incarnation of the runner or host, or the count of deaths.
    #[prost(uint64, tag = "3")]
    number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct LevelProto {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(uint32, tag = "2")]
    tokens: u32,
}

#[derive(Clone, PartialEq, Message)]
struct QuoteRequestProto {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(fixed64, repeated, tag = "2")]
    runners: Vec<u64>,
    #[prost(message, repeated, tag = "3")]
    levels: Vec<LevelProto>,
    #[prost(uint32, tag = "4")]
    class: u32,
}

#[derive(Clone, PartialEq, Message)]
struct QuoteResponseProto {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(message, repeated, tag = "2")]
    quotes: Vec<QuoteProto>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct QuoteProto {
    #[prost(fixed64, tag = "1")]
    runner: u64,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    wait_ms: u32,
    #[prost(uint32, tag = "4")]
    cached_tokens: u32,
    #[prost(uint32, tag = "5")]
    eviction_tokens: u32,
    #[prost(bool, tag = "6")]
    is_warm: bool,
}

#[derive(Clone, PartialEq, Message)]
struct ReserveProto {
    #[prost(fixed64, tag = "1")]
    runner: u64,
    #[prost(uint64, tag = "2")]
    id: u64,
    #[prost(message, repeated, tag = "3")]
    levels: Vec<LevelProto>,
    #[prost(uint32, tag = "4")]
    class: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct ReleaseProto {
    #[prost(fixed64, tag = "1")]
    runner: u64,
    #[prost(uint64, tag = "2")]
    id: u64,
    #[prost(uint32, optional, tag = "3")]
    cached_tokens: Option<u32>,
}

/// Payload of `GrantRequest`, with `ttl_ms` 0, and of `GrantResponse`, with `limit` 0.
#[derive(Clone, Copy, PartialEq, Message)]
struct GrantProto {
    #[prost(fixed64, tag = "1")]
    bucket: u64,
    #[prost(uint32, tag = "2")]
    units: u32,
    #[prost(uint32, tag = "3")]
    ttl_ms: u32,
    #[prost(uint32, tag = "4")]
    limit: u32,
}

#[derive(Clone, PartialEq, Message)]
struct TableDeltaProto {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(bytes = "vec", tag = "2")]
    head_json: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    rows_json: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    removed_json: Vec<u8>,
}

impl From<Frame> for FrameProto {
    fn from(frame: Frame) -> Self {
        Self {
            version: VERSION,
            sender: frame.sender.host,
            incarnation: frame.sender.incarnation,
            receiver: frame.receiver,
            sequence: frame.sequence,
            body: Some(frame.body.into()),
        }
    }
}

impl TryFrom<FrameProto> for Frame {
    type Error = OpenError;

    fn try_from(proto: FrameProto) -> Result<Self, OpenError> {
        let body = proto.body.ok_or(OpenError::Malformed)?;
        Ok(Self {
            sender: Peer {
                host: proto.sender,
                incarnation: proto.incarnation,
            },
            receiver: proto.receiver,
            sequence: proto.sequence,
            body: body.try_into()?,
        })
    }
}

impl From<Body> for BodyProto {
    fn from(body: Body) -> Self {
        match body {
            Body::Gossip(gossip) => Self::Gossip(gossip.into()),
            Body::PushRevision { revision } => Self::PushRevision(revision),
            Body::QuoteRequest(request) => Self::QuoteRequest(request.into()),
            Body::QuoteResponse(response) => Self::QuoteResponse(response.into()),
            Body::Reserve {
                runner,
                id,
                levels,
                class,
            } => Self::Reserve(ReserveProto {
                runner,
                id,
                levels: convert_all(levels),
                class,
            }),
            Body::Release {
                runner,
                id,
                cached_tokens,
            } => Self::Release(ReleaseProto {
                runner,
                id,
                cached_tokens,
            }),
            Body::GrantRequest(GrantRequest {
                bucket,
                units,
                limit,
            }) => Self::GrantRequest(GrantProto {
                bucket,
                units,
                ttl_ms: 0,
                limit,
            }),
            Body::GrantResponse(GrantResponse {
                bucket,
                units,
                ttl_ms,
            }) => Self::GrantResponse(GrantProto {
                bucket,
                units,
                ttl_ms,
                limit: 0,
            }),
            Body::TableFetch(fetch) => Self::TableFetch(fetch.known_revision),
            Body::TableDelta(delta) => Self::TableDelta(delta.into()),
        }
    }
}

impl TryFrom<BodyProto> for Body {
    type Error = OpenError;

    fn try_from(proto: BodyProto) -> Result<Self, OpenError> {
        Ok(match proto {
            BodyProto::Gossip(gossip) => Self::Gossip(gossip.try_into()?),
            BodyProto::PushRevision(revision) => Self::PushRevision { revision },
            BodyProto::QuoteRequest(request) => Self::QuoteRequest(request.into()),
            BodyProto::QuoteResponse(response) => Self::QuoteResponse(response.into()),
            BodyProto::Reserve(ReserveProto {
                runner,
                id,
                levels,
                class,
            }) => Self::Reserve {
                runner,
                id,
                levels: convert_all(levels),
                class,
            },
            BodyProto::Release(ReleaseProto {
                runner,
                id,
                cached_tokens,
            }) => Self::Release {
                runner,
                id,
                cached_tokens,
            },
            BodyProto::GrantRequest(GrantProto {
                bucket,
                units,
                limit,
                ..
            }) => Self::GrantRequest(GrantRequest {
                bucket,
                units,
                limit,
            }),
            BodyProto::GrantResponse(GrantProto {
                bucket,
                units,
                ttl_ms,
                ..
            }) => Self::GrantResponse(GrantResponse {
                bucket,
                units,
                ttl_ms,
            }),
            BodyProto::TableFetch(known_revision) => {
                Self::TableFetch(TableFetch { known_revision })
            }
            BodyProto::TableDelta(delta) => Self::TableDelta(delta.into()),
        })
    }
}

impl From<Gossip> for GossipProto {
    fn from(gossip: Gossip) -> Self {
        Self {
            revision: gossip.revision,
            leaving: gossip.leaving,
            heartbeats: convert_all(gossip.heartbeats),
            rumors: convert_all(gossip.rumors),
        }
    }
}

impl TryFrom<GossipProto> for Gossip {
    type Error = OpenError;

    fn try_from(proto: GossipProto) -> Result<Self, OpenError> {
        let rumors = proto
            .rumors
            .into_iter()
            .map(Rumor::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            revision: proto.revision,
            leaving: proto.leaving,
            heartbeats: convert_all(proto.heartbeats),
            rumors,
        })
    }
}

impl From<Heartbeat> for HeartbeatProto {
    fn from(heartbeat: Heartbeat) -> Self {
        let Heartbeat { peer, count } = heartbeat;
        Self {
            host: peer.host,
            incarnation: peer.incarnation,
            count,
        }
    }
}

impl From<HeartbeatProto> for Heartbeat {
    fn from(proto: HeartbeatProto) -> Self {
        let peer = Peer {
            host: proto.host,
            incarnation: proto.incarnation,
        };
        Self {
            peer,
            count: proto.count,
        }
    }
}

// Values of `RumorProto::kind`.
const RUNNER_LEAVING: u32 = 1;
const HOST_LEAVING: u32 = 2;
const SUSPECT: u32 = 3;

impl From<Rumor> for RumorProto {
    fn from(rumor: Rumor) -> Self {
        let (kind, subject, number) = match rumor {
            Rumor::RunnerLeaving {
                runner,
                incarnation,
            } => (RUNNER_LEAVING, runner, incarnation),
            Rumor::HostLeaving { peer } => (HOST_LEAVING, peer.host, peer.incarnation),
            Rumor::Suspect {
                fingerprint,
                deaths,
            } => (SUSPECT, fingerprint, u64::from(deaths)),
        };
        Self {
            kind,
            subject,
            number,
        }
    }
}

impl TryFrom<RumorProto> for Rumor {
    type Error = OpenError;

    fn try_from(proto: RumorProto) -> Result<Self, OpenError> {
        let RumorProto {
            kind,
            subject,
            number,
        } = proto;
        match kind {
            RUNNER_LEAVING => Ok(Self::RunnerLeaving {
                runner: subject,
                incarnation: number,
            }),
            HOST_LEAVING => Ok(Self::HostLeaving {
                peer: Peer {
                    host: subject,
                    incarnation: number,
                },
            }),
            SUSPECT => {
                let deaths = u32::try_from(number).map_err(|_| OpenError::Malformed)?;
                Ok(Self::Suspect {
                    fingerprint: subject,
                    deaths,
                })
            }
            _ => Err(OpenError::Malformed),
        }
    }
}

impl From<WireLevel> for LevelProto {
    fn from(level: WireLevel) -> Self {
        Self {
            key: level.key,
            tokens: level.tokens,
        }
    }
}

impl From<LevelProto> for WireLevel {
    fn from(proto: LevelProto) -> Self {
        Self {
            key: proto.key,
            tokens: proto.tokens,
        }
    }
}

impl From<QuoteRequest> for QuoteRequestProto {
    fn from(request: QuoteRequest) -> Self {
        Self {
            id: request.id,
            runners: request.runners,
            levels: convert_all(request.levels),
            class: request.class,
        }
    }
}

impl From<QuoteRequestProto> for QuoteRequest {
    fn from(proto: QuoteRequestProto) -> Self {
        Self {
            id: proto.id,
            runners: proto.runners,
            levels: convert_all(proto.levels),
            class: proto.class,
        }
    }
}

impl From<QuoteResponse> for QuoteResponseProto {
    fn from(response: QuoteResponse) -> Self {
        Self {
            id: response.id,
            quotes: convert_all(response.quotes),
        }
    }
}

impl From<QuoteResponseProto> for QuoteResponse {
    fn from(proto: QuoteResponseProto) -> Self {
        Self {
            id: proto.id,
            quotes: convert_all(proto.quotes),
        }
    }
}

impl From<RunnerQuote> for QuoteProto {
    fn from(quote: RunnerQuote) -> Self {
        Self {
            runner: quote.runner,
            incarnation: quote.incarnation,
            wait_ms: quote.wait_ms,
            cached_tokens: quote.cached_tokens,
            eviction_tokens: quote.eviction_tokens,
            is_warm: quote.is_warm,
        }
    }
}

impl From<QuoteProto> for RunnerQuote {
    fn from(proto: QuoteProto) -> Self {
        Self {
            runner: proto.runner,
            incarnation: proto.incarnation,
            wait_ms: proto.wait_ms,
            cached_tokens: proto.cached_tokens,
            eviction_tokens: proto.eviction_tokens,
            is_warm: proto.is_warm,
        }
    }
}

impl From<TableDelta> for TableDeltaProto {
    fn from(delta: TableDelta) -> Self {
        let TableDelta {
            from,
            head_json,
            rows_json,
            removed_json,
        } = delta;
        Self {
            from,
            head_json,
            rows_json,
            removed_json,
        }
    }
}

impl From<TableDeltaProto> for TableDelta {
    fn from(proto: TableDeltaProto) -> Self {
        let TableDeltaProto {
            from,
            head_json,
            rows_json,
            removed_json,
        } = proto;
        Self {
            from,
            head_json,
            rows_json,
            removed_json,
        }
    }
}

fn convert_all<A: Into<B>, B>(items: Vec<A>) -> Vec<B> {
    items.into_iter().map(Into::into).collect()
}
