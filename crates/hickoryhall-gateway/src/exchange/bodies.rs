//! Reads request bodies within the memory that all of them share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hickoryhall_edge::{CallerConnection, RequestBody, SegmentedBody};
use hickoryhall_limits::{BodyId, MemoryAccount, SMALL_BODY_BYTES};
use http_body_util::BodyExt;
use hyper::body::Body;
use metrics::{counter, gauge};
use slog::{Logger, warn};

use super::Gateway;
use crate::interface::Platform;

/// Size of the first segment of a body, in bytes; each further one has twice the size of the one before.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of the largest segment, in bytes: what a body may hold beyond the bytes that have arrived.
const MAX_SEGMENT_BYTES: usize = SMALL_BODY_BYTES;
/// Least time between two log lines about dropped bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// It is larger than the limit, or declares to be.
    TooLarge,
    /// The connection failed, or the framing is invalid.
    Broken(hyper::Error),
    /// It made room for other bodies or connections.
    Dropped,
    /// There is no memory for it.
    NoMemory,
}

/// Reads request bodies, and accounts for their memory until their requests end.
#[derive(Debug)]
pub(super) struct Bodies {
    account: RefCell<MemoryAccount>,
    /// Bodies that are being read.
    readings: RefCell<HashMap<BodyId, Rc<Reading>>>,
    logged_at: Cell<Option<Instant>>,
    /// Bodies dropped or refused since the last log line.
    unlogged: Cell<u64>,
    logger: Logger,
}

/// A body that is being read.
#[derive(Debug)]
struct Reading {
    caller: Rc<CallerConnection>,
    segments: RefCell<Vec<BytesMut>>,
}

/// Charge of a body; dropping it frees the memory in the account.
#[derive(Debug)]
pub(super) struct BodyCharge {
    bodies: Rc<Bodies>,
    id: BodyId,
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        self.bodies.account.borrow_mut().close(self.id);
        self.bodies.readings.borrow_mut().remove(&self.id);
    }
}

impl Bodies {
    pub fn new(budget_bytes: usize, logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            account: RefCell::new(MemoryAccount::new(budget_bytes)),
            readings: RefCell::default(),
            logged_at: Cell::default(),
            unlogged: Cell::default(),
            logger,
        })
    }

    /// Sets the budget for further charges.
    pub fn set_budget(&self, budget_bytes: usize) {
        self.account.borrow_mut().set_budget(budget_bytes);
    }

    /// Returns the memory that bodies hold, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.account.borrow().used_bytes()
    }

    /// Reads a body of at most `limit_bytes` in full. The charge must be held as long as the body.
    ///
    /// # Errors
    ///
    /// Returns an error before anything is read if the declared length is over the limit.
    pub async fn read(
        self: &Rc<Self>,
        mut body: RequestBody,
        limit_bytes: usize,
        caller: &Rc<CallerConnection>,
    ) -> Result<(SegmentedBody, Option<BodyCharge>), ReadError> {
        let declared = body.size_hint().exact();
        let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if declared.is_some_and(|bytes| bytes > limit_bytes) {
            return Err(ReadError::TooLarge);
        }
        if declared == Some(0) {
            return Ok((SegmentedBody::default(), None));
        }
        let (reading, charge) = self.open(caller, declared);
        let mut received = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = caller.body_dropped() => {
                    self.record_loss("dropped", caller.address().ip());
                    return Err(ReadError::Dropped);
                }
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            if received + data.len() > limit_bytes {
                return Err(ReadError::TooLarge);
            }
            let left = declared.map(|bytes| bytes.saturating_sub(received));
            if !self.store(charge.id, &reading, &data, left) {
                self.record_loss("no_memory", caller.address().ip());
                return Err(ReadError::NoMemory);
            }
            received += data.len();
            if body.is_end_stream() {
                break;
            }
        }
        self.readings.borrow_mut().remove(&charge.id);
        self.account.borrow_mut().complete(charge.id);
        let segments = reading.segments.take();
        let segments = segments.into_iter().map(BytesMut::freeze);
        Ok((segments.collect(), Some(charge)))
    }

    fn open(
        self: &Rc<Self>,
        caller: &Rc<CallerConnection>,
        declared: Option<usize>,
    ) -> (Rc<Reading>, BodyCharge) {
        let address = caller.address().ip();
        let now = Instant::now();
        let id = self.account.borrow_mut().open(now, address, declared);
        let reading = Rc::new(Reading {
            caller: Rc::clone(caller),
            segments: RefCell::default(),
        });
        self.readings.borrow_mut().insert(id, Rc::clone(&reading));
        let bodies = Rc::clone(self);
        (reading, BodyCharge { bodies, id })
    }

    /// Copies received bytes into the segments of a body, so that the read buffer of its connection
    /// is not held. `left` is the number of bytes that were to come, if it is known. Returns `false` if there is
    /// no memory.
    fn store(&self, id: BodyId, reading: &Reading, data: &Bytes, left: Option<usize>) -> bool {
        let mut segments = reading.segments.borrow_mut();
        let (mut spare, mut size) = (0, FIRST_SEGMENT_BYTES);
        if let Some(last) = segments.last_mut() {
            spare = last.capacity() - last.len();
            size = last.capacity().saturating_mul(2);
        }
        let now = Instant::now();
        let (first, rest) = data.split_at(spare.min(data.len()));
        if let Some(last) = segments.last_mut() {
            last.extend_from_slice(first);
        }
        if rest.is_empty() {
            self.account.borrow_mut().record_progress(now, id);
            return true;
        }
        let left = left.map_or(usize::MAX, |left| left.saturating_sub(first.len()));
        let size = size.min(MAX_SEGMENT_BYTES).min(left).max(rest.len());
        let outcome = self.account.borrow_mut().charge(now, id, size);
        outcome.dropped.iter().for_each(|&id| self.drop_body(id));
        if outcome.is_granted {
            let mut segment = BytesMut::with_capacity(size);
            segment.extend_from_slice(rest);
            segments.push(segment);
        }
        outcome.is_granted
    }

    /// Frees the memory of a body at once, and ends its request.
    fn drop_body(&self, id: BodyId) {
        if let Some(reading) = self.readings.borrow_mut().remove(&id) {
            reading.segments.take();
            reading.caller.drop_body();
        }
    }

    /// Counts a body that was dropped or refused, and logs it at most once a second.
    fn record_loss(&self, reason: &'static str, caller: IpAddr) {
        counter!("bodies_dropped_total", "reason" => reason).increment(1);
        self.unlogged.set(self.unlogged.get() + 1);
        let now = Instant::now();
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|logged_at| now - logged_at < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        warn!(
            self.logger, "exchange: Request bodies dropped, as their memory is used up.";
            "count" => self.unlogged.take(), "reason" => reason, "caller" => %caller,
            "used_bytes" => self.used_bytes()
        );
    }
}

impl<P: Platform> Gateway<P> {
    /// Sets the memory that request bodies may hold, for bytes that arrive from now on.
    pub fn set_body_budget(&self, bytes: usize) {
        self.bodies.set_budget(bytes);
    }

    /// Sets the gauges of the memory that requests and responses hold.
    pub fn report_memory(&self) {
        gauge!("account_bytes", "kind" => "bodies").set(self.bodies.used_bytes() as f64);
        gauge!("account_bytes", "kind" => "streams").set(self.streams.used_bytes() as f64);
        gauge!("account_bytes", "kind" => "responses").set(self.responses.used_bytes() as f64);
    }
}
