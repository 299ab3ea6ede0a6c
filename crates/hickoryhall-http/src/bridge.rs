//! Passes requests from the event loop to worker threads, and their responses back.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hickoryhall_edge::{CallerConnection, Handler, RequestBody, ResponseBody, StreamAborted};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::{Request as HttpRequest, Response};
use serde_json::json;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Duration, timeout};

use crate::request::{BodyReadError, DisconnectGuard};
use crate::respond::build_response;
use crate::{Caller, Request, ServerLimits, WorkerPool, WorkerUnavailable};

/// Body chunks buffered for a worker; when the queue is full, the connection is not read further.
const BODY_QUEUE_CHUNKS: usize = 4;
/// Longest time that the rest of a body is read after an early response: enough for a few
/// megabytes, too short to let a caller hold the connection open.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection handler that dispatches each request to a worker.
pub(crate) struct Bridge<F> {
    pub handler: Arc<F>,
    pub pool: WorkerPool,
    pub limits: ServerLimits,
}

impl<F: Fn(Request, Caller) + Send + Sync + 'static> Handler for Bridge<F> {
    async fn handle(
        self: Rc<Self>,
        request: HttpRequest<RequestBody>,
        _caller: Rc<CallerConnection>,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        let (head, mut body) = request.into_parts();
        let (chunk_sender, body_chunks) = mpsc::channel(BODY_QUEUE_CHUNKS);
        let (response_sender, mut response_receiver) = oneshot::channel();
        let (guard, caller) = DisconnectGuard::new();
        let request = Request {
            head,
            body_chunks,
            response_sender,
            runtime: Handle::current(),
            write_timeout: self.limits.write_timeout,
        };
        let handler = Arc::clone(&self.handler);
        if let Err(unavailable) = self.pool.run(move || handler(request, caller)) {
            guard.mark_answered();
            return Ok(overloaded_response(&unavailable));
        }
        let early_response = tokio::select! {
            biased;
            response = &mut response_receiver => Some(response),
            () = forward_body(&mut body, chunk_sender, self.limits.body_timeout) => None,
        };
        if !body.is_end_stream() {
            spawn_local(drain_body(body));
        }
        let response = match early_response {
            Some(response) => response,
            None => response_receiver.await,
        };
        guard.mark_answered();
        // A worker that drops its request closes the connection without a response.
        response.map_err(|_| StreamAborted)
    }
}

/// Forwards body chunks to the worker until the body ends or the worker stops reading.
async fn forward_body(
    body: &mut RequestBody,
    chunk_sender: mpsc::Sender<Result<Bytes, BodyReadError>>,
    time_limit: Duration,
) {
    let forward = async {
        while let Some(frame) = body.frame().await {
            let chunk = match frame {
                Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
                Err(error) => Err(error.to_string()),
            };
            if chunk_sender.send(chunk).await.is_err() {
                return;
            }
        }
    };
    if timeout(time_limit, forward).await.is_err() {
        // The worker may have finished already, which is not an error.
        let _ = chunk_sender
            .send(Err("it came too slowly".to_owned()))
            .await;
    }
}

/// Reads and discards the rest of a body. Closing the connection while the caller still sends would
/// reset it, and the caller could lose the early response.
async fn drain_body(mut body: RequestBody) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that keeps sending beyond the time limit may lose its response.
    let _ = timeout(DRAIN_TIMEOUT, rest).await;
}

/// Returns the response to a request for which no worker is available.
fn overloaded_response(unavailable: &WorkerUnavailable) -> Response<ResponseBody> {
    let body = json!({
        "code": "overloaded",
        "step": "read",
        "peer": "",
        "ran": "no",
        "message": unavailable.to_string(),
        "retry_after_ms": 1_000,
    });
    let headers = [("Content-Type", "application/json"), ("Retry-After", "1")];
    build_response(
        503,
        &headers,
        ResponseBody::full(Bytes::from(body.to_string())),
    )
}
