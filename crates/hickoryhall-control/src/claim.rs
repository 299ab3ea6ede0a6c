//! Claims, which ensure that a non-repeatable call runs at most once.
//!
//! Before the first byte of such a call is sent, its attempt creates a claim in the store. Only the
//! attempt that the claim names may send the call, and only for a short time after it requested the
//! claim. A claim whose call may have been sent never passes to another attempt. The call therefore
//! does not run twice, whichever messages are lost and whichever processes pause, and `ran: no` is
//! reported only by an attempt that sent nothing.

use std::time::{Duration, Instant};

use hickoryhall_types::Ran;
use serde::{Deserialize, Serialize};

/// Time after requesting a claim during which its attempt may send the call.
const SEND_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of reads after a write that conflicted or whose result is unknown.
const MAX_CLAIM_READS: u32 = 3;
/// Maximum number of writes to record the outcome of a call.
const MAX_RECORD_WRITES: u32 = 3;
/// Largest response body that is stored for replay.
const MAX_RECORDED_BODY_BYTES: usize = 16 << 10;

/// Response that is stored in a claim and replayed when the call is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body; `None` if it is not UTF-8 or exceeds 16 KiB.
    pub body: Option<String>,
}

impl RecordedResponse {
    /// Creates a record of a response; the body is left out if it is too large or not UTF-8.
    #[must_use]
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let within_limit = (body.len() <= MAX_RECORDED_BODY_BYTES).then(|| body.to_vec());
        let body = within_limit.and_then(|bytes| String::from_utf8(bytes).ok());
        Self {
            status,
            content_type: content_type.to_owned(),
            body,
        }
    }
}

/// State of a claim, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The attempt may have sent the call; no outcome is recorded yet.
    Claimed,
    /// The call did not run, so another attempt may take over the claim.
    NotRun,
    /// The attempt sent the call, but it is unknown whether the call ran.
    Unknown,
    /// The call ran and was answered.
    Done {
        /// Response that later attempts replay.
        answer: RecordedResponse,
    },
}

/// Stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the attempt that owns the claim.
    pub attempt: String,
    /// Progress or outcome of the attempt.
    #[serde(flatten)]
    pub state: ClaimState,
}

/// Result of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and produced this revision of the claim.
    Written(u64),
    /// The condition of the write did not hold, so nothing was written.
    Conflict,
    /// The write certainly did not take effect.
    Failed,
    /// It is unknown whether the write took effect, or will yet do so.
    InDoubt,
}

/// Result of a read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The claim exists; holds it and its revision.
    Found(Claim, u64),
    /// The claim does not exist.
    Missing,
    /// The read failed, for example because the store did not answer.
    Failed,
}

/// Outcome of sending the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The backend server answered.
    Answered(RecordedResponse),
    /// The call certainly did not run.
    NotRun,
    /// It is unknown whether the call ran.
    Unknown,
}

/// Next step to perform for a [`ClaimFlow`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the claim if it does not exist.
    Create(Claim),
    /// Read the claim.
    Read,
    /// Replace the claim if it still has the given revision.
    Replace(Claim, u64),
    /// Send the call to the backend server, once and before [`ClaimFlow::send_by`].
    Send,
    /// Report the outcome to the caller.
    End(ClaimEnd),
}

/// Outcome that is reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The caller gets the response to this attempt's call.
    Answered,
    /// The caller gets the recorded response of an earlier attempt.
    Replayed(RecordedResponse),
    /// The call of this attempt failed; the value tells whether it ran.
    Refused(Ran),
    /// Another attempt owns the claim, and it is unknown whether its call ran.
    ClaimedElsewhere,
    /// The store did not confirm the claim, for example because it is unreachable; this attempt
    /// sent nothing.
    StoreUnavailable,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Creating,
    ReadingBack {
        reads: u32,
    },
    TakingOver,
    Sending {
        revision: u64,
    },
    Recording {
        claim: Claim,
        revision: u64,
        end: ClaimEnd,
        writes: u32,
    },
    Ended,
}

/// State machine of one attempt: creates the claim, sends the call and records its outcome.
#[derive(Clone, Debug)]
pub struct ClaimFlow {
    attempt: String,
    send_by: Instant,
    phase: Phase,
}

impl ClaimFlow {
    /// Starts the flow; the time to send is counted from `now`, before the claim is requested.
    #[must_use]
    pub fn start(now: Instant, attempt: &str) -> (Self, ClaimStep) {
        let flow = Self {
            attempt: attempt.to_owned(),
            send_by: now + SEND_WINDOW,
            phase: Phase::Creating,
        };
        let claim = flow.claim(ClaimState::Claimed);
        (flow, ClaimStep::Create(claim))
    }

    /// Returns the time from which this attempt may no longer send the call.
    #[must_use]
    pub fn send_by(&self) -> Instant {
        self.send_by
    }

    /// Handles the result of [`ClaimStep::Create`] or [`ClaimStep::Replace`].
    pub fn on_write(&mut self, now: Instant, result: WriteResult) -> ClaimStep {
        match (std::mem::replace(&mut self.phase, Phase::Ended), result) {
            (Phase::Creating | Phase::TakingOver, WriteResult::Written(revision)) => {
                self.send_or_give_up(now, revision)
            }
            (Phase::Creating | Phase::TakingOver, WriteResult::Failed) => {
                ClaimStep::End(ClaimEnd::StoreUnavailable)
            }
            (Phase::Creating | Phase::TakingOver, _) => {
                self.phase = Phase::ReadingBack { reads: 1 };
                ClaimStep::Read
            }
            (
                Phase::Recording {
                    claim,
                    revision,
                    end,
                    writes,
                },
                result,
            ) => {
                let retry = matches!(result, WriteResult::Failed | WriteResult::InDoubt);
                if retry && writes < MAX_RECORD_WRITES {
                    return self.record(claim, revision, end, writes + 1);
                }
                // The stored claim stays `Claimed`, which no other attempt may take over.
                ClaimStep::End(end)
            }
            (_, _) => ClaimStep::End(ClaimEnd::Refused(Ran::Unknown)),
        }
    }

    /// Handles the result of [`ClaimStep::Read`].
    pub fn on_read(&mut self, now: Instant, result: ReadResult) -> ClaimStep {
        let Phase::ReadingBack { reads } = self.phase else {
            return ClaimStep::End(ClaimEnd::Refused(Ran::Unknown));
        };
        match result {
            ReadResult::Found(claim, revision) if claim.attempt == self.attempt => {
                self.send_or_give_up(now, revision)
            }
            ReadResult::Found(claim, revision) => self.on_other_claim(claim, revision),
            // The write in doubt may still arrive, so the claim is not created again.
            ReadResult::Missing => self.end(ClaimEnd::StoreUnavailable),
            ReadResult::Failed if reads < MAX_CLAIM_READS => {
                self.phase = Phase::ReadingBack { reads: reads + 1 };
                ClaimStep::Read
            }
            ReadResult::Failed => self.end(ClaimEnd::StoreUnavailable),
        }
    }

    /// Handles the result of [`ClaimStep::Send`].
    pub fn on_sent(&mut self, result: SendResult) -> ClaimStep {
        let Phase::Sending { revision } = self.phase else {
            return ClaimStep::End(ClaimEnd::Refused(Ran::Unknown));
        };
        let (state, end) = match result {
            SendResult::Answered(answer) => (ClaimState::Done { answer }, ClaimEnd::Answered),
            SendResult::NotRun => (ClaimState::NotRun, ClaimEnd::Refused(Ran::No)),
            SendResult::Unknown => (ClaimState::Unknown, ClaimEnd::Refused(Ran::Unknown)),
        };
        self.record(self.claim(state), revision, end, 1)
    }

    fn send_or_give_up(&mut self, now: Instant, revision: u64) -> ClaimStep {
        if now < self.send_by {
            self.phase = Phase::Sending { revision };
            return ClaimStep::Send;
        }
        let claim = self.claim(ClaimState::NotRun);
        self.record(claim, revision, ClaimEnd::Refused(Ran::No), 1)
    }

    fn on_other_claim(&mut self, claim: Claim, revision: u64) -> ClaimStep {
        match claim.state {
            ClaimState::Done { answer } => self.end(ClaimEnd::Replayed(answer)),
            ClaimState::NotRun => {
                self.phase = Phase::TakingOver;
                ClaimStep::Replace(self.claim(ClaimState::Claimed), revision)
            }
            ClaimState::Claimed | ClaimState::Unknown => self.end(ClaimEnd::ClaimedElsewhere),
        }
    }

    fn record(&mut self, claim: Claim, revision: u64, end: ClaimEnd, writes: u32) -> ClaimStep {
        self.phase = Phase::Recording {
            claim: claim.clone(),
            revision,
            end,
            writes,
        };
        ClaimStep::Replace(claim, revision)
    }

    fn claim(&self, state: ClaimState) -> Claim {
        Claim {
            attempt: self.attempt.clone(),
            state,
        }
    }

    fn end(&mut self, end: ClaimEnd) -> ClaimStep {
        self.phase = Phase::Ended;
        ClaimStep::End(end)
    }
}

/// Returns the store key of the claim for a call.
///
/// The parts are hashed with their lengths, so that different parts never give the same input.
#[must_use]
pub fn claim_key(workspace: &str, service: &str, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [workspace, service, idempotency_key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    format!("claim/{}", &hasher.finalize().to_hex()[..32])
}
