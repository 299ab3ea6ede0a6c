//! Writes the answer to the caller, as a stream of events or as one body.

use std::io;

use hickoryhall_http::{Caller, EventWriter, Request, respond_json};
use hickoryhall_types::{Refusal, TokenIndex};
use serde_json::{Value, json};

use super::{AnswerFormat, ModelRequest};
use crate::edge::respond_refusal;

/// How far the answer has been sent to the caller.
enum ResponseState {
    /// Nothing has been sent; holds the HTTP request to respond to.
    NotStarted(Box<Request>),
    /// The response has begun and events are written to it.
    Streaming(EventWriter),
    /// The response is finished, or the caller hung up.
    Closed,
}

/// Answer to one model request: the text received so far and the response to the caller.
pub(crate) struct Answer {
    state: ResponseState,
    caller: Caller,
    format: AnswerFormat,
    stream: bool,
    id: String,
    model: String,
    text: String,
    next_index: TokenIndex,
}

impl Answer {
    pub fn new(http: Request, caller: Caller, request: &ModelRequest) -> Self {
        Self {
            state: ResponseState::NotStarted(Box::new(http)),
            caller,
            format: request.format,
            stream: request.stream,
            id: request.id.to_string(),
            model: request.model.to_string(),
            text: String::new(),
            next_index: 0,
        }
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the index of the next token, which is also the number of tokens received so far.
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    /// Returns whether the caller has hung up or the response is closed.
    pub fn is_abandoned(&self) -> bool {
        match &self.state {
            ResponseState::NotStarted(_) => self.caller.is_disconnected(),
            ResponseState::Streaming(writer) => writer.is_closed(),
            ResponseState::Closed => true,
        }
    }

    /// Appends a token and, in a streamed answer, sends it to the caller.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller has hung up.
    pub fn push_token(&mut self, index: TokenIndex, text: &str) -> io::Result<()> {
        debug_assert_eq!(
            index, self.next_index,
            "runner streams are checked for gaps"
        );
        self.next_index += 1;
        self.text.push_str(text);
        if !self.stream {
            return Ok(());
        }
        let event = self.chunk(Some(text), None);
        let result = self
            .event_writer()
            .and_then(|writer| writer.send_event(&event));
        if result.is_err() {
            self.state = ResponseState::Closed;
        }
        result
    }

    /// Ends a complete answer: closes the stream, or sends the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller of a streamed answer has hung up.
    pub fn finish(mut self) -> io::Result<()> {
        if self.stream {
            return self.finish_stream();
        }
        if let ResponseState::NotStarted(http) =
            std::mem::replace(&mut self.state, ResponseState::Closed)
        {
            respond_json(*http, 200, &self.complete_body());
        }
        Ok(())
    }

    /// Ends the answer with a refusal, sent as an event where the stream has already begun.
    pub fn refuse(mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.state, ResponseState::Closed) {
            ResponseState::NotStarted(http) => respond_refusal(*http, &self.id, refusal),
            ResponseState::Streaming(mut writer) => {
                let error = json!({"error": refusal}).to_string();
                // An error means that the caller has hung up, so nobody is left to report it to.
                let _ = writer.send_event(&error).and_then(|()| writer.finish());
            }
            ResponseState::Closed => {}
        }
    }

    fn finish_stream(&mut self) -> io::Result<()> {
        let event = self.chunk(None, Some("stop"));
        let writer = self.event_writer()?;
        writer.send_event(&event)?;
        writer.send_event("[DONE]")?;
        match std::mem::replace(&mut self.state, ResponseState::Closed) {
            ResponseState::Streaming(writer) => writer.finish(),
            _ => Ok(()),
        }
    }

    fn event_writer(&mut self) -> io::Result<&mut EventWriter> {
        if let ResponseState::NotStarted(_) = self.state
            && let ResponseState::NotStarted(http) =
                std::mem::replace(&mut self.state, ResponseState::Closed)
        {
            self.state =
                ResponseState::Streaming(EventWriter::start(*http, &[("X-Request-Id", &self.id)])?);
        }
        match &mut self.state {
            ResponseState::Streaming(writer) => Ok(writer),
            _ => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn chunk(&self, text: Option<&str>, finish_reason: Option<&str>) -> String {
        let choice = match (self.format, text) {
            (AnswerFormat::Chat, Some(text)) => json!({"index": 0, "delta": {"content": text}}),
            (AnswerFormat::Chat, None) => json!({"index": 0, "delta": {}}),
            (AnswerFormat::Completion, text) => json!({"index": 0, "text": text.unwrap_or("")}),
        };
        self.envelope(choice, finish_reason, true).to_string()
    }

    fn complete_body(&self) -> Value {
        let choice = match self.format {
            AnswerFormat::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": self.text}})
            }
            AnswerFormat::Completion => json!({"index": 0, "text": self.text}),
        };
        self.envelope(choice, Some("stop"), false)
    }

    fn envelope(&self, mut choice: Value, finish_reason: Option<&str>, is_chunk: bool) -> Value {
        choice["finish_reason"] = json!(finish_reason);
        let object = match (self.format, is_chunk) {
            (AnswerFormat::Chat, true) => "chat.completion.chunk",
            (AnswerFormat::Chat, false) => "chat.completion",
            (AnswerFormat::Completion, _) => "text_completion",
        };
        json!({"id": self.id, "object": object, "model": self.model, "choices": [choice]})
    }
}
