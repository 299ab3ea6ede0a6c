//! Splits a server-sent event stream at the ends of its events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incomplete event has grown beyond the size of any event that a runner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct OversizeEvent;

/// A stream ended inside an event, so that it was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream ended inside an event, after {bytes} bytes of it")]
pub struct IncompleteEvent {
    /// Bytes of the event that arrived.
    pub bytes: usize,
}

/// Buffers chunks of a stream and releases them as whole events.
///
/// An event ends with an empty line, and a line with CR, LF or both. A CR at the end of the buffer
/// is looked at once the next byte tells whether it belongs to a pair.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    /// Bytes of the buffer that were looked at.
    scanned: usize,
    /// Where the line that is not complete begins.
    line_start: usize,
    /// Whether a line since the last empty one belongs to an event, as comments do not.
    has_event_line: bool,
    /// Whether a line ended with a CR alone.
    has_lone_cr: bool,
    first_id: Option<Box<str>>,
    last_id: Option<Box<str>>,
}

impl EventFramer {
    /// Creates a framer for a stream that continues after the event with the given id, `None` for a
    /// stream from its start.
    #[must_use]
    pub fn resuming_after(last_id: Option<Box<str>>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends a chunk and returns the whole events buffered so far, `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if an event has no end within the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, OversizeEvent> {
        self.buffer.extend_from_slice(chunk);
        let Some(end) = self.scan() else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(OversizeEvent);
            }
            return Ok(None);
        };
        let whole = self.buffer.split_to(end).freeze();
        self.scanned -= end;
        self.line_start -= end;
        if self.first_id.is_none() {
            self.first_id = event_ids(&whole).next();
        }
        if let Some(id) = event_ids(&whole).next_back() {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Looks at the bytes that arrived last and returns the offset behind the last empty line among
    /// them.
    fn scan(&mut self) -> Option<usize> {
        let mut end = None;
        while let Some(&byte) = self.buffer.get(self.scanned) {
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
            self.has_event_line |= !is_empty && !line.starts_with(b":");
            self.scanned += line_end_bytes;
            self.line_start = self.scanned;
            if is_empty {
                self.has_event_line = false;
                end = Some(self.scanned);
            }
        }
        end
    }

    /// Returns whether the buffer holds a part of an event without its end.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        match &self.buffer[self.line_start..] {
            b"" => self.has_event_line,
            // An empty line, unless its other half is missing.
            b"\r" => !self.has_lone_cr,
            _ => true,
        }
    }

    /// Discards the incomplete event, because another runner sends it whole.
    pub fn drop_partial(&mut self) {
        *self = Self::resuming_after(self.last_id.take());
    }

    /// Ends the stream and returns what is left of it beside whole events, such as a comment.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends inside an event, which is discarded.
    pub fn finish(&mut self) -> Result<Option<Bytes>, IncompleteEvent> {
        let is_inside_event = self.is_inside_event();
        let rest = self.buffer.split().freeze();
        self.drop_partial();
        if is_inside_event {
            return Err(IncompleteEvent { bytes: rest.len() });
        }
        if let Some(id) = event_ids(&rest).next_back() {
            self.last_id = Some(id);
        }
        Ok((!rest.is_empty()).then_some(rest))
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

/// Returns the values of the `id` fields in whole events, in order.
fn event_ids(events: &[u8]) -> impl DoubleEndedIterator<Item = Box<str>> {
    let lines = events.split(|&byte| matches!(byte, b'\n' | b'\r'));
    let values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let values = values.filter_map(|value| std::str::from_utf8(value).ok());
    values.map(|value| value.trim().into())
}
