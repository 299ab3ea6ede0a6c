//! Writes the final log line and the metrics of a request.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Instant;

use hickoryhall_types::{Ran, SoftwareVersion};
use hyper::StatusCode;
use metrics::{counter, histogram};
use slog::{Logger, info};

use super::intake::PreparedRequest;
use crate::framing::{BodyFraming, BodyMedia};
use crate::interface::{LocalFailure, RequestMeta, ResponseId};
use crate::outcome::is_promise;
use crate::scheduler::{Assignment, Crossing};

/// Collects what is logged when a request ends. A record dropped before its request ended logs
/// that the caller left.
pub(super) struct RequestRecord {
    logger: Logger,
    request_id: Arc<str>,
    route: Arc<str>,
    service: Arc<str>,
    workspace: Arc<str>,
    /// Ids of the prompt's parts, in order.
    parts: String,
    table_revision: u64,
    arrived_at: Instant,
    /// Failed attempts, each as `SERVER:OUTCOME`.
    tried: Vec<String>,
    /// Responses of failed attempts; see [`ResponseRecord::describe`].
    responses: Vec<String>,
    /// Response head of the current attempt.
    response: Option<ResponseRecord>,
    /// Last status that a server gave.
    server_status: Option<u16>,
    /// Framing and media type of the last response.
    framing: Option<BodyFraming>,
    media: Option<BodyMedia>,
    /// Numbers of the connections to servers that carried the request, in order.
    connections: RefCell<Vec<u64>>,
    /// Bytes of response heads that ended early.
    cut_head_bytes: Cell<usize>,
    /// Continuations of the stream, each as `SERVER:AFTER:FIRST`, the ids of the events on both sides.
    continued: Vec<String>,
    /// Last peer that the request was forwarded to.
    forwarded_to: Option<Ipv4Addr>,
    /// Host that forwarded the request here.
    forwarded_by: Option<IpAddr>,
    /// Bytes of an incomplete event that streams ended with.
    incomplete_bytes: usize,
    placed: Option<PlacementRecord>,
    /// Request that the caller says it takes up, and the last event that it has.
    resumes: Arc<str>,
    resumes_after: Box<str>,
    /// Software of the servers that sent events, in order.
    event_software: Vec<SoftwareVersion>,
    first_event_ms: Option<u128>,
    /// Bytes of the events passed on.
    bytes: usize,
    is_ended: bool,
}

/// The head of a server's response, as it is logged.
pub(super) struct ResponseRecord {
    pub status: StatusCode,
    pub framing: BodyFraming,
    pub media: BodyMedia,
    pub id: ResponseId,
    pub is_sealed: bool,
    /// Whether the connection had carried a request before.
    pub is_kept: bool,
}

impl ResponseRecord {
    /// Returns the text `SERVER:STATUS:CONNECTION:ID:SEAL` for the log.
    fn describe(&self, server: &str) -> String {
        let connection = if self.is_kept { "kept" } else { "new" };
        let seal = if self.is_sealed { "sealed" } else { "unsealed" };
        let (status, id) = (self.status.as_u16(), self.id.as_str());
        format!("{server}:{status}:{connection}:{id}:{seal}")
    }
}

/// The last placement, as it is logged.
struct PlacementRecord {
    server: Arc<str>,
    estimate_ms: u128,
    missing_tokens: u32,
    fetched_tokens: u32,
    /// Requests in flight at the server before this one.
    requests: u32,
    /// Servers that could have taken the request.
    candidates: u32,
    weights: u64,
    waited_ms: u128,
    /// Why the request left the failure domain.
    left: Option<&'static str>,
}

impl RequestRecord {
    pub fn new(request: &PreparedRequest, logger: Logger) -> Self {
        let workspace = request.workspace.as_ref();
        let meta = &request.meta;
        Self {
            logger,
            request_id: meta.request_id.clone(),
            route: request.route.name.clone(),
            service: request.service.clone(),
            workspace: workspace.map_or_else(|| "".into(), |workspace| workspace.id.clone()),
            parts: part_ids(meta),
            table_revision: request.table_revision,
            arrived_at: request.arrived_at,
            tried: Vec::new(),
            responses: Vec::new(),
            response: None,
            server_status: None,
            framing: None,
            media: None,
            connections: RefCell::default(),
            cut_head_bytes: Cell::default(),
            continued: Vec::new(),
            forwarded_to: None,
            forwarded_by: request.forwarded.as_ref().map(|forwarded| forwarded.by),
            incomplete_bytes: 0,
            placed: None,
            resumes: meta.resumed_request_id.clone().unwrap_or_else(|| "".into()),
            resumes_after: meta.last_event_id.clone().unwrap_or_default(),
            event_software: Vec::new(),
            first_event_ms: None,
            bytes: 0,
            is_ended: false,
        }
    }

    /// Records a placement; only the last one is logged.
    pub fn placed(&mut self, assignment: &Assignment) {
        if let Some(crossing) = &assignment.crossing {
            count_crossing(crossing);
        }
        self.placed = Some(PlacementRecord {
            server: assignment.server.id.clone(),
            estimate_ms: assignment.estimate.as_millis(),
            missing_tokens: assignment.missing_tokens,
            fetched_tokens: assignment.fetch_from.map_or(0, |(_, tokens)| tokens),
            requests: assignment.requests,
            candidates: assignment.candidates,
            weights: assignment.weights,
            waited_ms: assignment.waited.as_millis(),
            left: assignment
                .crossing
                .as_ref()
                .and_then(|crossing| crossing.reason),
        });
    }

    /// Records that the request is sent to a peer.
    pub fn forwarded(&mut self, peer: Ipv4Addr) {
        self.forwarded_to = Some(peer);
    }

    /// Forgets the response of the attempt before.
    pub fn attempt_begins(&mut self) {
        self.response = None;
    }

    /// Records the head of the response to the current attempt.
    pub fn response_head(&mut self, response: ResponseRecord) {
        self.server_status = Some(response.status.as_u16());
        self.framing = Some(response.framing);
        self.media = Some(response.media);
        self.response = Some(response);
    }

    /// Records that the request is sent on a connection.
    pub fn sent_on(&self, connection: u64) {
        self.connections.borrow_mut().push(connection);
    }

    /// Records the size of a response head that ended early, 0 if nothing of it arrived.
    pub fn cut_head(&self, bytes: usize) {
        if bytes > 0 {
            counter!("responses_cut_inside_head_total").increment(1);
            self.cut_head_bytes.set(self.cut_head_bytes.get() + bytes);
        }
    }

    /// Records that a server or a peer continues the stream: the ids of the last event before and of the
    /// first one behind it.
    pub fn continued(&mut self, source: &str, after: &str, first: Option<&str>) {
        let first = first.unwrap_or_default();
        self.continued.push(format!("{source}:{after}:{first}"));
    }

    /// Returns how the last response told its end.
    pub fn framing(&self) -> BodyFraming {
        self.framing.unwrap_or(BodyFraming::Connection)
    }

    /// Records a failed attempt.
    pub fn attempt_failed(&mut self, server: &str, outcome: &str) {
        counter!("attempts_without_answer_total", "outcome" => outcome.to_owned()).increment(1);
        self.tried.push(format!("{server}:{outcome}"));
        if let Some(response) = self.response.take() {
            if outcome == "failed" && is_promise(response.status) {
                let status = response.status.as_str().to_owned();
                counter!("failures_withheld_total", "status" => status).increment(1);
            }
            self.responses.push(response.describe(server));
        }
    }

    /// Records the arrival of a stream's first event.
    pub fn first_event(&mut self) {
        let elapsed = self.arrived_at.elapsed();
        histogram!("first_event_seconds").record(elapsed.as_secs_f64());
        self.first_event_ms = Some(elapsed.as_millis());
    }

    /// Records the size of events passed on to the caller, and the software of their server.
    pub fn events(&mut self, bytes: usize, software: &SoftwareVersion) {
        self.bytes += bytes;
        if self.event_software.last() != Some(software) {
            self.event_software.push(software.clone());
            if self.event_software.len() == 2 {
                counter!("streams_of_two_versions_total").increment(1);
            }
        }
    }

    /// Records the size of an incomplete event at the end of a stream, 0 if there is none.
    pub fn incomplete_event(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let framing = self.framing.map_or("", BodyFraming::as_str);
        counter!("streams_cut_inside_event_total", "framing" => framing).increment(1);
        self.incomplete_bytes += bytes;
    }

    /// Logs the end of a request that a server answered.
    pub fn answered(&mut self, status: StatusCode) {
        self.log_end("answered", status.as_u16(), "", "yes");
    }

    /// Logs the end of a request that got a failure of this host.
    pub fn failed(&mut self, failure: &LocalFailure) {
        let ran = ran_text(failure.ran);
        self.log_end("failed", failure.status.as_u16(), failure.reason, ran);
    }

    /// Logs the end of a request that got a failure of a peer.
    pub fn failed_at_peer(&mut self, status: StatusCode, ran: Ran) {
        self.log_end("failed", status.as_u16(), "failed_at_peer", ran_text(ran));
    }

    /// Logs the end of a stream that broke off and could not be resumed.
    pub fn broken(&mut self, reason: &str) {
        self.log_end("broken_off", 0, reason, "yes");
    }

    /// Logs the end of a request whose caller closed the connection.
    pub fn caller_left(&mut self) {
        self.log_end("caller_left", 0, "", "unknown");
    }

    fn log_end(&mut self, outcome: &'static str, status: u16, reason: &str, ran: &str) {
        self.is_ended = true;
        let elapsed = self.arrived_at.elapsed();
        counter!("requests_total", "outcome" => outcome, "reason" => reason.to_owned())
            .increment(1);
        histogram!("request_seconds", "outcome" => outcome).record(elapsed.as_secs_f64());
        let placed = self.placed.as_ref();
        let connections = self.connections.borrow();
        let connections = connections.iter().map(u64::to_string).collect::<Vec<_>>();
        info!(
            self.logger, "exchange: Request ended.";
            "request" => &*self.request_id, "outcome" => outcome, "status" => status,
            "reason" => reason, "ran" => ran, "route" => &*self.route, "service" => &*self.service,
            "workspace" => &*self.workspace, "table" => self.table_revision,
            "elapsed_ms" => elapsed.as_millis(), "first_event_ms" => self.first_event_ms,
            "server" => placed.map_or("", |placed| &*placed.server),
            "weights" => placed.map(|placed| placed.weights),
            "estimate_ms" => placed.map(|placed| placed.estimate_ms),
            "missing_tokens" => placed.map(|placed| placed.missing_tokens),
            "fetched_tokens" => placed.map(|placed| placed.fetched_tokens),
            "requests_there" => placed.map(|placed| placed.requests),
            "candidates" => placed.map(|placed| placed.candidates),
            "waited_ms" => placed.map(|placed| placed.waited_ms),
            "left" => placed.and_then(|placed| placed.left),
            "tried" => self.tried.join(" "), "responses" => self.responses.join(" "),
            "server_status" => self.server_status, "bytes" => self.bytes,
            "forwarded_to" => self.forwarded_to.map(|peer| peer.to_string()),
            "forwarded_by" => self.forwarded_by.map(|host| host.to_string()),
            "framing" => self.framing.map_or("", BodyFraming::as_str),
            "media" => self.media.map_or("", BodyMedia::as_str),
            "connections" => connections.join(" "),
            "cut_head_bytes" => self.cut_head_bytes.get(), "continued" => self.continued.join(" "),
            "incomplete_bytes" => self.incomplete_bytes, "resumes" => &*self.resumes,
            "resumes_after" => &*self.resumes_after,
            "event_software" => self.event_software.join(" "), "parts" => &*self.parts
        );
    }
}

/// Counts what crosses between failure domains for a request.
fn count_crossing(crossing: &Crossing) {
    let (from, to) = (crossing.from.to_string(), crossing.to.to_string());
    if let Some(reason) = crossing.reason {
        let labels = [("from", from.clone()), ("to", to.clone())];
        counter!("crossing_bytes_total", &labels).increment(crossing.request_bytes);
        counter!("crossings_total", "from" => from, "to" => to.clone(), "reason" => reason)
            .increment(1);
    }
    if let Some((source, bytes)) = &crossing.cache {
        counter!("crossing_bytes_total", "from" => source.to_string(), "to" => to)
            .increment(*bytes);
    }
}

fn ran_text(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    }
}

/// Returns the ids of the parts of a request's prompt, in order.
fn part_ids(meta: &RequestMeta) -> String {
    let parts = meta.prompt.iter().flat_map(|prompt| &prompt.parts);
    parts.map(|part| &*part.id).collect::<Vec<_>>().join(" ")
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.is_ended {
            self.caller_left();
        }
    }
}

/// Logs and counts a request that was rejected before any placement.
pub(super) fn log_rejection(
    logger: &Logger,
    request_id: Option<&str>,
    failure: &LocalFailure,
    detail: &str,
    arrived_at: Instant,
) {
    counter!("requests_total", "outcome" => "rejected", "reason" => failure.reason).increment(1);
    info!(
        logger, "exchange: Request rejected.";
        "request" => request_id.unwrap_or_default(), "status" => failure.status.as_u16(),
        "reason" => failure.reason, "detail" => detail, "ran" => "no",
        "elapsed_ms" => arrived_at.elapsed().as_millis()
    );
}
