//! Passes requests from the event loop to worker threads, and their responses back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hickoryhall_edge::{Aborted, AnswerBody, Handler};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Request as HttpRequest, Response};
use serde_json::json;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Duration, timeout};

use crate::request::{BodyEnd, Waiting};
use crate::respond::response;
use crate::{Caller, Request, Saturated, ServerLimits, WorkerPool};

/// Body chunks buffered for a worker; when the queue is full, the connection is not read further.
const BODY_QUEUE: usize = 4;
/// Longest time that the rest of a body is read after an early response: enough for a few
/// megabytes, too short to let a caller hold the connection open.
const LINGER: Duration = Duration::from_secs(1);

/// Connection handler that dispatches each request to a worker.
pub(crate) struct Bridge<F> {
    pub handler: Arc<F>,
    pub pool: WorkerPool,
    pub limits: ServerLimits,
}

impl<F: Fn(Request, Caller) + Send + Sync + 'static> Handler for Bridge<F> {
    async fn handle(
        self: Rc<Self>,
        request: HttpRequest<Incoming>,
        _caller: SocketAddr,
    ) -> Result<Response<AnswerBody>, Aborted> {
        let (head, mut body) = request.into_parts();
        let (feed, pieces) = mpsc::channel(BODY_QUEUE);
        let (answer, mut answered) = oneshot::channel();
        let (waiting, caller) = Waiting::new();
        let request = Request {
            head,
            pieces,
            answer,
            runtime: Handle::current(),
            write: self.limits.write,
        };
        let handler = Arc::clone(&self.handler);
        if let Err(saturated) = self.pool.run(move || handler(request, caller)) {
            waiting.answered();
            return Ok(refusal(&saturated));
        }
        let early = tokio::select! {
            biased;
            answer = &mut answered => Some(answer),
            () = feed_body(&mut body, feed, self.limits.body_read) => None,
        };
        if !body.is_end_stream() {
            spawn_local(drain(body));
        }
        let answer = match early {
            Some(answer) => answer,
            None => answered.await,
        };
        waiting.answered();
        // A worker that drops its request closes the connection without a response.
        answer.map_err(|_| Aborted)
    }
}

/// Forwards body chunks to the worker until the body ends or the worker stops reading.
async fn feed_body(
    body: &mut Incoming,
    feed: mpsc::Sender<Result<Bytes, BodyEnd>>,
    limit: Duration,
) {
    let pass_on = async {
        while let Some(frame) = body.frame().await {
            let piece = match frame {
                Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
                Err(error) => Err(error.to_string()),
            };
            if feed.send(piece).await.is_err() {
                return;
            }
        }
    };
    if timeout(limit, pass_on).await.is_err() {
        // The worker may have finished already, which is not an error.
        let _ = feed.send(Err("timed out".to_owned())).await;
    }
}

/// Reads and discards the rest of a body. Closing the connection while the caller still sends would
/// reset it, and the caller could lose the early response.
async fn drain(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that keeps sending beyond the time limit may lose its response.
    let _ = timeout(LINGER, rest).await;
}

/// Returns the response to a request for which no worker is available.
fn refusal(saturated: &Saturated) -> Response<AnswerBody> {
    let body = json!({
        "code": "overloaded",
        "step": "read",
        "peer": "",
        "ran": "no",
        "message": saturated.to_string(),
        "retry_after_ms": 1_000,
    });
    let headers = [("Content-Type", "application/json"), ("Retry-After", "1")];
    response(
        503,
        &headers,
        AnswerBody::full(Bytes::from(body.to_string())),
    )
}
