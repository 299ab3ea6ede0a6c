//! Body of a request to a server, held in segments.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Complete body in one or more segments; joining them would need twice the memory. Clones share the
/// bytes.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: VecDeque<Bytes>,
}

impl SegmentedBody {
    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// Returns the size of the body in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        Self::from_iter([bytes])
    }
}

impl FromIterator<Bytes> for SegmentedBody {
    fn from_iter<I: IntoIterator<Item = Bytes>>(segments: I) -> Self {
        let segments = segments.into_iter();
        Self {
            segments: segments.filter(|segment| !segment.is_empty()).collect(),
        }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length() as u64)
    }
}
