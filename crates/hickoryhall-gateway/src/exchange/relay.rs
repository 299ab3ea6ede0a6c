//! Relays event streams to callers and resumes broken ones at another runner where the route
//! allows it.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::{BodySender, ResponseBody};
use http_body_util::BodyExt;
use hyper::Response;
use metrics::counter;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::attempt::{AttemptFailure, AttemptResult, OpenStream, attempt_end};
use super::forward::{Source, Target};
use super::{Exchange, notice_left_callers};
use crate::events::{EventFramer, IncompleteEvent, InvalidEvent};
use crate::forwarding::StreamSoftware;
use crate::framing::{BodyFraming, BodyMedia};
use crate::interface::Platform;
use crate::scheduler::AttemptEnd;

/// Time without an event after which a resumable stream is resumed at another runner: well above
/// the longest step of a busy runner, and below the time after which callers leave.
const RESUME_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for a stream that a peer passes on: long enough for the peer to resume it, and below the time
/// after which callers leave.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time for the head of the next runner's answer before the connection to a silent one is closed: the next
/// one may work on the request from the start, and two runners must not do so for longer than 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Maximum number of pieces in which an event may arrive.
const MAX_EVENT_PIECES: usize = 4_096;
/// Maximum number of runners tried for resuming a stream after one break.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// Why a stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakReason {
    /// The runner broke off.
    BrokenOff,
    /// No event arrived within the limit.
    Silent,
    /// The runner sent something else than the next event.
    Invalid(InvalidEvent),
}

impl BreakReason {
    /// Returns the reason as named in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::BrokenOff => "broken_off",
            Self::Silent => "silent",
            Self::Invalid(error) => error.as_str(),
        }
    }
}

/// Next item read from a stream.
enum StreamItem {
    /// One or more whole events.
    Events(Bytes),
    /// The end of the stream, with what followed its last event.
    End(Option<Bytes>),
    /// The stream cannot be read on.
    Broken(BreakReason),
}

/// A stream from a runner, split into whole events.
struct Upstream {
    stream: Box<OpenStream>,
    framer: EventFramer,
    /// Event after which the stream continues, until the first one behind it arrives.
    resumed_after: Option<Box<str>>,
    /// Bytes of the event that the stream ended inside of.
    incomplete_bytes: usize,
    /// Whether this host has closed the connection.
    is_closed: bool,
}

impl Upstream {
    /// Creates a reader of a stream that continues after the event with the given id.
    fn new(stream: Box<OpenStream>, last_id: Option<Box<str>>) -> Self {
        Self {
            stream,
            resumed_after: last_id.clone(),
            framer: EventFramer::resuming_after(last_id),
            incomplete_bytes: 0,
            is_closed: false,
        }
    }

    /// Ends the work of a silent runner on the request.
    fn close(&mut self) {
        self.is_closed = true;
        self.stream.connection.close();
        self.stream.guard.fail();
    }

    async fn next(&mut self, limit: Duration) -> StreamItem {
        match timeout(limit, self.read()).await {
            Ok(item) => item,
            Err(_) => StreamItem::Broken(BreakReason::Silent),
        }
    }

    async fn read(&mut self) -> StreamItem {
        for _ in 0..MAX_EVENT_PIECES {
            if let Some(error) = self.framer.error() {
                return StreamItem::Broken(BreakReason::Invalid(error));
            }
            let frame = match self.stream.body.frame().await {
                None => return self.end(),
                Some(Err(_)) => return StreamItem::Broken(BreakReason::BrokenOff),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.framer.push(&data) {
                Ok(Some(events)) => return StreamItem::Events(events),
                Ok(None) => {}
                Err(error) => return StreamItem::Broken(BreakReason::Invalid(error)),
            }
        }
        StreamItem::Broken(BreakReason::Invalid(InvalidEvent::Oversize))
    }

    /// Decides whether the stream is complete at the end of its body. The connection of a runner that
    /// crashes may end like that of one that is done.
    fn end(&mut self) -> StreamItem {
        match self.framer.finish() {
            Err(IncompleteEvent { bytes }) => {
                self.incomplete_bytes = bytes;
                StreamItem::Broken(BreakReason::BrokenOff)
            }
            Ok(_) if !self.framer.has_events() && !self.may_be_empty() => {
                StreamItem::Broken(BreakReason::BrokenOff)
            }
            Ok(rest) => StreamItem::End(rest),
        }
    }

    /// Returns whether a stream without events may be complete: its framing has to say so, and the head of
    /// a continuation that it is a stream.
    fn may_be_empty(&self) -> bool {
        let headers = &self.stream.head.headers;
        let is_framed = BodyFraming::of(headers) != BodyFraming::Connection;
        let is_stream = BodyMedia::of(headers) == BodyMedia::Events;
        is_framed && (is_stream || !self.framer.is_continuation())
    }
}

/// A stream that is being passed on to the caller.
struct Relay<P> {
    exchange: Exchange<P>,
    upstream: Upstream,
    /// Whether the stream was silent and no other runner resumed it; it then has as long as the
    /// request.
    is_waited_for: bool,
    /// Whether the same server sent the stream from its first event on.
    is_from_one_server: bool,
}

impl<P: Platform> Exchange<P> {
    /// Waits for the first event and starts a task that passes the stream on.
    ///
    /// # Errors
    ///
    /// Returns the exchange and why the attempt failed if it broke before the first event.
    pub(super) async fn start_stream(
        mut self,
        stream: Box<OpenStream>,
    ) -> Result<Response<ResponseBody>, (Box<Self>, AttemptFailure)> {
        let limit = stream
            .first_event_by
            .saturating_duration_since(Instant::now());
        let last_id = self.request.meta.last_event_id.clone();
        let mut upstream = Upstream::new(stream, last_id);
        let first = match upstream.next(limit).await {
            StreamItem::Broken(reason) => {
                self.record.incomplete_event(upstream.incomplete_bytes);
                let failure = match reason {
                    BreakReason::Silent => AttemptFailure::TimedOut,
                    BreakReason::Invalid(error) => self.invalid_event(error),
                    BreakReason::BrokenOff => AttemptFailure::Broken,
                };
                let OpenStream {
                    source, sent_at, ..
                } = &*upstream.stream;
                if let Some(server) = source.server() {
                    self.record_failure(&failure, server, *sent_at);
                }
                upstream.stream.guard.end(attempt_end(&failure));
                return Err((Box::new(self), failure));
            }
            item => item,
        };
        let (sender, body) = ResponseBody::stream(&self.gateway.streams);
        let mut response = Response::new(body);
        *response.status_mut() = upstream.stream.head.status;
        *response.headers_mut() = self
            .gateway
            .platform
            .response_headers(&upstream.stream.head.headers);
        let software = &upstream.stream.software;
        if !software.is_empty() {
            let software = StreamSoftware(software.clone());
            response.extensions_mut().insert(software);
        }
        let is_from_one_server = self.request.meta.last_event_id.is_none();
        let relay = Relay {
            exchange: self,
            upstream,
            is_waited_for: false,
            is_from_one_server,
        };
        spawn_local(relay.run(first, sender));
        Ok(response)
    }
}

impl<P: Platform> Exchange<P> {
    /// Logs that a runner sent something else than the next event of a stream.
    fn invalid_event(&self, error: InvalidEvent) -> AttemptFailure {
        counter!("invalid_events_total", "reason" => error.as_str()).increment(1);
        info!(
            self.gateway.logger, "exchange: Stream has no valid next event.";
            "request" => &*self.request.meta.request_id, "error" => %error
        );
        AttemptFailure::Invalid
    }
}

impl<P: Platform> Relay<P> {
    async fn run(mut self, first: StreamItem, sender: BodySender) {
        self.exchange.record.first_event();
        self.upstream.stream.guard.first_event();
        if matches!(first, StreamItem::Events(_)) {
            self.exchange.stream_began(&self.upstream.stream);
        }
        let outcome = tokio::select! {
            biased;
            () = sender.closed() => RelayOutcome::CallerLeft,
            outcome = self.forward_events(first, &sender) => outcome,
        };
        let Self {
            mut exchange,
            upstream,
            is_from_one_server,
            ..
        } = self;
        let Upstream { stream, .. } = upstream;
        let OpenStream {
            connection,
            response_meta,
            guard,
            head,
            source,
            forwarding: _forwarding,
            sent_at,
            ..
        } = *stream;
        match outcome {
            RelayOutcome::Complete => {
                guard.end(AttemptEnd::Answered);
                exchange.return_to_pool(connection, &response_meta);
                if is_from_one_server && let Some(server) = source.server() {
                    let framing = BodyFraming::of(&head.headers);
                    exchange.record_whole_answer(server, sent_at, framing);
                }
                exchange.record.answered(head.status);
                sender.finish();
            }
            RelayOutcome::CallerLeft => {
                guard.end(AttemptEnd::Released);
                exchange.record.caller_left();
            }
            RelayOutcome::Broken(reason) => {
                guard.end(AttemptEnd::Failed);
                exchange.record.broken(reason);
            }
        }
    }

    /// Passes events on until the stream ends, the caller leaves or a break cannot be resumed.
    async fn forward_events(&mut self, first: StreamItem, sender: &BodySender) -> RelayOutcome {
        let mut item = first;
        loop {
            match item {
                StreamItem::Events(events) => {
                    self.record_continuation();
                    let software = &self.upstream.stream.software;
                    self.exchange.record.events(events.len(), software);
                    if !sender.send(events).await {
                        return RelayOutcome::CallerLeft;
                    }
                }
                StreamItem::End(rest) => {
                    if let Some(rest) = rest {
                        sender.send(rest).await;
                    }
                    return RelayOutcome::Complete;
                }
                StreamItem::Broken(reason) => {
                    let incomplete_bytes = self.upstream.incomplete_bytes;
                    self.exchange.record.incomplete_event(incomplete_bytes);
                    self.record_break(reason);
                    let is_resumed = self.resume(reason).await;
                    self.exchange.retry = None;
                    if is_resumed {
                        self.is_waited_for = false;
                        self.is_from_one_server = false;
                    } else if reason == BreakReason::Silent
                        && !self.is_waited_for
                        && !self.upstream.is_closed
                    {
                        // The runner may still work on the request, and a late answer is better
                        // than none. Its run goes on and counts once.
                        self.is_waited_for = true;
                        self.exchange.outcome.continue_run();
                    } else {
                        return RelayOutcome::Broken(reason.as_str());
                    }
                }
            }
            item = self.upstream.next(self.idle_limit()).await;
        }
    }

    /// Records where the stream continues, once the first events behind the break have arrived.
    fn record_continuation(&mut self) {
        if let Some(after) = self.upstream.resumed_after.take() {
            let Upstream { stream, framer, .. } = &self.upstream;
            let record = &mut self.exchange.record;
            record.continued(&stream.source.id(), &after, framer.first_id());
        }
    }

    /// Records that the server broke off or is silent.
    fn record_break(&self, reason: BreakReason) {
        let stream = &self.upstream.stream;
        let Some(server) = stream.source.server() else {
            return;
        };
        match reason {
            BreakReason::BrokenOff => self.exchange.record_break(server, stream.sent_at, true),
            BreakReason::Silent => self.exchange.gateway.check_silent_server(server),
            BreakReason::Invalid(error) => {
                self.exchange.invalid_event(error);
            }
        }
    }

    /// Returns the time within which the next event must arrive.
    fn idle_limit(&self) -> Duration {
        let request = &self.exchange.request;
        let left = request.deadline.saturating_duration_since(Instant::now());
        if !request.route.kind.may_repeat() || self.is_waited_for {
            return left;
        }
        match self.upstream.stream.source {
            Source::Server(_) => left.min(RESUME_IDLE_TIMEOUT),
            // The peer resumes a stream that is silent, which takes some time.
            Source::Peer(_) => left.min(PEER_IDLE_TIMEOUT),
        }
    }

    /// Resumes the stream at another runner after the last whole event; returns whether that
    /// succeeded.
    async fn resume(&mut self, reason: BreakReason) -> bool {
        self.exchange
            .attempt_failed(&self.upstream.stream.source, reason.as_str());
        self.exchange.outcome.record_possible_run();
        let can_continue = self.exchange.software.is_some() && self.upstream.framer.can_continue();
        if !can_continue || !self.exchange.may_run_again() {
            return false;
        }
        if reason != BreakReason::Silent {
            self.upstream.framer.drop_partial();
        }
        let last_id = self.upstream.framer.last_id().map(Box::<str>::from);
        self.exchange.waits_since = Instant::now();
        if reason != BreakReason::Silent {
            self.upstream.stream.guard.fail();
        }
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let Ok(target) = self.exchange.choose_target().await else {
                return false;
            };
            notice_left_callers().await;
            if !self.exchange.send_retry() {
                return false;
            }
            let source = target.source();
            info!(
                self.exchange.gateway.logger,
                "exchange: Stream is being resumed at another runner.";
                "request" => &*self.exchange.request.meta.request_id, "reason" => reason.as_str(),
                "after" => last_id.as_deref().unwrap_or_default(),
                "server" => &*source.id(),
                "software" => self.exchange.software,
                "software_before" => &*self.upstream.stream.software
            );
            let attempted = self.attempt_next(target, last_id.as_deref(), reason).await;
            let failure = match attempted {
                AttemptResult::Stream(stream) => {
                    self.upstream = Upstream::new(stream, last_id);
                    return true;
                }
                AttemptResult::Failed(failure) => failure,
                AttemptResult::Response(_) | AttemptResult::PeerFailure(..) => return false,
            };
            self.exchange.attempt_failed(&source, failure.outcome());
            let may_continue = match failure {
                AttemptFailure::Unsent => {
                    self.exchange.restore_retry();
                    self.exchange.has_time()
                }
                AttemptFailure::NotRun => self.exchange.has_time() && self.exchange.reserve_retry(),
                AttemptFailure::Invalid => {
                    self.exchange.outcome.record_possible_run();
                    self.exchange.may_run_again()
                }
                AttemptFailure::ServerFailure { .. }
                | AttemptFailure::Unproven
                | AttemptFailure::Broken
                | AttemptFailure::TimedOut => {
                    self.exchange.outcome.record_possible_run();
                    false
                }
            };
            if !may_continue {
                return false;
            }
        }
        false
    }
}

impl<P: Platform> Relay<P> {
    /// Sends the request to the next runner. A silent one may go on until that may work on it as well.
    async fn attempt_next(
        &mut self,
        target: Target,
        last_id: Option<&str>,
        reason: BreakReason,
    ) -> AttemptResult {
        let mut attempt = pin!(self.exchange.attempt_at(target, last_id));
        match timeout(MAX_OVERLAP, attempt.as_mut()).await {
            Ok(attempted) => attempted,
            Err(_) => {
                if reason == BreakReason::Silent {
                    self.upstream.close();
                }
                attempt.await
            }
        }
    }
}

/// How a stream ended.
enum RelayOutcome {
    Complete,
    CallerLeft,
    Broken(&'static str),
}
