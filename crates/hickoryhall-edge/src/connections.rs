//! What is known of the open connections of callers, which decides when a stopping process may end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use slab::Slab;
use tokio::sync::Notify;

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

/// The open connections of a process.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<Slab<Rc<CallerConnection>>>,
    opened: Cell<u64>,
    /// Notified when a connection has ended.
    ended: Notify,
    closed_unsent: Cell<u64>,
}

/// Keeps a connection listed as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    key: usize,
}

impl CallerConnection {
    fn new(address: SocketAddr, number: u64) -> Self {
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
            self.phase.set(Phase::Reading);
            self.has_begun_request.set(true);
            self.has_read_request.set(false);
        }
    }

    /// Returns whether the end of the connection would make an incomplete response look complete.
    pub(crate) fn would_look_complete(&self) -> bool {
        self.is_responding() && self.needs_close.get()
    }

    /// Records that the head of a request was read. `can_chunk` tells whether the caller understands
    /// chunked responses.
    pub(crate) fn on_request(&self, has_body: bool, can_chunk: bool) {
        self.phase.set(Phase::Responding);
        self.request_id.replace(None);
        self.has_begun_request.set(true);
        self.has_read_request.set(!has_body);
        self.has_ended_response.set(false);
        self.needs_close.set(!can_chunk);
        self.response_bytes.set(0);
        self.written_bytes.set(0);
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
            self.phase.set(Phase::Idle);
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
        self.phase.set(Phase::Closing);
    }
}

impl Connections {
    /// Lists a connection as open until the returned guard is dropped.
    pub(crate) fn open(
        self: &Rc<Self>,
        address: SocketAddr,
    ) -> (Rc<CallerConnection>, OpenConnection) {
        let number = self.opened.get();
        self.opened.set(number + 1);
        let connection = Rc::new(CallerConnection::new(address, number));
        let key = self.open.borrow_mut().insert(Rc::clone(&connection));
        let connections = Rc::clone(self);
        (connection, OpenConnection { connections, key })
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
