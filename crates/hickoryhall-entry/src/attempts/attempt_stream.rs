//! Reads the stream of one attempt on a worker thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use hickoryhall_clients::{ClientError, PromptRequest, RunnerStream, StreamEvent};
use hickoryhall_http::WorkerUnavailable;
use hickoryhall_types::{TokenIndex, WeightsVersion};

use super::ModelRequest;
use crate::context::Context;
use crate::dispatch::AttemptId;

/// How an attempt opens its stream.
#[derive(Clone, Debug)]
pub(super) enum StreamOpening {
    /// Sends the prompt, with the part of the answer that the caller already has.
    Start {
        /// Text received so far and its number of tokens; `None` before the first token.
        partial: Option<(String, TokenIndex)>,
        cache_salt: String,
        weights_version: WeightsVersion,
        /// Priority at the runner, which serves lower numbers first.
        priority: u32,
    },
    /// Resumes a stream that broke off, from the token with this index.
    Resume { from_index: TokenIndex },
}

/// The runner of an attempt and the request to it.
#[derive(Clone, Debug)]
pub(super) struct AttemptStream {
    /// Address of the runner.
    pub address: SocketAddr,
    pub attempt_id: AttemptId,
    pub opening: StreamOpening,
    pub traceparent: String,
}

/// A token, an end or an error from the stream of an attempt.
#[derive(Debug)]
pub(super) struct AttemptEvent {
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// Next event of its stream; an error is the last one.
    pub event: Result<StreamEvent, ClientError>,
}

impl AttemptStream {
    /// Starts to read the stream on a worker thread and sends its events to `events`.
    ///
    /// Reading stops after the last event or when the receiver is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error where every worker thread is busy.
    pub fn start(
        self,
        context: &Arc<Context>,
        request: &Arc<ModelRequest>,
        events: Sender<AttemptEvent>,
    ) -> Result<(), WorkerUnavailable> {
        let shared = Arc::clone(context);
        let request = Arc::clone(request);
        context
            .upstream_pool
            .run(move || self.read(&shared, &request, &events))
    }

    fn read(&self, context: &Context, request: &ModelRequest, events: &Sender<AttemptEvent>) {
        let attempt_id = self.attempt_id;
        let mut stream = match self.open(context, request) {
            Ok(stream) => stream,
            Err(error) => {
                // Sending fails where the request has ended without this attempt.
                let _ = events.send(AttemptEvent {
                    attempt_id,
                    event: Err(error),
                });
                return;
            }
        };
        loop {
            let event = stream.next_event();
            let is_last = !matches!(event, Ok(StreamEvent::Token(_)));
            let is_closed = events.send(AttemptEvent { attempt_id, event }).is_err();
            if is_last || is_closed {
                return;
            }
        }
    }

    fn open(&self, context: &Context, request: &ModelRequest) -> Result<RunnerStream, ClientError> {
        let timeout = request.time_left().max(Duration::from_millis(1));
        let (partial, cache_salt, weights_version, priority) = match &self.opening {
            StreamOpening::Resume { from_index } => {
                let (id, attempt_id) = (&request.id, self.attempt_id);
                return context
                    .runners
                    .resume(self.address, id, attempt_id, *from_index, timeout);
            }
            StreamOpening::Start {
                partial,
                cache_salt,
                weights_version,
                priority,
            } => (partial, cache_salt, *weights_version, *priority),
        };
        let prompt = PromptRequest {
            request_id: &request.id,
            attempt_id: self.attempt_id,
            traceparent: &self.traceparent,
            model: &request.model,
            messages: &request.messages,
            partial: partial
                .as_ref()
                .map(|(text, tokens)| (text.as_str(), *tokens)),
            max_tokens: request.max_tokens,
            cache_salt,
            priority,
            weights_version,
        };
        context.runners.open(self.address, &prompt, timeout)
    }
}
