//! Splits a server-sent event stream at the ends of its events, and checks that they are events of it.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes that cannot be the next event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidEvent {
    /// The event has grown beyond the size of any event that a runner sends.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    Oversize,
    /// A line is neither a field nor a comment.
    #[error("a line is no field of an event")]
    NoField,
    /// The first event of a continuation has no id.
    #[error("the first event of a continuation has no id")]
    NoId,
    /// The id of an event does not follow the one before.
    #[error("the id of an event does not follow the one before")]
    IdOrder,
}

impl InvalidEvent {
    /// Returns the reason as named in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Oversize => "oversize_event",
            Self::NoField => "no_event",
            Self::NoId => "event_without_id",
            Self::IdOrder => "event_out_of_order",
        }
    }
}

/// A stream ended inside an event, so that it was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream ended inside an event, after {bytes} bytes of it")]
pub struct IncompleteEvent {
    /// Bytes of the event that arrived.
    pub bytes: usize,
}

/// The lines of an event that have arrived.
#[derive(Debug, Default)]
struct PartialEvent {
    /// Whether one of them is a field, as comments are not.
    has_field: bool,
    id: Option<Box<str>>,
}

impl PartialEvent {
    fn push_line(&mut self, line: &[u8]) -> Result<(), InvalidEvent> {
        if line.starts_with(b":") {
            return Ok(());
        }
        if !is_field(line) {
            return Err(InvalidEvent::NoField);
        }
        self.has_field = true;
        if let Some(value) = line.strip_prefix(b"id:") {
            let value = std::str::from_utf8(value).unwrap_or_default().trim();
            self.id = (!value.is_empty()).then(|| value.into());
        }
        Ok(())
    }
}

/// Buffers chunks of a stream and releases them as whole events.
///
/// An event ends with an empty line, and a line with CR, LF or both. A CR at the end of the buffer
/// is looked at once the next byte tells whether it belongs to a pair. The ids of events must
/// increase, and the first event of a continuation must have one.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    /// Bytes of the buffer that were looked at.
    scanned: usize,
    /// Where the line that is not complete begins.
    line_start: usize,
    /// The event that is not complete.
    event: PartialEvent,
    /// Whether a line ended with a CR alone.
    has_lone_cr: bool,
    /// Whether the caller has events that came before the first one.
    is_continuation: bool,
    has_events: bool,
    /// Whether the last whole event has an id.
    is_last_named: bool,
    first_id: Option<Box<str>>,
    last_id: Option<Box<str>>,
    /// What is wrong with the bytes behind the whole events.
    error: Option<InvalidEvent>,
}

impl EventFramer {
    /// Creates a framer for a stream that continues after the event with the given id, `None` for a
    /// stream from its start.
    #[must_use]
    pub fn resuming_after(last_id: Option<Box<str>>) -> Self {
        Self {
            is_continuation: last_id.is_some(),
            last_id,
            ..Self::default()
        }
    }

    /// Appends a chunk and returns the whole events buffered so far, `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid event precedes bytes that cannot be one; see also
    /// [`error`](Self::error).
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, InvalidEvent> {
        self.buffer.extend_from_slice(chunk);
        let Some(end) = self.scan() else {
            if self.error.is_none() && self.buffer.len() > MAX_EVENT_BYTES {
                self.error = Some(InvalidEvent::Oversize);
            }
            return self.error.map_or(Ok(None), Err);
        };
        let whole = self.buffer.split_to(end).freeze();
        self.scanned -= end;
        self.line_start -= end;
        Ok(Some(whole))
    }

    /// Returns what is wrong with the bytes behind the whole events, after which none may be passed on.
    #[must_use]
    pub fn error(&self) -> Option<InvalidEvent> {
        self.error
    }

    /// Looks at the bytes that arrived last and returns the offset behind the last empty line among
    /// them that ends a valid event.
    fn scan(&mut self) -> Option<usize> {
        let mut end = None;
        while self.error.is_none()
            && let Some(&byte) = self.buffer.get(self.scanned)
        {
            let line_end_bytes = match (byte, self.buffer.get(self.scanned + 1)) {
                (b'\n', _) => 1,
                (b'\r', Some(b'\n')) => 2,
                (b'\r', Some(_)) => {
                    self.has_lone_cr = true;
                    1
                }
                (b'\r', None) => break,
                _ => {
                    self.scanned += 1;
                    continue;
                }
            };
            let line = &self.buffer[self.line_start..self.scanned];
            let is_empty = line.is_empty();
            let checked = if is_empty {
                self.end_event()
            } else {
                self.event.push_line(line)
            };
            self.error = checked.err();
            self.scanned += line_end_bytes;
            self.line_start = self.scanned;
            if is_empty && self.error.is_none() {
                end = Some(self.scanned);
            }
        }
        end
    }

    /// Checks the event whose last line has arrived.
    fn end_event(&mut self) -> Result<(), InvalidEvent> {
        let event = std::mem::take(&mut self.event);
        if !event.has_field {
            return Ok(());
        }
        match (&event.id, &self.last_id) {
            (Some(id), Some(last)) if !follows(id, last) => return Err(InvalidEvent::IdOrder),
            (None, _) if self.is_continuation && !self.has_events => {
                return Err(InvalidEvent::NoId);
            }
            _ => {}
        }
        self.has_events = true;
        self.is_last_named = event.id.is_some();
        if self.first_id.is_none() {
            self.first_id.clone_from(&event.id);
        }
        self.last_id = event.id.or(self.last_id.take());
        Ok(())
    }

    /// Returns whether the buffer holds a part of an event without its end.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        match &self.buffer[self.line_start..] {
            b"" => self.event.has_field,
            // An empty line, unless its other half is missing.
            b"\r" => !self.has_lone_cr,
            _ => true,
        }
    }

    /// Discards the incomplete event, because another runner sends it whole.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
        (self.scanned, self.line_start) = (0, 0);
        (self.event, self.error) = (PartialEvent::default(), None);
    }

    /// Ends the stream and returns what is left of it beside whole events, such as a comment.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends inside an event, or behind bytes that are none; these are
    /// discarded.
    pub fn finish(&mut self) -> Result<Option<Bytes>, IncompleteEvent> {
        // A CR at the end may be an empty line.
        let is_whole = !self.is_inside_event() && self.error.is_none() && self.end_event().is_ok();
        let rest = self.buffer.split().freeze();
        self.drop_partial();
        if !is_whole {
            return Err(IncompleteEvent { bytes: rest.len() });
        }
        Ok((!rest.is_empty()).then_some(rest))
    }

    /// Returns whether the caller has events that came before the first one.
    #[must_use]
    pub fn is_continuation(&self) -> bool {
        self.is_continuation
    }

    /// Returns whether a whole event has arrived.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns whether another runner can continue the stream: the last event has an id, or there is none
    /// yet.
    #[must_use]
    pub fn can_continue(&self) -> bool {
        self.is_last_named || !self.has_events
    }

    /// Returns the id of the first whole event that arrived, if one of them has an id.
    #[must_use]
    pub fn first_id(&self) -> Option<&str> {
        self.first_id.as_deref()
    }

    /// Returns the id of the last whole event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns whether a line is a field: a name in lower case and a colon, or the name of a field that may
/// have no value.
fn is_field(line: &[u8]) -> bool {
    let is_name_byte =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(byte);
    match line.iter().position(|&byte| byte == b':') {
        Some(end) => end > 0 && line[..end].iter().all(is_name_byte),
        None => matches!(line, b"data" | b"event" | b"id" | b"retry"),
    }
}

/// Returns whether an event may come after the one with the id `last`. Ids that are no numbers have no
/// order.
fn follows(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
