//! What is known of the open connections of callers, which decides when a stopping process may end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use slab::Slab;
use tokio::sync::Notify;

/// At most this part of the limit of a listener, and one more, may be open beyond it until they have
/// ended.
const MAX_ENDING_PART: usize = 8;

/// How far a connection has got with its current request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Nothing of a request has been read.
    #[default]
    Idle,
    /// A part of a request head has been read.
    Reading,
    /// A request head has been read, and its response is not yet sent in full.
    Responding,
    /// The sending direction has been closed, and the caller has not closed the other one.
    Closing,
}

/// Open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    address: SocketAddr,
    /// Number of connections that were opened before.
    number: u64,
    phase: Cell<Phase>,
    /// Id of the last request.
    request_id: RefCell<Option<Arc<str>>>,
    has_begun_request: Cell<bool>,
    has_read_request: Cell<bool>,
    has_ended_response: Cell<bool>,
    /// Whether the caller may know the end of the response only by the end of the connection.
    needs_close: Cell<bool>,
    /// Size of the current response, as far as it has been generated.
    response_bytes: Cell<u64>,
    /// Bytes that were written to the socket since the current response began.
    written_bytes: Cell<u64>,
    /// Number of the listener that accepted the connection.
    listener: u64,
    /// Time of the last change of the phase, or of the last progress of a request body.
    since: Cell<Instant>,
    /// Whether the connection, or the body that it sends, makes room for another connection.
    is_ending: Cell<bool>,
    /// Notified when the connection must be closed at once.
    closed: Notify,
    /// Whether the body of the current request must be dropped.
    is_body_dropped: Cell<bool>,
    /// Notified when that changes.
    body_dropped: Notify,
}

/// Counts of connections at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All open connections.
    pub open: usize,
    /// Connections with a request whose response has not been sent in full.
    pub unanswered: usize,
    /// Connections whose caller has not closed them after the last response.
    pub closing: usize,
    /// Bytes of responses that have not been written to a socket.
    pub unsent_bytes: u64,
}

/// What a connection that makes room at the limit is doing; those listed first make room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// It is idle, or has a part of a request head.
    Idle,
    /// It waits for its caller to close it.
    Closing,
    /// It sends a request body, which is dropped with a response.
    Body,
}

/// Number of connections that were ended at a limit of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitCounts {
    /// Connections that were idle or had a part of a request head.
    pub idle: u64,
    /// Connections that waited for their callers to close them.
    pub closing: u64,
    /// Connections whose request body was dropped.
    pub body: u64,
    /// New connections that were closed because no other could make room.
    pub refused: u64,
}

impl LimitCounts {
    /// Returns the number of connections in all.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.idle + self.closing + self.body + self.refused
    }
}

/// The open connections of a process.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<Slab<Rc<CallerConnection>>>,
    opened: Cell<u64>,
    /// Notified when a connection has ended.
    ended: Notify,
    closed_unsent: Cell<u64>,
    listeners: Cell<u64>,
    at_limit: Cell<LimitCounts>,
}

/// Keeps a connection listed as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    key: usize,
}

impl CallerConnection {
    fn new(address: SocketAddr, number: u64, listener: u64) -> Self {
        Self {
            address,
            number,
            phase: Cell::default(),
            request_id: RefCell::default(),
            has_begun_request: Cell::default(),
            has_read_request: Cell::new(true),
            has_ended_response: Cell::default(),
            needs_close: Cell::default(),
            response_bytes: Cell::default(),
            written_bytes: Cell::default(),
            listener,
            since: Cell::new(Instant::now()),
            is_ending: Cell::default(),
            closed: Notify::new(),
            is_body_dropped: Cell::default(),
            body_dropped: Notify::new(),
        }
    }

    /// Waits until the connection must be closed to make room for another.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Makes [`body_dropped`](Self::body_dropped) return until the next request.
    pub fn drop_body(&self) {
        self.is_body_dropped.set(true);
        self.body_dropped.notify_one();
    }

    /// Waits until the body that is being read must be dropped. The handler then answers that the
    /// request has not run.
    pub async fn body_dropped(&self) {
        while !self.is_body_dropped.get() {
            self.body_dropped.notified().await;
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Returns in which order connections make room at the limit; `None` for one whose request is in
    /// progress.
    fn eviction(&self) -> Option<Eviction> {
        if self.is_ending.get() {
            return None;
        }
        match self.phase.get() {
            Phase::Idle | Phase::Reading => Some(Eviction::Idle),
            Phase::Closing => Some(Eviction::Closing),
            Phase::Responding if !self.has_read_request.get() => Some(Eviction::Body),
            Phase::Responding => None,
        }
    }

    /// Returns the address of the caller.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Names the current request for the log.
    pub fn set_request_id(&self, id: Arc<str>) {
        self.request_id.replace(Some(id));
    }

    /// Returns the id of the last request, if it is known.
    #[must_use]
    pub fn request_id(&self) -> Option<Arc<str>> {
        self.request_id.borrow().clone()
    }

    /// Returns whether nothing of a request has been read since the last response.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
    }

    /// Returns whether a request head has been read whose response is not yet sent in full.
    pub(crate) fn is_responding(&self) -> bool {
        self.phase.get() == Phase::Responding
    }

    /// Returns whether anything of any request has ever been read.
    pub(crate) fn has_begun_request(&self) -> bool {
        self.has_begun_request.get()
    }

    /// Returns whether the last request was read in full.
    pub(crate) fn has_read_request(&self) -> bool {
        self.has_read_request.get() && self.phase.get() != Phase::Reading
    }

    /// Returns the bytes that were written to the socket since the last response began.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Returns the bytes of the current response that have not been written to the socket. The size
    /// of heads is not counted.
    #[must_use]
    pub fn unsent_bytes(&self) -> u64 {
        let response_bytes = self.response_bytes.get();
        response_bytes.saturating_sub(self.written_bytes.get())
    }

    pub(crate) fn on_read(&self) {
        if self.phase.get() == Phase::Idle {
            self.set_phase(Phase::Reading);
            self.has_begun_request.set(true);
            self.has_read_request.set(false);
        }
    }

    /// Returns whether the end of the connection would make an incomplete response look complete.
    pub(crate) fn would_look_complete(&self) -> bool {
        self.is_responding() && self.needs_close.get() && self.written_bytes.get() > 0
    }

    /// Records that the head of a request was read. `can_chunk` tells whether the caller understands
    /// chunked responses.
    pub(crate) fn on_request(&self, has_body: bool, can_chunk: bool) {
        self.set_phase(Phase::Responding);
        self.is_ending.set(false);
        self.is_body_dropped.set(false);
        self.request_id.replace(None);
        self.has_begun_request.set(true);
        self.has_read_request.set(!has_body);
        self.has_ended_response.set(false);
        self.needs_close.set(!can_chunk);
        self.response_bytes.set(0);
        self.written_bytes.set(0);
    }

    /// Records that a part of a request body was read.
    pub(crate) fn on_request_progress(&self) {
        self.since.set(Instant::now());
    }

    pub(crate) fn on_request_read(&self) {
        self.has_read_request.set(true);
    }

    /// Records that a part of a response was generated.
    pub(crate) fn on_response_bytes(&self, bytes: u64) {
        self.response_bytes.set(self.response_bytes.get() + bytes);
    }

    /// Records that the HTTP library has taken over the whole response.
    pub(crate) fn on_response_ended(&self) {
        self.has_ended_response.set(true);
    }

    pub(crate) fn on_written(&self, bytes: usize) {
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
    }

    /// Records that everything that the HTTP library has taken over is written to the socket.
    pub(crate) fn on_flushed(&self) {
        if self.phase.get() == Phase::Responding && self.has_ended_response.get() {
            self.set_phase(Phase::Idle);
            self.response_bytes.set(0);
        }
    }

    /// Records that the connection is kept open after a response, with nothing left to read of its
    /// request.
    pub(crate) fn on_kept(&self) {
        self.has_read_request.set(true);
    }

    /// Records that the sending direction was closed after everything was written.
    pub(crate) fn on_closing(&self) {
        self.set_phase(Phase::Closing);
        // A connection whose body was dropped may be closed at once from here on.
        self.is_ending.set(false);
    }
}

impl Connections {
    /// Lists a connection as open until the returned guard is dropped.
    pub(crate) fn open(
        self: &Rc<Self>,
        address: SocketAddr,
        listener: u64,
    ) -> (Rc<CallerConnection>, OpenConnection) {
        let number = self.opened.get();
        self.opened.set(number + 1);
        let connection = Rc::new(CallerConnection::new(address, number, listener));
        let key = self.open.borrow_mut().insert(Rc::clone(&connection));
        let connections = Rc::clone(self);
        (connection, OpenConnection { connections, key })
    }

    /// Returns a number for a new listener.
    pub(crate) fn add_listener(&self) -> u64 {
        let listener = self.listeners.get();
        self.listeners.set(listener + 1);
        listener
    }

    /// Makes room for another connection of a listener that may have `limit` of them; returns whether
    /// there is room.
    ///
    /// A dropped body ends its connection only after the response, so some connections more than the
    /// limit may be open meanwhile.
    pub(crate) fn make_room(&self, listener: u64, limit: usize) -> bool {
        let open = self.open.borrow();
        if open.len() < limit {
            return true;
        }
        let mut ending = 0;
        let mut count = 0;
        let mut first: Option<(Eviction, Instant, &Rc<CallerConnection>)> = None;
        for (_, connection) in open.iter() {
            if connection.listener != listener {
                continue;
            }
            count += 1;
            ending += usize::from(connection.is_ending.get());
            if let Some(eviction) = connection.eviction() {
                let since = connection.since.get();
                if first.is_none_or(|(kind, oldest, _)| (eviction, since) < (kind, oldest)) {
                    first = Some((eviction, since, connection));
                }
            }
        }
        if count < limit {
            return true;
        }
        let mut counts = self.at_limit.get();
        let max_ending = limit / MAX_ENDING_PART + 1;
        let evicted = first.filter(|_| ending < max_ending);
        match evicted {
            Some((Eviction::Body, _, connection)) => {
                connection.is_ending.set(true);
                connection.drop_body();
                counts.body += 1;
            }
            Some((kind, _, connection)) => {
                connection.is_ending.set(true);
                connection.closed.notify_one();
                match kind {
                    Eviction::Idle => counts.idle += 1,
                    _ => counts.closing += 1,
                }
            }
            None => counts.refused += 1,
        }
        self.at_limit.set(counts);
        evicted.is_some()
    }

    /// Returns how many connections were ended at a limit.
    #[must_use]
    pub fn at_limit(&self) -> LimitCounts {
        self.at_limit.get()
    }

    /// Returns the counts of the open connections.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        let open = self.open.borrow();
        let mut counts = ConnectionCounts {
            open: open.len(),
            ..ConnectionCounts::default()
        };
        for (_, connection) in open.iter() {
            counts.unsent_bytes += connection.unsent_bytes();
            match connection.phase.get() {
                Phase::Idle => {}
                Phase::Reading | Phase::Responding => counts.unanswered += 1,
                Phase::Closing => counts.closing += 1,
            }
        }
        counts
    }

    /// Returns the ids of requests whose responses have not been sent in full, at most `limit`.
    #[must_use]
    pub fn unanswered_ids(&self, limit: usize) -> Vec<Arc<str>> {
        let open = self.open.borrow();
        let responding = open.iter().map(|(_, connection)| connection);
        let responding = responding.filter(|connection| connection.is_responding());
        let ids = responding.filter_map(|connection| connection.request_id());
        ids.take(limit).collect()
    }

    /// Returns how many connections have ended with bytes of a response unsent.
    #[must_use]
    pub fn closed_unsent(&self) -> u64 {
        self.closed_unsent.get()
    }

    /// Waits until none of the connections that are open now has an unanswered request or waits for
    /// its caller to close it.
    ///
    /// Connections that a caller has opened without sending anything are not waited for.
    pub async fn drained(&self) {
        let opened = self.opened.get();
        while self.has_work(opened) {
            self.ended.notified().await;
        }
    }

    /// Returns whether a process must not end yet because of one of the first `opened` connections.
    fn has_work(&self, opened: u64) -> bool {
        let open = self.open.borrow();
        let mut connections = open.iter().map(|(_, connection)| connection);
        connections.any(|connection| connection.number < opened && !connection.is_idle())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connections = &self.connections;
        let connection = connections.open.borrow_mut().remove(self.key);
        if connection.unsent_bytes() > 0 {
            let count = connections.closed_unsent.get();
            connections.closed_unsent.set(count + 1);
        }
        connections.ended.notify_one();
    }
}
