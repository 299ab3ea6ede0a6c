//! Claims: a call that may not be repeated runs at most once.
//!
//! Before the first byte of such a call goes out, its attempt creates a claim in the store. Only
//! the attempt that the claim names may send, and only for a short time after it asked for the
//! claim. A claim that may have been sent is never given to another attempt, so whatever is lost
//! or paused, the call does not run twice; and `ran: no` is said only by an attempt that sent
//! nothing.

use std::time::{Duration, Instant};

use hickoryhall_types::Ran;
use serde::{Deserialize, Serialize};

/// Time from asking for a claim in which its attempt may send.
const SEND_WINDOW: Duration = Duration::from_secs(5);
/// Reads after a write whose answer was lost.
const READ_BACKS: u32 = 3;
/// Attempts to record how a call ended.
const RECORD_TRIES: u32 = 3;
/// Largest answer that is kept for a resend.
const ANSWER_LIMIT_BYTES: usize = 16 << 10;

/// Answer kept for a resend of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: String,
    /// Body, where it is text and small enough.
    pub body: Option<String>,
}

impl RecordedAnswer {
    /// Creates a record of an answer, without its body where that is large or no text.
    #[must_use]
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let small = (body.len() <= ANSWER_LIMIT_BYTES).then(|| body.to_vec());
        let body = small.and_then(|bytes| String::from_utf8(bytes).ok());
        Self {
            status,
            content_type: content_type.to_owned(),
            body,
        }
    }
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The attempt may be sending.
    Claimed,
    /// The attempt gave up before it sent anything.
    NotRun,
    /// The attempt sent the call and does not know whether it ran.
    Unknown,
    /// The call ran.
    Done {
        /// Its answer.
        answer: RecordedAnswer,
    },
}

/// Value of a claim in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Attempt that owns the claim.
    pub attempt: String,
    /// State.
    #[serde(flatten)]
    pub state: ClaimState,
}

/// Result of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and made this revision.
    Written(u64),
    /// Its condition did not hold.
    Conflict,
    /// It certainly did not take effect.
    Failed,
    /// Nobody knows.
    InDoubt,
}

/// Result of a read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The claim and its revision.
    Found(Claim, u64),
    /// There is no claim.
    Missing,
    /// The store did not answer.
    Failed,
}

/// How the call itself ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The server answered.
    Answered(RecordedAnswer),
    /// It certainly did not run.
    NotRun,
    /// Nobody knows whether it ran.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the claim if there is none.
    Create(Claim),
    /// Read the claim.
    Read,
    /// Replace the claim if it still has this revision.
    Replace(Claim, u64),
    /// Send the call, once.
    Send,
    /// Tell the caller.
    End(ClaimEnd),
}

/// What the caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The answer of this attempt's call.
    Answered,
    /// The recorded answer of an earlier attempt.
    Replayed(RecordedAnswer),
    /// The call of this attempt did not run or may have.
    Refused(Ran),
    /// Another attempt has the claim, and nobody knows yet whether it ran.
    ClaimedElsewhere,
    /// The store cannot be reached; the call did not run.
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
        tries: u32,
    },
    Ended,
}

/// One attempt's way through a claim.
#[derive(Clone, Debug)]
pub struct ClaimFlow {
    attempt: String,
    send_by: Instant,
    phase: Phase,
}

impl ClaimFlow {
    /// Starts the flow; the window for sending begins now, before the claim is asked for.
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

    /// Returns the moment after which this attempt may not send.
    #[must_use]
    pub fn send_by(&self) -> Instant {
        self.send_by
    }

    /// Takes the result of [`ClaimStep::Create`] or [`ClaimStep::Replace`] in.
    pub fn on_write(&mut self, now: Instant, result: WriteResult) -> ClaimStep {
        match (std::mem::replace(&mut self.phase, Phase::Ended), result) {
            (Phase::Creating | Phase::TakingOver, WriteResult::Written(revision)) => {
                self.may_send(now, revision)
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
                    tries,
                },
                result,
            ) => {
                let retry = matches!(result, WriteResult::Failed | WriteResult::InDoubt);
                if retry && tries < RECORD_TRIES {
                    return self.record(claim, revision, end, tries + 1);
                }
                // The claim then stays as it is, which no other attempt may take over.
                ClaimStep::End(end)
            }
            (_, _) => ClaimStep::End(ClaimEnd::Refused(Ran::Unknown)),
        }
    }

    /// Takes the result of [`ClaimStep::Read`] in.
    pub fn on_read(&mut self, now: Instant, result: ReadResult) -> ClaimStep {
        let Phase::ReadingBack { reads } = self.phase else {
            return ClaimStep::End(ClaimEnd::Refused(Ran::Unknown));
        };
        match result {
            ReadResult::Found(claim, revision) if claim.attempt == self.attempt => {
                self.may_send(now, revision)
            }
            ReadResult::Found(claim, revision) => self.meet(claim, revision),
            // A write in doubt may still arrive, so the claim is not asked for again.
            ReadResult::Missing => self.end(ClaimEnd::StoreUnavailable),
            ReadResult::Failed if reads < READ_BACKS => {
                self.phase = Phase::ReadingBack { reads: reads + 1 };
                ClaimStep::Read
            }
            ReadResult::Failed => self.end(ClaimEnd::StoreUnavailable),
        }
    }

    /// Takes the result of [`ClaimStep::Send`] in.
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

    fn may_send(&mut self, now: Instant, revision: u64) -> ClaimStep {
        if now < self.send_by {
            self.phase = Phase::Sending { revision };
            return ClaimStep::Send;
        }
        let claim = self.claim(ClaimState::NotRun);
        self.record(claim, revision, ClaimEnd::Refused(Ran::No), 1)
    }

    fn meet(&mut self, claim: Claim, revision: u64) -> ClaimStep {
        match claim.state {
            ClaimState::Done { answer } => self.end(ClaimEnd::Replayed(answer)),
            ClaimState::NotRun => {
                self.phase = Phase::TakingOver;
                ClaimStep::Replace(self.claim(ClaimState::Claimed), revision)
            }
            ClaimState::Claimed | ClaimState::Unknown => self.end(ClaimEnd::ClaimedElsewhere),
        }
    }

    fn record(&mut self, claim: Claim, revision: u64, end: ClaimEnd, tries: u32) -> ClaimStep {
        self.phase = Phase::Recording {
            claim: claim.clone(),
            revision,
            end,
            tries,
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

/// Returns the store key of a call's claim.
#[must_use]
pub fn claim_key(workspace: &str, service: &str, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [workspace, service, idempotency_key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    format!("claim/{}", &hasher.finalize().to_hex()[..32])
}
