//! Requests of callers: reads, authenticates, checks and admits them, then runs them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_http::{
    BodyError, Caller, Request, header, header_count, read_body, respond_bytes,
};
use hickoryhall_table::AccessPolicy;
use hickoryhall_telemetry::TraceContext;
use hickoryhall_types::{Refusal, RefusalCode, Step};
use metrics::counter;

use crate::actors::{CoreHandle, CoreMsg};
use crate::attempts::{
    Answer, AnswerFormat, ModelRequest, RequestBody, ServiceRequest, estimate_prompt_tokens,
    fingerprint, run_model, run_service,
};
use crate::context::Context;
use crate::dispatch::{AdmissionRequest, Permit};
use crate::shared_table::CurrentTable;

/// Longest idempotency key and longest request id.
const MAX_ID_BYTES: usize = 256;
/// Upper bound of `X-Deadline-Ms`; longer deadlines are cut to it.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Size limit for the headers of a request, names and values together.
const MAX_HEADERS_BYTES: usize = 16 << 10;
/// Headers that a request may contain at most once.
const UNIQUE_HEADERS: [&str; 6] = [
    "Authorization",
    "X-Request-Id",
    "Idempotency-Key",
    "X-Deadline-Ms",
    "X-Not-Repeatable",
    "Content-Length",
];

type Checked<T> = Result<T, Box<Refusal>>;

/// Id, deadline and trace of a request, from its headers or defaults.
struct RequestHead {
    id: String,
    arrived_at: Instant,
    deadline: Instant,
    trace: TraceContext,
}

/// Workspace of an authenticated caller, and the table that its request is checked against.
struct CallerAccess {
    table: Arc<CurrentTable>,
    workspace: String,
}

/// Admission permit of a request; dropping it releases the permit.
struct PermitGuard {
    core: CoreHandle,
    permit: Permit,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.core.send(CoreMsg::Release(self.permit));
    }
}

/// Serves a model request.
pub(super) fn serve_model(
    context: &Arc<Context>,
    mut http: Request,
    caller: Caller,
    format: AnswerFormat,
) {
    let _in_flight = context.lifecycle.enter();
    let head = read_head(context, &http);
    let id = head.id.clone();
    let checked = check_model(context, &mut http, head, format);
    let (request, _permit) = match checked {
        Ok(checked) => checked,
        Err(refusal) => return respond_refusal(http, &id, &refusal),
    };
    let span = context
        .spans
        .start(request.trace, context.next_span_id(), "request", "");
    let request = ModelRequest {
        trace: span.context(),
        ..request
    };
    let answer = Answer::new(http, caller, &request);
    run_model(context, &Arc::new(request), answer);
    span.end("ended");
}

/// Serves a call of a plain service.
pub(super) fn serve_service(context: &Arc<Context>, mut http: Request, path: &str) {
    let _in_flight = context.lifecycle.enter();
    let head = read_head(context, &http);
    let id = head.id.clone();
    let checked = check_service(context, &mut http, head, path);
    let (request, _permit) = match checked {
        Ok(checked) => checked,
        Err(refusal) => return respond_refusal(http, &id, &refusal),
    };
    let span = context
        .spans
        .start(request.trace, context.next_span_id(), "request", "");
    let request = ServiceRequest {
        trace: span.context(),
        ..request
    };
    let result = run_service(context, &request);
    span.end("ended");
    match result {
        Ok(answer) => {
            let headers = [
                ("Content-Type", answer.content_type.as_str()),
                ("X-Request-Id", id.as_str()),
            ];
            respond_bytes(http, answer.status, &headers, answer.body.to_vec());
        }
        Err(refusal) => respond_refusal(http, &id, &refusal),
    }
}

/// Responds with a refusal as JSON, under the HTTP status of its code.
pub(crate) fn respond_refusal(http: Request, request_id: &str, refusal: &Refusal) {
    counter!("refusals_total", "code" => format!("{:?}", refusal.code)).increment(1);
    let body = serde_json::to_vec(refusal).expect("a refusal has string keys");
    let retry_after_s = refusal
        .retry_after_ms
        .map(|ms| ms.div_ceil(1_000).to_string());
    let mut headers = vec![
        ("Content-Type", "application/json"),
        ("X-Request-Id", request_id),
    ];
    headers.extend(
        retry_after_s
            .as_deref()
            .map(|seconds| ("Retry-After", seconds)),
    );
    respond_bytes(http, refusal.code.http_status(), &headers, body);
}

fn check_model(
    context: &Context,
    http: &mut Request,
    head: RequestHead,
    format: AnswerFormat,
) -> Checked<(ModelRequest, PermitGuard)> {
    let access = authenticate(context, http)?;
    let body = read_request_body(context, http)?;
    let body = RequestBody::parse(&body).map_err(|message| bad_request(&message))?;
    let model = body.model.clone();
    let stream = body.stream;
    let target = format!("model:{model}");
    let policy = access.access_policy(&target)?;
    let limits = &context.settings.limits;
    let (messages, max_tokens) = body
        .into_messages_and_limit(format, limits)
        .map_err(|message| bad_request(&message))?;
    let tokens = estimate_prompt_tokens(&messages);
    if tokens > limits.prompt_tokens {
        let message = format!(
            "the prompt has {tokens} tokens, {} are allowed",
            limits.prompt_tokens
        );
        return Err(refuse(RefusalCode::TooLarge, Step::Read, &message));
    }
    let permit = admit(context, &access, &target, &policy, tokens + max_tokens)?;
    let request = ModelRequest {
        fingerprint: fingerprint(&access.workspace, &model, &messages),
        id: head.id.as_str().into(),
        workspace: access.workspace.as_str().into(),
        model: model.as_str().into(),
        format,
        messages,
        max_tokens,
        stream,
        policy,
        arrived_at: head.arrived_at,
        deadline: head.deadline,
        trace: head.trace,
    };
    Ok((request, permit))
}

fn check_service(
    context: &Context,
    http: &mut Request,
    head: RequestHead,
    path: &str,
) -> Checked<(ServiceRequest, PermitGuard)> {
    let access = authenticate(context, http)?;
    let rest = path.strip_prefix("/svc/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let target = format!("service:{service}");
    let policy = access.access_policy(&target)?;
    let idempotency_key = header(http, "Idempotency-Key").map(str::to_owned);
    let is_bad_key = |key: &String| key.is_empty() || key.len() > MAX_ID_BYTES || !key.is_ascii();
    if idempotency_key.as_ref().is_some_and(is_bad_key) {
        let message = format!("Idempotency-Key must have 1 to {MAX_ID_BYTES} ASCII bytes");
        return Err(bad_request(&message));
    }
    let repeatable = policy.repeatable && !is_marked_not_repeatable(http)?;
    if !repeatable && idempotency_key.is_none() {
        return Err(bad_request(
            "Idempotency-Key is needed: the call may not be repeated",
        ));
    }
    let body = read_request_body(context, http)?;
    let permit = admit(context, &access, &target, &policy, 0)?;
    let request = ServiceRequest {
        id: head.id,
        workspace: access.workspace,
        service: service.into(),
        path: format!("/{path}"),
        body: body.into(),
        idempotency_key,
        repeatable,
        arrived_at: head.arrived_at,
        deadline: head.deadline,
        trace: head.trace,
    };
    Ok((request, permit))
}

/// Reads id, deadline and trace before the request is checked, since a refusal needs the id.
///
/// Missing or invalid values get defaults here; [`check_headers`] rejects invalid ones later.
fn read_head(context: &Context, http: &Request) -> RequestHead {
    let arrived_at = Instant::now();
    let span_id = context.next_span_id();
    let id = header(http, "X-Request-Id")
        .filter(|id| is_valid_request_id(id))
        .map_or_else(
            || format!("{}-{span_id:016x}", context.settings.host),
            str::to_owned,
        );
    let deadline = header(http, "X-Deadline-Ms").and_then(|ms| ms.parse().ok());
    let deadline = deadline.map_or(
        context.settings.limits.default_deadline,
        Duration::from_millis,
    );
    let trace = header(http, "traceparent").and_then(TraceContext::parse);
    let new_trace = || TraceContext::new(u128::from(span_id) << 64 | u128::from(span_id), span_id);
    RequestHead {
        id,
        arrived_at,
        deadline: arrived_at + deadline.min(MAX_DEADLINE),
        trace: trace.unwrap_or_else(new_trace),
    }
}

fn authenticate(context: &Context, http: &Request) -> Checked<CallerAccess> {
    if !context.is_ready() {
        let message = "the host is shutting down or has no table yet";
        let refusal = Refusal::new(RefusalCode::NotReady, Step::Authenticate, message);
        return Err(Box::new(refusal.retry_after(Duration::from_secs(1))));
    }
    check_headers(http)?;
    let key = header(http, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    let table = context.table.get();
    let workspace = key
        .and_then(|key| table.workspace_of(key.trim()))
        .map(str::to_owned);
    let workspace = workspace.ok_or_else(|| {
        let message = "Authorization names no key of a workspace";
        refuse(RefusalCode::UnknownKey, Step::Authenticate, message)
    })?;
    Ok(CallerAccess { table, workspace })
}

fn check_headers(http: &Request) -> Checked<()> {
    let repeated = UNIQUE_HEADERS
        .into_iter()
        .find(|name| header_count(http, name) > 1);
    if let Some(name) = repeated {
        return Err(bad_request(&format!("header {name} stands twice")));
    }
    let headers = http.headers().iter();
    let size = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum::<usize>();
    if size > MAX_HEADERS_BYTES {
        let message = format!("the headers have {size} bytes, {MAX_HEADERS_BYTES} are allowed");
        return Err(refuse(RefusalCode::TooLarge, Step::Read, &message));
    }
    let id = header(http, "X-Request-Id");
    if id.is_some_and(|id| !is_valid_request_id(id)) {
        let message = format!("X-Request-Id must have 1 to {MAX_ID_BYTES} printable ASCII bytes");
        return Err(bad_request(&message));
    }
    let deadline = header(http, "X-Deadline-Ms");
    if deadline.is_some_and(|ms| ms.parse::<u64>().is_err()) {
        return Err(bad_request("X-Deadline-Ms is not a number"));
    }
    Ok(())
}

/// Returns whether a request id is short enough and consists of printable ASCII characters.
fn is_valid_request_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_marked_not_repeatable(http: &Request) -> Checked<bool> {
    match header(http, "X-Not-Repeatable") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad_request("X-Not-Repeatable must be true or false")),
    }
}

fn read_request_body(context: &Context, http: &mut Request) -> Checked<Vec<u8>> {
    read_body(http, context.settings.limits.body_bytes).map_err(|error| {
        let code = match error {
            BodyError::TooLarge { .. } => RefusalCode::TooLarge,
            BodyError::Read(_) => RefusalCode::BadRequest,
        };
        refuse(code, Step::Read, &error.to_string())
    })
}

fn admit(
    context: &Context,
    access: &CallerAccess,
    target: &str,
    policy: &AccessPolicy,
    tokens: u32,
) -> Checked<PermitGuard> {
    let permit = context.core.admit(AdmissionRequest {
        workspace: access.workspace.clone(),
        target: target.to_owned(),
        policy: policy.clone(),
        tokens,
    })?;
    Ok(PermitGuard {
        core: context.core.clone(),
        permit,
    })
}

impl CallerAccess {
    fn access_policy(&self, target: &str) -> Checked<AccessPolicy> {
        self.table
            .table
            .access_policy(&self.workspace, target)
            .ok_or_else(|| {
                let message = format!("the table has no row of {} for {target}", self.workspace);
                refuse(RefusalCode::UnknownTarget, Step::Authenticate, &message)
            })
    }
}

fn bad_request(message: &str) -> Box<Refusal> {
    refuse(RefusalCode::BadRequest, Step::Read, message)
}

fn refuse(code: RefusalCode, step: Step, message: &str) -> Box<Refusal> {
    Box::new(Refusal::new(code, step, message))
}
