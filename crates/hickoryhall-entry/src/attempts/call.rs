//! Calls of plain services: picks a server, sends the call and retries it where that is safe.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_clients::{ClientError, ServiceCall, ServiceResponse};
use hickoryhall_routing::{AttemptOutcome, RetryDecision, RetryPolicy};
use hickoryhall_telemetry::TraceContext;
use hickoryhall_types::{Ran, Refusal, RefusalCode, Step};

use super::after_attempts;
use super::claimed::run_claimed;
use crate::actors::{CoreMsg, stopped_refusal};
use crate::context::Context;
use crate::dispatch::AttemptEnd;

/// A service call whose caller is authenticated and whose fields are checked.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    pub id: String,
    pub workspace: String,
    pub service: Arc<str>,
    /// Path behind the service name, with a leading slash.
    pub path: String,
    pub body: Bytes,
    pub idempotency_key: Option<String>,
    /// Whether the call may run more than once: the table and the caller both allow it.
    pub repeatable: bool,
    pub arrived_at: Instant,
    pub deadline: Instant,
    pub trace: TraceContext,
}

impl ServiceRequest {
    /// Adds a decision about this call to the decision log.
    pub fn record_decision(&self, context: &Context, decision: &str, reason: &str, server: &str) {
        let record = context.decision_record(&self.id, self.arrived_at, decision, reason, server);
        context.decisions.push(record);
    }
}

/// Runs a call and returns its answer.
///
/// A call that may not be repeated runs at most once, under its idempotency key.
///
/// # Errors
///
/// Returns a refusal that states whether the call ran.
pub(crate) fn run_service(
    context: &Context,
    request: &ServiceRequest,
) -> Result<ServiceResponse, Box<Refusal>> {
    if request.repeatable {
        return send(context, request, request.deadline);
    }
    let key = request.idempotency_key.as_deref().ok_or_else(|| {
        let message = "Idempotency-Key is needed: the call may not be repeated";
        Box::new(Refusal::new(RefusalCode::BadRequest, Step::Read, message))
    })?;
    run_claimed(context, request, key)
}

/// Sends a call and retries it on other servers as far as the retry policy allows.
///
/// No attempt starts after `send_by` or the request's deadline.
///
/// # Errors
///
/// Returns a refusal that states whether the call ran.
pub(super) fn send(
    context: &Context,
    request: &ServiceRequest,
    send_by: Instant,
) -> Result<ServiceResponse, Box<Refusal>> {
    let mut may_have_run = false;
    run_attempts(context, request, send_by, &mut may_have_run)
        .map_err(|refusal| after_attempts(refusal, may_have_run))
}

/// Runs the attempts of [`send`]; sets `may_have_run` once a failed attempt may have run.
fn run_attempts(
    context: &Context,
    request: &ServiceRequest,
    send_by: Instant,
    may_have_run: &mut bool,
) -> Result<ServiceResponse, Box<Refusal>> {
    let mut excluded_servers = Vec::new();
    let policy = RetryPolicy {
        repeatable: request.repeatable,
        deadline: request.deadline,
    };
    loop {
        let (server, address) = pick_server(context, request, &excluded_servers)?;
        if Instant::now() >= send_by.min(request.deadline) {
            context.core.send(CoreMsg::ServiceCallEnded {
                id: server,
                end: AttemptEnd::Released,
            });
            let message = "the time to send the call is over";
            let refusal = Refusal::new(RefusalCode::DeadlineExceeded, Step::Send, message);
            return Err(Box::new(refusal));
        }
        let result = send_once(context, request, &server, address);
        let end = if result.is_ok() {
            AttemptEnd::Finished
        } else {
            AttemptEnd::Failed
        };
        context.core.send(CoreMsg::ServiceCallEnded {
            id: Arc::clone(&server),
            end,
        });
        let error = match result {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        *may_have_run |= error.ran() != Ran::No;
        excluded_servers.push(server);
        let attempts = u32::try_from(excluded_servers.len()).unwrap_or(u32::MAX);
        let outcome = AttemptOutcome {
            ran: error.ran(),
            ended_at: Instant::now(),
        };
        let budget = || {
            context
                .core
                .ask(|reply| CoreMsg::TakeRetry { reply })
                .unwrap_or(false)
        };
        match policy.decide(attempts, outcome, budget) {
            RetryDecision::Retry(wait) => std::thread::sleep(wait),
            RetryDecision::GiveUp => return Err(refusal(&error)),
        }
    }
}

fn pick_server(
    context: &Context,
    request: &ServiceRequest,
    excluded_servers: &[Arc<str>],
) -> Result<(Arc<str>, std::net::SocketAddr), Box<Refusal>> {
    let service = Arc::clone(&request.service);
    let excluded_servers = excluded_servers.to_vec();
    let picked = context.core.ask(|reply| CoreMsg::PickServiceServer {
        service,
        excluded_servers,
        reply,
    });
    picked.ok_or_else(stopped_refusal)?.ok_or_else(|| {
        let message = format!("no server of {} can be reached", request.service);
        let refusal = Refusal::new(RefusalCode::NoBackend, Step::Placement, message);
        Box::new(refusal.retry_after(Duration::from_secs(1)))
    })
}

fn send_once(
    context: &Context,
    request: &ServiceRequest,
    server: &Arc<str>,
    address: std::net::SocketAddr,
) -> Result<ServiceResponse, ClientError> {
    let span = context
        .spans
        .start(request.trace, context.next_span_id(), "call", server);
    let call = ServiceCall {
        path: request.path.clone(),
        request_id: request.id.clone(),
        attempt_id: context.next_id(),
        idempotency_key: request.idempotency_key.clone(),
        traceparent: span.context().to_string(),
        body: request.body.clone(),
    };
    request.record_decision(context, "send", "the least calls in flight", server);
    let timeout = request.deadline.saturating_duration_since(Instant::now());
    let result = context.services.call(address, &call, timeout);
    span.end(if result.is_ok() { "answered" } else { "failed" });
    result
}

fn refusal(error: &ClientError) -> Box<Refusal> {
    let refusal = Refusal::new(RefusalCode::BackendFailed, error.step, error.to_string())
        .peer(error.peer.to_string())
        .ran(error.ran());
    // A call that may have run gets no retry advice: a second call could run it twice.
    Box::new(match error.ran() {
        Ran::No => refusal.retry_after(Duration::from_secs(1)),
        _ => refusal,
    })
}
