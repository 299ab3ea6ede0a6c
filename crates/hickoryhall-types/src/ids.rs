//! Type aliases for ids and counts.

use std::sync::Arc;

/// Name of a workspace, as in the operators' table.
pub type WorkspaceId = Arc<str>;
/// Name of a model or of a plain service, as in the operators' table.
pub type TargetId = Arc<str>;
/// Name of an entry host.
pub type HostId = Arc<str>;
/// Name of a backend server that serves a model.
pub type RunnerId = Arc<str>;
/// Name of a failure domain.
pub type FailureDomainId = Arc<str>;
/// Number that grows with each start of a process; state of an older one is void.
pub type Incarnation = u64;
/// Number of a table revision; a higher one replaces a lower one.
pub type Revision = u64;
/// Version of a model's weights.
pub type WeightsVersion = u64;
/// Number that a lease hands out; a backend server refuses orders with a lower one.
pub type FencingNumber = u64;
/// Id of one request, chosen by the caller or by the entry host.
pub type RequestId = Arc<str>;
/// Id of one attempt to run a request on a backend server.
pub type AttemptId = u64;
/// Position of a token in an answer, from 0.
pub type TokenIndex = u32;
/// Number of tokens.
pub type TokenCount = u32;

/// Bytes of text that count as one token where no tokenizer is at hand.
pub const BYTES_PER_TOKEN: usize = 4;

/// Estimates the tokens of a text from its length in bytes.
#[must_use]
pub fn estimate_tokens(text_bytes: usize) -> TokenCount {
    TokenCount::try_from(text_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(TokenCount::MAX)
}
