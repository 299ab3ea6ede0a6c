//! Splits a server-sent event stream at the ends of its events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An incomplete event has grown beyond the size of any event that a runner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct OversizeEvent;

/// Buffers chunks of a stream and releases them as whole events.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventFramer {
    /// Creates a framer for a stream that continues after the event with the given id, `None` for a
    /// stream from its start.
    #[must_use]
    pub fn resuming_after(last_id: Option<Box<str>>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Appends a chunk and returns the whole events buffered so far, `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if an event has no end within the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, OversizeEvent> {
        let from = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.buffer, from) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(OversizeEvent);
            }
            return Ok(None);
        };
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the incomplete event, because another runner sends it whole.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the incomplete event that is left at the end of the stream.
    #[must_use]
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.buffer.is_empty()).then(|| self.buffer.split().freeze())
    }

    /// Returns the id of the last whole event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the offset behind the last empty line that ends at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for index in from..bytes.len() {
        if bytes[index] != b'\n' {
            continue;
        }
        let before = &bytes[..index];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            end = Some(index + 1);
        }
    }
    end
}

/// Returns the value of the last `id` field in whole events.
fn last_event_id(events: &[u8]) -> Option<Box<str>> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = std::str::from_utf8(value).ok()?.trim();
    Some(value.into())
}
