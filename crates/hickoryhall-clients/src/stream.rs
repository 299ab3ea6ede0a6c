//! Answer streams of runners, validated event by event.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use hickoryhall_types::{AttemptId, Incarnation, Step, TokenCount, TokenIndex};
use serde::Deserialize;
use ureq::BodyReader;

use crate::{ClientError, ClientErrorKind};

/// Maximum length of a line of a stream.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// Reason why an answer stream is not valid for its attempt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event belongs to another request or attempt.
    #[error("event of request {id} attempt {attempt_id}")]
    WrongAttempt {
        /// Request id of the event.
        id: String,
        /// Attempt id of the event.
        attempt_id: AttemptId,
    },
    /// A token is missing, repeated or out of order.
    #[error("token {got} where {expected} was due")]
    WrongIndex {
        /// Index of the next token in order.
        expected: TokenIndex,
        /// Index of the received token.
        got: TokenIndex,
    },
    /// The engine restarted during the answer.
    #[error("incarnation changed from {before} to {after}")]
    Restarted {
        /// Incarnation of the earlier events.
        before: Incarnation,
        /// Incarnation of this event.
        after: Incarnation,
    },
    /// The token count of the end event differs from the tokens received.
    #[error("the end counts {stated} tokens, {got} came")]
    WrongCount {
        /// Tokens of the answer as the end event states them.
        stated: TokenIndex,
        /// Tokens of the answer received so far, by earlier streams included.
        got: TokenIndex,
    },
    /// The stream ended without an end event.
    #[error("the stream broke off after {after} tokens")]
    UnexpectedEnd {
        /// Tokens of the answer received so far, by earlier streams included.
        after: TokenIndex,
    },
    /// An event is malformed.
    #[error("event cannot be read: {0}")]
    Malformed(String),
}

/// A token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer, from 0.
    pub index: TokenIndex,
    /// Text of the token.
    pub text: String,
    /// Prompt tokens that the engine had cached, 0 if the event does not state them.
    pub cached_tokens: TokenCount,
    /// Incarnation of the engine that produced the token.
    pub incarnation: Incarnation,
}

/// A valid event of an answer stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next token of the answer.
    Token(Token),
    /// The end event: the answer is complete.
    Done,
}

#[derive(Deserialize)]
struct RawEvent {
    id: String,
    attempt_id: AttemptId,
    incarnation: Incarnation,
    token_index: Option<TokenIndex>,
    cached_tokens: Option<TokenCount>,
    tokens: Option<TokenIndex>,
    choices: Vec<RawChoice>,
}

#[derive(Deserialize)]
struct RawChoice {
    delta: RawDelta,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct RawDelta {
    #[serde(default)]
    content: String,
}

/// Validates that events belong to one attempt and that their token indexes have no gap.
#[derive(Clone, Debug)]
pub struct StreamValidator {
    request_id: String,
    attempt_id: AttemptId,
    next_index: TokenIndex,
    incarnation: Option<Incarnation>,
}

impl StreamValidator {
    /// Creates a validator of a stream that starts at the token `next_index`.
    #[must_use]
    pub fn new(request_id: &str, attempt_id: AttemptId, next_index: TokenIndex) -> Self {
        Self {
            request_id: request_id.to_owned(),
            attempt_id,
            next_index,
            incarnation: None,
        }
    }

    /// Returns the index of the next expected token.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    /// Parses and validates the data of one event.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is invalid; the rest of the stream must not be used then.
    pub fn accept(&mut self, data: &[u8]) -> Result<StreamEvent, StreamError> {
        let event = serde_json::from_slice::<RawEvent>(data)
            .map_err(|error| StreamError::Malformed(error.to_string()))?;
        if event.id != self.request_id || event.attempt_id != self.attempt_id {
            return Err(StreamError::WrongAttempt {
                id: event.id,
                attempt_id: event.attempt_id,
            });
        }
        let before = *self.incarnation.get_or_insert(event.incarnation);
        if before != event.incarnation {
            return Err(StreamError::Restarted {
                before,
                after: event.incarnation,
            });
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Err(StreamError::Malformed("no choice".to_owned()));
        };
        match event.token_index {
            Some(got) => {
                self.accept_index(got)?;
                Ok(StreamEvent::Token(Token {
                    index: got,
                    text: choice.delta.content,
                    cached_tokens: event.cached_tokens.unwrap_or(0),
                    incarnation: event.incarnation,
                }))
            }
            None if choice.finish_reason.is_some() => self.accept_end(event.tokens.unwrap_or(0)),
            None => Err(StreamError::Malformed("neither token nor end".to_owned())),
        }
    }

    fn accept_index(&mut self, got: TokenIndex) -> Result<(), StreamError> {
        if got != self.next_index {
            return Err(StreamError::WrongIndex {
                expected: self.next_index,
                got,
            });
        }
        self.next_index += 1;
        Ok(())
    }

    fn accept_end(&self, stated: TokenIndex) -> Result<StreamEvent, StreamError> {
        if stated != self.next_index {
            return Err(StreamError::WrongCount {
                stated,
                got: self.next_index,
            });
        }
        Ok(StreamEvent::Done)
    }
}

/// Reader of the answer stream of one attempt at a runner.
pub struct RunnerStream {
    peer: SocketAddr,
    validator: StreamValidator,
    reader: BufReader<BodyReader<'static>>,
}

impl RunnerStream {
    pub(crate) fn new(peer: SocketAddr, validator: StreamValidator, body: ureq::Body) -> Self {
        Self {
            peer,
            validator,
            reader: BufReader::new(body.into_reader()),
        }
    }

    /// Waits for the next event and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends early or an event is invalid.
    pub fn next_event(&mut self) -> Result<StreamEvent, ClientError> {
        let data = self.read_event_data()?;
        self.validator
            .accept(&data)
            .map_err(|error| self.error(error))
    }

    fn read_event_data(&mut self) -> Result<Vec<u8>, ClientError> {
        loop {
            let mut line = Vec::new();
            let mut limited = std::io::Read::take(&mut self.reader, LINE_LIMIT_BYTES);
            let read = limited.read_until(b'\n', &mut line);
            let after = self.validator.next_index();
            let is_too_long = matches!(read, Ok(read) if read as u64 == LINE_LIMIT_BYTES);
            if !line.ends_with(b"\n") {
                return Err(self.error(if is_too_long {
                    let message = format!("a line is longer than {LINE_LIMIT_BYTES} bytes");
                    StreamError::Malformed(message)
                } else {
                    // The connection ended, possibly in the middle of the line.
                    StreamError::UnexpectedEnd { after }
                }));
            }
            if let Some(data) = line.strip_prefix(b"data: ") {
                return Ok(data.trim_ascii_end().to_vec());
            }
            if !line.trim_ascii().is_empty() {
                return Err(self.error(StreamError::Malformed("not an event".to_owned())));
            }
        }
    }

    fn error(&self, error: StreamError) -> ClientError {
        ClientError::new(Step::Answer, self.peer, ClientErrorKind::Stream(error))
    }
}
