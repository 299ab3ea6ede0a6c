//! Reads and checks a caller's request and collects what its placement needs.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_edge::{CallerConnection, RequestBody, SegmentedBody};
use hickoryhall_routing::{Fingerprint, Level, PartHash, PrefixChain};
use hickoryhall_types::{Ran, Revision, TargetId};
use http::request;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::Gateway;
use super::bodies::{Bodies, BodyCharge, ReadError};
use super::quota::QuotaCharge;
use crate::forwarding::ForwardedRequest;
use crate::interface::{LocalFailure, Platform, Prompt, RequestMeta};
use crate::scheduler::{Priority, PromptInfo};
use crate::table::{CallerLimits, NotFound, Rank, Route, RouteTable, Workspace};

/// Time before the caller's deadline at which the final response must be sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);
/// `Retry-After` while the host has no table: about the time that fetching one takes.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);
/// Longest time after its arrival that a request waits for the table of a host that has just
/// started.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(150);
/// Interval at which a waiting request checks for the table.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// `Retry-After` while the host stops: another host accepts the request immediately.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(20);
/// `Retry-After` while there is no memory for the body: about the time in which other requests end.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(300);
/// Priority of callers without a workspace, who come after the callers of every workspace.
const PRIORITY_WITHOUT_WORKSPACE: Rank = Rank::MAX;

/// A request that was read in full, authorized and given a service; it can be placed.
pub(super) struct PreparedRequest {
    pub head: request::Parts,
    pub body: SegmentedBody,
    /// Charge of the body, until the request ends.
    pub _body_charge: Option<BodyCharge>,
    pub meta: Rc<RequestMeta>,
    pub route: Arc<Route>,
    pub service: TargetId,
    pub workspace: Option<Arc<Workspace>>,
    pub prompt: Option<PromptInfo>,
    /// Cache partition of a model request; the version of the weights is added to it to form the
    /// cache salt.
    pub cache_partition: Option<String>,
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests can share: all but the last.
    pub parts: Vec<PartHash>,
    pub arrived_at: Instant,
    pub deadline: Instant,
    pub table_revision: Revision,
    /// Where the request comes from, if a peer forwarded it.
    pub forwarded: Option<Forwarded>,
    /// What the request was charged to the quota of its workspace; the host that a request was forwarded
    /// from has charged it.
    pub quota_charge: Option<QuotaCharge>,
}

/// A request as a peer forwarded it.
pub(super) struct Forwarded {
    /// Address of the peer.
    pub by: IpAddr,
    pub request: ForwardedRequest,
}

impl PreparedRequest {
    /// Returns the priority of the request: that of the workspace first, then that of the route.
    pub fn priority(&self) -> Priority {
        let workspace = self.workspace.as_ref();
        let workspace = workspace.and_then(|workspace| workspace.priority);
        (
            workspace.unwrap_or(PRIORITY_WITHOUT_WORKSPACE),
            self.route.priority,
        )
    }
}

/// A request that was rejected before any placement.
pub(super) struct Rejection {
    pub request_id: Option<Arc<str>>,
    pub failure: LocalFailure,
    /// Further details for the log, which the caller does not get; may be empty.
    pub detail: String,
}

impl Rejection {
    fn new(meta: Option<&RequestMeta>, status: StatusCode, reason: &'static str) -> Self {
        Self {
            request_id: meta.map(|meta| meta.request_id.clone()),
            failure: LocalFailure {
                status,
                ran: Ran::No,
                retry_after: None,
                reason,
            },
            detail: String::new(),
        }
    }

    fn retry_later(meta: &RequestMeta, reason: &'static str, retry_after: Duration) -> Self {
        let mut rejection = Self::new(Some(meta), StatusCode::SERVICE_UNAVAILABLE, reason);
        rejection.failure.retry_after = Some(retry_after);
        rejection
    }

    fn over_quota(meta: &RequestMeta, retry_after: Duration) -> Self {
        let mut rejection = Self::new(Some(meta), StatusCode::TOO_MANY_REQUESTS, "quota");
        rejection.failure.retry_after = Some(retry_after);
        rejection
    }

    fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = detail.to_string();
        self
    }
}

impl<P: Platform> Gateway<P> {
    /// Returns the table in force. On a host that has just started, waits for it up to
    /// [`MAX_TABLE_WAIT`], which is shorter than the caller's round trip to another host.
    async fn table(&self, arrived_at: Instant) -> Option<Arc<RouteTable>> {
        loop {
            let table = self.core.with(|core, _| core.table());
            if table.is_some() || arrived_at.elapsed() >= MAX_TABLE_WAIT {
                return table;
            }
            tokio::time::sleep(TABLE_POLL_INTERVAL).await;
        }
    }

    /// # Errors
    ///
    /// Returns the rejection of a request that a stopping host does not begin any more.
    fn check_open(&self, meta: &RequestMeta) -> Result<(), Rejection> {
        if self.is_closed.get() {
            let retry_after = RETRY_AFTER_STOPPING;
            return Err(Rejection::retry_later(meta, "stopping", retry_after));
        }
        Ok(())
    }

    /// Reads, authorizes and prepares a request.
    ///
    /// # Errors
    ///
    /// Returns the rejection of a request that cannot be placed.
    pub(super) async fn intake(
        &self,
        request: Request<RequestBody>,
        caller: &Rc<CallerConnection>,
        arrived_at: Instant,
        forwarded: Option<Forwarded>,
    ) -> Result<PreparedRequest, Rejection> {
        let (head, body) = request.into_parts();
        let mut meta = self.platform.parse_request_head(&head).map_err(|error| {
            Rejection::new(None, StatusCode::BAD_REQUEST, "bad_request").with_detail(error)
        })?;
        if let Some(Forwarded { request, .. }) = &forwarded
            && request.resume_after.is_some()
        {
            meta.last_event_id.clone_from(&request.resume_after);
        }
        self.check_open(&meta)?;
        let Some(table) = self.table(arrived_at).await else {
            return Err(Rejection::retry_later(
                &meta,
                "no_table",
                RETRY_AFTER_NOT_READY,
            ));
        };
        let (route, workspace) = authorize(&table, &meta, head.uri.path())?;
        let deadline = deadline(arrived_at, &meta, &route);
        let read = read_body(&self.bodies, body, table.limits(), deadline, &meta, caller);
        let (body, body_charge) = read.await?;
        // The wait for the table and for the body may have lasted until late in a stop.
        self.check_open(&meta)?;
        let fingerprint = fingerprint(&head, &meta, &body);
        // A stream that is taken up goes on at the service that began it.
        let hash = hickoryhall_types::hash_name(meta.first_request_id());
        let service = route.target(hash).cloned().ok_or_else(|| {
            Rejection::new(Some(&meta), StatusCode::SERVICE_UNAVAILABLE, "no_service")
        })?;
        let cache_partition = meta
            .prompt
            .as_ref()
            .map(|_| table.cache_partition(workspace.as_deref()));
        let parts = meta.prompt.as_ref().map(shared_parts).unwrap_or_default();
        let prompt = meta.prompt.as_ref().zip(cache_partition.as_ref());
        let quota_charge = if forwarded.is_none() {
            QuotaCharge::take(&self.core, workspace.as_ref(), &meta)
                .map_err(|retry_after| Rejection::over_quota(&meta, retry_after))?
        } else {
            None
        };
        Ok(PreparedRequest {
            prompt: prompt.map(|(prompt, partition)| prompt_info(prompt, partition)),
            cache_partition,
            head,
            body,
            _body_charge: body_charge,
            meta: Rc::new(meta),
            route,
            service,
            workspace,
            fingerprint,
            parts,
            arrived_at,
            deadline,
            table_revision: table.revision(),
            forwarded,
            quota_charge,
        })
    }
}

/// Returns whether a request was rejected before its body was read to the end.
pub(super) fn has_unread_body(failure: &LocalFailure) -> bool {
    matches!(
        failure.reason,
        "body_too_large" | "slow_body" | "body_dropped" | "no_memory"
    )
}

/// The route of a request, and the workspace of its caller.
type Authorized = (Arc<Route>, Option<Arc<Workspace>>);

fn authorize(table: &RouteTable, meta: &RequestMeta, path: &str) -> Result<Authorized, Rejection> {
    let reject = |status, reason| {
        Rejection::new(Some(meta), status, reason).with_detail(format_args!(
            "{}{path} in table {}",
            meta.host,
            table.revision()
        ))
    };
    let route = table
        .route(&meta.host, path)
        .map_err(|not_found| match not_found {
            NotFound::Missing => reject(StatusCode::NOT_FOUND, "no_route"),
            NotFound::Unreadable => reject(StatusCode::SERVICE_UNAVAILABLE, "unreadable_route"),
        })?;
    let found = match meta.key.as_deref() {
        Some(key) => table.workspace(key),
        None => Err(NotFound::Missing),
    };
    let workspace = match found {
        Ok(workspace) => Some(workspace),
        Err(_) if route.is_public || !table.needs_keys() => None,
        Err(NotFound::Missing) => return Err(reject(StatusCode::UNAUTHORIZED, "unknown_key")),
        Err(NotFound::Unreadable) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(reject(status, "unreadable_workspace"));
        }
    };
    Ok((Arc::clone(route), workspace.cloned()))
}

fn deadline(arrived_at: Instant, meta: &RequestMeta, route: &Route) -> Instant {
    let caller_timeout = meta
        .caller_timeout
        .map(|wait| wait.saturating_sub(DEADLINE_MARGIN));
    arrived_at + caller_timeout.map_or(route.timeout, |wait| wait.min(route.timeout))
}

async fn read_body(
    bodies: &Rc<Bodies>,
    body: RequestBody,
    limits: CallerLimits,
    deadline: Instant,
    meta: &RequestMeta,
    caller: &Rc<CallerConnection>,
) -> Result<(SegmentedBody, Option<BodyCharge>), Rejection> {
    let left = deadline.saturating_duration_since(Instant::now());
    let read = bodies.read(body, limits.body_bytes, caller);
    match timeout(left, read).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(ReadError::TooLarge)) => Err(Rejection::new(
            Some(meta),
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        )),
        Ok(Err(ReadError::Dropped)) => Err(Rejection::retry_later(
            meta,
            "body_dropped",
            RETRY_AFTER_NO_MEMORY,
        )),
        Ok(Err(ReadError::NoMemory)) => Err(Rejection::retry_later(
            meta,
            "no_memory",
            RETRY_AFTER_NO_MEMORY,
        )),
        Ok(Err(ReadError::Broken(error))) => {
            Err(
                Rejection::new(Some(meta), StatusCode::BAD_REQUEST, "broken_body")
                    .with_detail(error),
            )
        }
        Err(_) => Err(Rejection::new(
            Some(meta),
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
        )),
    }
}

/// Returns a hash of path, key and body by which a repeated request is recognized.
fn fingerprint(head: &request::Parts, meta: &RequestMeta, body: &SegmentedBody) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let key = meta.key.as_deref().unwrap_or_default();
    for part in [path, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&(body.length() as u64).to_le_bytes());
    for segment in body.segments() {
        hasher.update(segment);
    }
    first_u64(hasher.finalize().as_bytes())
}

/// Returns the parts of a prompt that other requests can share, in any place of their prompts.
fn shared_parts(prompt: &Prompt) -> Vec<PartHash> {
    let shared = prompt.parts.len().saturating_sub(1);
    let parts = prompt.parts.iter().take(shared);
    parts
        .map(|part| hickoryhall_types::hash_name(&part.id))
        .collect()
}

/// Returns what placement needs of a prompt. The key of each level is a hash over the cache
/// partition and all parts up to that level.
fn prompt_info(prompt: &Prompt, partition: &str) -> PromptInfo {
    let mut parent = *blake3::hash(partition.as_bytes()).as_bytes();
    let levels = prompt.parts.iter().map(|part| {
        parent = *blake3::keyed_hash(&parent, part.id.as_bytes()).as_bytes();
        Level {
            key: first_u64(&parent),
            tokens: part.tokens,
        }
    });
    PromptInfo {
        model: prompt.model.clone(),
        chain: PrefixChain::from_levels(levels.collect()),
        input_tokens: prompt.input_tokens,
        output_tokens: prompt.output_tokens,
    }
}

fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
