//! Calls that run at most once: executes the steps of a [`ClaimFlow`] against the store.

use std::time::{Duration, Instant};

use hickoryhall_clients::{ClientError, ClientErrorKind, LeaseId, PutCondition, ServiceResponse};
use hickoryhall_control::{
    Claim, ClaimEnd, ClaimFlow, ClaimStep, ReadResult, RecordedResponse, SendResult, WriteResult,
    claim_key,
};
use hickoryhall_types::{Ran, Refusal, RefusalCode, Step};
use metrics::{counter, histogram};

use super::ServiceRequest;
use super::call::send;
use crate::context::Context;

/// Runs a call at most once under its idempotency key.
///
/// # Errors
///
/// Returns a refusal that states whether the call ran.
pub(super) fn run_claimed(
    context: &Context,
    request: &ServiceRequest,
    idempotency_key: &str,
) -> Result<ServiceResponse, Box<Refusal>> {
    let started = Instant::now();
    let attempt = format!(
        "{}/{}/{}",
        context.settings.host,
        context.incarnation,
        context.next_id()
    );
    let claim_entry = ClaimEntry {
        context,
        key: claim_key(&request.workspace, &request.service, idempotency_key),
        lease: context.claim_lease(),
    };
    let (mut flow, mut step) = ClaimFlow::start(started, &attempt);
    let mut sent = None;
    loop {
        step = match step {
            ClaimStep::Create(claim) => {
                let result = claim_entry.write(&claim, PutCondition::Absent);
                flow.on_write(Instant::now(), result)
            }
            ClaimStep::Replace(claim, revision) => {
                let result = claim_entry.write(&claim, PutCondition::Revision(revision));
                flow.on_write(Instant::now(), result)
            }
            ClaimStep::Read => flow.on_read(Instant::now(), claim_entry.read()),
            ClaimStep::Send => {
                histogram!("claim_seconds").record(started.elapsed().as_secs_f64());
                let result = send(context, request, flow.send_by());
                let step = flow.on_sent(to_send_result(&result));
                sent = Some(result);
                step
            }
            ClaimStep::End(end) => {
                counter!("claims_total", "end" => end_label(&end)).increment(1);
                request.record_decision(context, "claim", end_label(&end), "");
                return to_answer(end, sent);
            }
        };
    }
}

/// Access to the claim of one idempotency key in the store.
struct ClaimEntry<'a> {
    context: &'a Context,
    key: String,
    /// Lease that lets the claim expire; `None` where the store granted none.
    lease: Option<LeaseId>,
}

impl ClaimEntry<'_> {
    fn write(&self, claim: &Claim, condition: PutCondition) -> WriteResult {
        let Some(lease) = self.lease else {
            return WriteResult::Failed;
        };
        let value = serde_json::to_string(claim).expect("a claim has string keys");
        match self
            .context
            .store
            .put(&self.key, &value, condition, Some(lease))
        {
            Ok(revision) => WriteResult::Written(revision),
            Err(ClientError {
                kind: ClientErrorKind::Conflict(_),
                ..
            }) => WriteResult::Conflict,
            Err(error) if error.is_in_doubt() => WriteResult::InDoubt,
            Err(_) => WriteResult::Failed,
        }
    }

    fn read(&self) -> ReadResult {
        match self.context.store.get(&self.key) {
            Ok(Some(stored)) => match serde_json::from_str(&stored.value) {
                Ok(claim) => ReadResult::Found(claim, stored.revision),
                Err(_) => ReadResult::Failed,
            },
            Ok(None) => ReadResult::Missing,
            Err(_) => ReadResult::Failed,
        }
    }
}

fn to_send_result(sent: &Result<ServiceResponse, Box<Refusal>>) -> SendResult {
    match sent {
        Ok(answer) => {
            let ServiceResponse {
                status,
                content_type,
                body,
            } = answer;
            SendResult::Answered(RecordedResponse::new(*status, content_type, body))
        }
        Err(refusal) if refusal.ran == Ran::No => SendResult::NotRun,
        Err(_) => SendResult::Unknown,
    }
}

/// Converts the end of a claim flow to the caller's answer; `sent` is the result of the call.
fn to_answer(
    end: ClaimEnd,
    sent: Option<Result<ServiceResponse, Box<Refusal>>>,
) -> Result<ServiceResponse, Box<Refusal>> {
    match (end, sent) {
        (ClaimEnd::Answered | ClaimEnd::Refused(_), Some(sent)) => sent,
        (ClaimEnd::Replayed(recorded), _) => replay(recorded),
        (ClaimEnd::StoreUnavailable, _) => {
            let message = "the store cannot be reached; a call that may not be repeated needs it";
            let refusal = Refusal::new(RefusalCode::StoreUnavailable, Step::Claim, message);
            Err(Box::new(refusal.retry_after(Duration::from_secs(2))))
        }
        (ClaimEnd::ClaimedElsewhere, _) => {
            let message = "another attempt has this idempotency key, and its end is not known";
            let refusal = Refusal::new(RefusalCode::AlreadyClaimed, Step::Claim, message);
            Err(Box::new(refusal.ran(Ran::Unknown)))
        }
        (ClaimEnd::Refused(ran), None) => {
            let message = "the claim came too late to send the call";
            let refusal = Refusal::new(RefusalCode::DeadlineExceeded, Step::Claim, message);
            Err(Box::new(refusal.ran(ran)))
        }
        (ClaimEnd::Answered, None) => {
            unreachable!("a flow ends as answered only after the call was sent")
        }
    }
}

/// Returns the recorded answer of an earlier attempt, or a refusal where its body was not kept.
fn replay(recorded: RecordedResponse) -> Result<ServiceResponse, Box<Refusal>> {
    let RecordedResponse {
        status,
        content_type,
        body,
    } = recorded;
    let body = body.ok_or_else(|| {
        let message = "the call ran; its answer was too large to keep";
        let refusal = Refusal::new(RefusalCode::AlreadyClaimed, Step::Claim, message);
        Box::new(refusal.ran(Ran::Yes))
    })?;
    Ok(ServiceResponse {
        status,
        content_type,
        body: body.into(),
    })
}

/// Returns the label of an end in `claims_total` and in the decision log.
fn end_label(end: &ClaimEnd) -> &'static str {
    match end {
        ClaimEnd::Answered => "answered",
        ClaimEnd::Replayed(_) => "replayed",
        ClaimEnd::Refused(Ran::No) => "not_run",
        ClaimEnd::Refused(_) => "unknown",
        ClaimEnd::ClaimedElsewhere => "claimed_elsewhere",
        ClaimEnd::StoreUnavailable => "store_unavailable",
    }
}
