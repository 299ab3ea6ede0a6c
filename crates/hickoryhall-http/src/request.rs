//! A request as a worker sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_edge::AnswerBody;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Response};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Why no further piece of a body comes.
pub(crate) type BodyEnd = String;

/// A request whose answer is open; dropping it closes the connection without an answer.
#[derive(Debug)]
pub struct Request {
    pub(crate) head: Parts,
    pub(crate) pieces: mpsc::Receiver<Result<Bytes, BodyEnd>>,
    pub(crate) answer: oneshot::Sender<Response<AnswerBody>>,
    pub(crate) runtime: Handle,
    pub(crate) write: Duration,
}

/// Whether somebody waits for the answer.
#[derive(Debug)]
pub struct Caller {
    gone: Arc<AtomicBool>,
}

/// Marks a caller as gone where its connection ends before the answer begins.
#[derive(Debug)]
pub(crate) struct Waiting {
    gone: Arc<AtomicBool>,
    is_answered: bool,
}

impl Request {
    /// Returns the method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns the path and the query.
    #[must_use]
    pub fn url(&self) -> &str {
        let target = self.head.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Closes the connection without an answer, as a crashed server does.
    pub fn abandon(self) {}

    pub(crate) fn body_length(&self) -> Option<usize> {
        let length = self.head.headers.get(CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    }
}

impl Caller {
    /// Tells whether the caller has hung up before the answer began.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }
}

impl Waiting {
    pub fn new() -> (Self, Caller) {
        let gone = Arc::new(AtomicBool::new(false));
        let waiting = Self {
            gone: Arc::clone(&gone),
            is_answered: false,
        };
        (waiting, Caller { gone })
    }

    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.is_answered {
            self.gone.store(true, Ordering::Relaxed);
        }
    }
}

/// Returns the value of a header, the first one where it stands more than once; `None` for one
/// that is not text.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.head.headers.get(name)?.to_str().ok()
}

/// Returns how often a header stands.
#[must_use]
pub fn header_count(request: &Request, name: &'static str) -> usize {
    request.head.headers.get_all(name).iter().count()
}
