//! Events of a stream, cut at their ends.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are held back at most.
const EVENT_LIMIT: usize = 1 << 20;

/// An event is larger than any that a runner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {EVENT_LIMIT} bytes")]
pub struct OversizeEvent;

/// Holds pieces of a stream back until the events in them are whole.
#[derive(Debug, Default)]
pub struct EventFramer {
    held: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventFramer {
    /// Creates a framer of a stream that goes on after an event.
    #[must_use]
    pub fn after(last_id: Option<Box<str>>) -> Self {
        Self {
            held: BytesMut::new(),
            last_id,
        }
    }

    /// Takes a piece and returns the whole events that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error where an event has no end within the limit.
    pub fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, OversizeEvent> {
        let from = self.held.len().saturating_sub(3);
        self.held.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.held, from) else {
            if self.held.len() > EVENT_LIMIT {
                return Err(OversizeEvent);
            }
            return Ok(None);
        };
        let whole = self.held.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Tells whether a part of an event is held back.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that is held back, as another runner sends it whole.
    pub fn drop_partial(&mut self) {
        self.held.clear();
    }

    /// Returns what is held back at the end of the stream.
    #[must_use]
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.held.is_empty()).then(|| self.held.split().freeze())
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the place after the last empty line that ends at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for place in from..bytes.len() {
        if bytes[place] != b'\n' {
            continue;
        }
        let before = &bytes[..place];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            end = Some(place + 1);
        }
    }
    end
}

fn last_event_id(events: &[u8]) -> Option<Box<str>> {
    let mut lines = events.split(|&byte| byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let value = std::str::from_utf8(value).ok()?.trim();
    Some(value.into())
}
