//! Type aliases for ids and counts.

use std::sync::Arc;

/// Name of a workspace, as the operators' table lists it.
pub type WorkspaceId = Arc<str>;
/// Name of a model or plain service, as the operators' table lists it.
pub type TargetId = Arc<str>;
/// Name of an entry host.
pub type HostId = Arc<str>;
/// Name of a backend server that serves a model.
pub type RunnerId = Arc<str>;
/// Name of a failure domain.
pub type FailureDomainId = Arc<str>;
/// Number that increases with each start of a process; state of a lower incarnation is invalid.
pub type Incarnation = u64;
/// Number of a table revision; a table with a higher revision replaces one with a lower revision.
pub type Revision = u64;
/// Version number of a model's weights.
pub type WeightsVersion = u64;
/// Version of the software of a backend server; versions are equal or not, without an order.
pub type SoftwareVersion = Arc<str>;
/// Number that is issued with a lease; a backend server that checks it refuses an order whose
/// number is lower than one it has seen.
pub type FencingNumber = u64;
/// Id of a request, chosen by the caller or else by the entry host.
pub type RequestId = Arc<str>;
/// Id of an attempt to run a request on a backend server.
pub type AttemptId = u64;
/// Zero-based position of a token in a response.
pub type TokenIndex = u32;
/// Number of tokens, of a prompt or a response.
pub type TokenCount = u32;

/// Bytes of text that count as one token if no tokenizer is available.
pub const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens of a text from its length in bytes, rounded up.
#[must_use]
pub fn estimate_tokens(text_bytes: usize) -> TokenCount {
    TokenCount::try_from(text_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(TokenCount::MAX)
}
