//! One attempt's stream, read on a thread of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use hickoryhall_clients::{ClientError, PromptRequest, RunnerStream, StreamEvent};
use hickoryhall_http::Saturated;
use hickoryhall_types::{TokenIndex, WeightsVersion};

use super::ModelRequest;
use crate::context::Context;
use crate::dispatch::Ticket;

/// What an attempt sends, or resumes.
#[derive(Clone, Debug)]
pub(super) enum Opening {
    /// The prompt, with the part of the answer that the caller has.
    Start {
        partial: Option<(String, TokenIndex)>,
        cache_salt: String,
        weights: WeightsVersion,
        priority: u32,
    },
    /// A stream that broke, from this token on.
    Resume { from: TokenIndex },
}

/// Whom an attempt asks, and how.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub runner: SocketAddr,
    pub ticket: Ticket,
    pub opening: Opening,
    pub traceparent: String,
}

/// What an attempt brings.
#[derive(Debug)]
pub(super) struct UpstreamEvent {
    /// The attempt.
    pub ticket: Ticket,
    /// Its next event.
    pub event: Result<StreamEvent, ClientError>,
}

impl Upstream {
    /// Starts to read the stream; events go to the channel until it closes.
    pub fn start(
        self,
        context: &Arc<Context>,
        request: &Arc<ModelRequest>,
        events: Sender<UpstreamEvent>,
    ) -> Result<(), Saturated> {
        let shared = Arc::clone(context);
        let request = Arc::clone(request);
        context
            .upstreams
            .run(move || self.read(&shared, &request, &events))
    }

    fn read(&self, context: &Context, request: &ModelRequest, events: &Sender<UpstreamEvent>) {
        let ticket = self.ticket;
        let mut stream = match self.open(context, request) {
            Ok(stream) => stream,
            Err(error) => {
                // The request may have ended without this attempt.
                let _ = events.send(UpstreamEvent {
                    ticket,
                    event: Err(error),
                });
                return;
            }
        };
        loop {
            let event = stream.next_event();
            let is_last = !matches!(event, Ok(StreamEvent::Token(_)));
            let is_gone = events.send(UpstreamEvent { ticket, event }).is_err();
            if is_last || is_gone {
                return;
            }
        }
    }

    fn open(&self, context: &Context, request: &ModelRequest) -> Result<RunnerStream, ClientError> {
        let timeout = request.time_left().max(Duration::from_millis(1));
        let (partial, cache_salt, weights, priority) = match &self.opening {
            Opening::Resume { from } => {
                let (id, ticket) = (&request.id, self.ticket);
                return context
                    .runners
                    .resume(self.runner, id, ticket, *from, timeout);
            }
            Opening::Start {
                partial,
                cache_salt,
                weights,
                priority,
            } => (partial, cache_salt, *weights, *priority),
        };
        let prompt = PromptRequest {
            request_id: &request.id,
            attempt_id: self.ticket,
            traceparent: &self.traceparent,
            model: &request.model,
            messages: &request.messages,
            partial: partial
                .as_ref()
                .map(|(text, tokens)| (text.as_str(), *tokens)),
            max_tokens: request.max_tokens,
            cache_salt,
            priority,
            weights_version: weights,
        };
        context.runners.open(self.runner, &prompt, timeout)
    }
}
