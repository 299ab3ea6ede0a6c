//! Requests as worker threads receive them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_edge::ResponseBody;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Response};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Message that says why a body could not be read to its end.
pub(crate) type BodyReadError = String;

/// A request that has not been answered yet. Dropping it closes the connection without a response.
#[derive(Debug)]
pub struct Request {
    pub(crate) head: Parts,
    pub(crate) body_chunks: mpsc::Receiver<Result<Bytes, BodyReadError>>,
    pub(crate) response_sender: oneshot::Sender<Response<ResponseBody>>,
    pub(crate) runtime: Handle,
    pub(crate) write_timeout: Duration,
}

/// Tells a worker whether its caller is still connected.
#[derive(Debug)]
pub struct Caller {
    disconnected: Arc<AtomicBool>,
}

/// Marks the caller as disconnected when it is dropped before the response is sent, which happens
/// when the connection ends and its future is dropped.
#[derive(Debug)]
pub(crate) struct DisconnectGuard {
    disconnected: Arc<AtomicBool>,
    is_answered: bool,
}

impl Request {
    /// Returns the request method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns the path with the query string, without scheme and authority.
    #[must_use]
    pub fn path_and_query(&self) -> &str {
        let target = self.head.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    /// Returns the request headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Closes the connection without a response, as a crashed server would.
    pub fn close_connection(self) {}

    /// Returns the value of `Content-Length`, `None` if it is missing or not a number.
    pub(crate) fn content_length(&self) -> Option<usize> {
        let length = self.head.headers.get(CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    }
}

impl Caller {
    /// Returns whether the caller disconnected before the response was sent.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Relaxed)
    }
}

impl DisconnectGuard {
    /// Creates a guard and the handle through which a worker observes it.
    pub fn new() -> (Self, Caller) {
        let disconnected = Arc::new(AtomicBool::new(false));
        let guard = Self {
            disconnected: Arc::clone(&disconnected),
            is_answered: false,
        };
        (guard, Caller { disconnected })
    }

    /// Consumes the guard without marking the caller as disconnected.
    pub fn mark_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.disconnected.store(true, Ordering::Relaxed);
        }
    }
}

/// Returns the first value of a header, `None` if the header is missing or its value is not ASCII
/// text.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.head.headers.get(name)?.to_str().ok()
}

/// Returns how many times a header occurs in the request.
#[must_use]
pub fn header_count(request: &Request, name: &'static str) -> usize {
    request.head.headers.get_all(name).iter().count()
}
