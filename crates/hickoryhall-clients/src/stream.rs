//! Answer streams of runners, checked token by token.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use hickoryhall_types::{AttemptId, Incarnation, Step, TokenCount, TokenIndex};
use serde::Deserialize;
use ureq::BodyReader;

use crate::{ClientError, ClientErrorKind};

/// Longest line of a stream.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// A stream that is not whole, in order and for this attempt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// An event belongs to another request or attempt.
    #[error("event of request {id} attempt {attempt_id}")]
    Crossed {
        /// Request of the event.
        id: String,
        /// Attempt of the event.
        attempt_id: AttemptId,
    },
    /// A token is missing or stands twice.
    #[error("token {got} where {expected} was due")]
    WrongIndex {
        /// Index that was due.
        expected: TokenIndex,
        /// Index that came.
        got: TokenIndex,
    },
    /// The engine restarted while it answered.
    #[error("incarnation changed from {before} to {after}")]
    Restarted {
        /// Incarnation of earlier events.
        before: Incarnation,
        /// Incarnation of this event.
        after: Incarnation,
    },
    /// The end marker counts other tokens than came.
    #[error("the end counts {stated} tokens, {got} came")]
    WrongCount {
        /// Tokens stated.
        stated: TokenIndex,
        /// Tokens that came.
        got: TokenIndex,
    },
    /// The stream ended without its end marker.
    #[error("the stream broke off after {after} tokens")]
    BrokeOff {
        /// Tokens that came.
        after: TokenIndex,
    },
    /// An event cannot be read.
    #[error("event cannot be read: {0}")]
    Garbage(String),
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer.
    pub index: TokenIndex,
    /// Text.
    pub text: String,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: TokenCount,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
}

/// What a stream brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next token.
    Token(Token),
    /// The answer is whole.
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

/// Checks that events belong to one attempt and follow each other without a gap.
#[derive(Clone, Debug)]
pub struct StreamCheck {
    request_id: String,
    attempt_id: AttemptId,
    next_index: TokenIndex,
    incarnation: Option<Incarnation>,
}

impl StreamCheck {
    /// Creates a check of a stream that starts at a token.
    #[must_use]
    pub fn new(request_id: &str, attempt_id: AttemptId, next_index: TokenIndex) -> Self {
        Self {
            request_id: request_id.to_owned(),
            attempt_id,
            next_index,
            incarnation: None,
        }
    }

    /// Returns the index of the token that is due.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.next_index
    }

    /// Checks the data of one event.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the event; the stream is of no use then.
    pub fn accept(&mut self, data: &[u8]) -> Result<StreamEvent, StreamFault> {
        let event = serde_json::from_slice::<RawEvent>(data)
            .map_err(|error| StreamFault::Garbage(error.to_string()))?;
        if event.id != self.request_id || event.attempt_id != self.attempt_id {
            return Err(StreamFault::Crossed {
                id: event.id,
                attempt_id: event.attempt_id,
            });
        }
        let before = *self.incarnation.get_or_insert(event.incarnation);
        if before != event.incarnation {
            return Err(StreamFault::Restarted {
                before,
                after: event.incarnation,
            });
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Err(StreamFault::Garbage("no choice".to_owned()));
        };
        match event.token_index {
            Some(got) => {
                self.take_index(got)?;
                Ok(StreamEvent::Token(Token {
                    index: got,
                    text: choice.delta.content,
                    cached_tokens: event.cached_tokens.unwrap_or(0),
                    incarnation: event.incarnation,
                }))
            }
            None if choice.finish_reason.is_some() => self.take_end(event.tokens.unwrap_or(0)),
            None => Err(StreamFault::Garbage("neither token nor end".to_owned())),
        }
    }

    fn take_index(&mut self, got: TokenIndex) -> Result<(), StreamFault> {
        if got != self.next_index {
            return Err(StreamFault::WrongIndex {
                expected: self.next_index,
                got,
            });
        }
        self.next_index += 1;
        Ok(())
    }

    fn take_end(&self, stated: TokenIndex) -> Result<StreamEvent, StreamFault> {
        if stated != self.next_index {
            return Err(StreamFault::WrongCount {
                stated,
                got: self.next_index,
            });
        }
        Ok(StreamEvent::Done)
    }
}

/// An answer stream of a runner.
pub struct RunnerStream {
    peer: SocketAddr,
    check: StreamCheck,
    lines: BufReader<BodyReader<'static>>,
}

impl RunnerStream {
    pub(crate) fn new(peer: SocketAddr, check: StreamCheck, body: ureq::Body) -> Self {
        Self {
            peer,
            check,
            lines: BufReader::new(body.into_reader()),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Returns an error where the stream breaks off or an event does not belong to it.
    pub fn next_event(&mut self) -> Result<StreamEvent, ClientError> {
        let data = self.next_data()?;
        self.check.accept(&data).map_err(|fault| self.error(fault))
    }

    fn next_data(&mut self) -> Result<Vec<u8>, ClientError> {
        loop {
            let mut line = Vec::new();
            let mut limited = std::io::Read::take(&mut self.lines, LINE_LIMIT_BYTES);
            let read = limited.read_until(b'\n', &mut line);
            let after = self.check.next_index();
            if !matches!(read, Ok(read) if read > 0) {
                return Err(self.error(StreamFault::BrokeOff { after }));
            }
            if let Some(data) = line.strip_prefix(b"data: ") {
                return Ok(data.trim_ascii_end().to_vec());
            }
            if !line.trim_ascii().is_empty() {
                return Err(self.error(StreamFault::Garbage("not an event".to_owned())));
            }
        }
    }

    fn error(&self, fault: StreamFault) -> ClientError {
        ClientError::new(Step::Answer, self.peer, ClientErrorKind::Stream(fault))
    }
}
