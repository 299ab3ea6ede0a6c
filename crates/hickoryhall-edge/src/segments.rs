//! Body of a request to a server, held in segments.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::server_stream::RequestProgress;

/// Complete body in one or more segments; joining them would need twice the memory. Clones share the
/// bytes.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: VecDeque<Bytes>,
    /// Progress of the request that the body is sent with.
    progress: Option<Rc<RequestProgress>>,
}

impl SegmentedBody {
    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// Records in `progress` when the HTTP library has taken over the body.
    pub(crate) fn track(&mut self, progress: Rc<RequestProgress>) {
        self.progress = Some(progress);
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
            progress: None,
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
        if self.segments.is_empty()
            && let Some(progress) = &self.progress
        {
            progress.set_body_taken();
        }
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length() as u64)
    }
}
