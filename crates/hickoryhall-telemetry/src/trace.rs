//! Tracing: W3C trace context, and a bounded in-memory log of spans, one for each hop.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Maximum number of spans that are kept.
const MAX_SPANS: usize = 4_096;

/// Trace that a request belongs to, and the parent span of the current hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    trace_id: u128,
    span_id: u64,
    sampled: bool,
}

impl TraceContext {
    /// Creates the context of a request that arrived without one.
    #[must_use]
    pub fn new(trace_id: u128, span_id: u64) -> Self {
        Self {
            trace_id,
            span_id,
            sampled: true,
        }
    }

    /// Parses a `traceparent` header; returns `None` if it is malformed.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let (version, trace_id, span_id, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let is_well_formed = version.len() == 2
            && version != "ff"
            && trace_id.len() == 32
            && span_id.len() == 16
            && flags.len() == 2
            && (version != "00" || parts.next().is_none())
            && header.is_ascii();
        if !is_well_formed {
            return None;
        }
        let trace_id = u128::from_str_radix(trace_id, 16)
            .ok()
            .filter(|&id| id != 0)?;
        let span_id = u64::from_str_radix(span_id, 16)
            .ok()
            .filter(|&id| id != 0)?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }

    /// Returns the context for the next hop, with `span_id` as its parent.
    #[must_use]
    pub fn child(&self, span_id: u64) -> Self {
        Self { span_id, ..*self }
    }

    /// Returns the trace id as 32 hexadecimal digits.
    #[must_use]
    pub fn trace_id(&self) -> String {
        format!("{:032x}", self.trace_id)
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace_id,
            self.span_id,
            u8::from(self.sampled)
        )
    }
}

/// A finished span.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanRecord {
    /// Trace id, in hexadecimal.
    pub trace_id: String,
    /// Id of the span, in hexadecimal.
    pub span_id: String,
    /// Id of the parent span, in hexadecimal.
    pub parent_id: String,
    /// Name of the operation.
    pub name: String,
    /// Name of the backend server or other host that took part; empty for an operation of this host
    /// alone.
    pub peer: String,
    /// Start time, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Duration in microseconds.
    pub duration_us: u64,
    /// Outcome of the operation.
    pub outcome: String,
}

/// Bounded log of finished spans, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct SpanLog {
    spans: Arc<Mutex<VecDeque<SpanRecord>>>,
}

/// A span in progress.
#[derive(Debug)]
pub struct Span {
    log: SpanLog,
    context: TraceContext,
    id: u64,
    name: &'static str,
    peer: String,
    start: Instant,
    start_wall: SystemTime,
}

impl SpanLog {
    /// Starts a span; `id` must be unique in its trace.
    #[must_use]
    pub fn start(&self, context: TraceContext, id: u64, name: &'static str, peer: &str) -> Span {
        Span {
            log: self.clone(),
            context,
            id,
            name,
            peer: peer.to_owned(),
            start: Instant::now(),
            start_wall: SystemTime::now(),
        }
    }

    /// Returns the kept spans of a trace, or of all traces, in the order in which they ended.
    #[must_use]
    pub fn spans(&self, trace_id: Option<&str>) -> Vec<SpanRecord> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let is_selected = |span: &&SpanRecord| trace_id.is_none_or(|id| span.trace_id == id);
        spans.iter().filter(is_selected).cloned().collect()
    }

    fn push(&self, record: SpanRecord) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.push_back(record);
        if spans.len() > MAX_SPANS {
            spans.pop_front();
        }
    }
}

impl Span {
    /// Returns the context to send to the next hop, with this span as the parent.
    #[must_use]
    pub fn context(&self) -> TraceContext {
        self.context.child(self.id)
    }

    /// Ends the span and adds it to the log.
    pub fn end(self, outcome: &str) {
        let start = self
            .start_wall
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.log.push(SpanRecord {
            trace_id: self.context.trace_id(),
            span_id: format!("{:016x}", self.id),
            parent_id: format!("{:016x}", self.context.span_id),
            name: self.name.to_owned(),
            peer: self.peer,
            start_us: micros(start),
            duration_us: micros(self.start.elapsed()),
            outcome: outcome.to_owned(),
        });
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
