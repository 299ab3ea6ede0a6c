//! Bodies are read up to a limit, and large ones into a budget.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hickoryhall_edge::{BodyReader, ReadBodyError};
use hyper::body::{Body, Frame, SizeHint};
use tokio::runtime::Builder;

const LIMIT_BYTES: usize = 1 << 20;
/// Number of times that each of several reads is polled: more than they have pieces.
const MAX_ROUNDS: usize = 1_000;

/// A body in equal pieces, which may state a size.
struct Pieces {
    left: usize,
    piece_bytes: usize,
    stated_bytes: Option<u64>,
    /// Whether the end of the body does not arrive yet.
    is_stalled: Rc<Cell<bool>>,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 && self.is_stalled.get() {
            return Poll::Pending;
        }
        let Some(left) = self.left.checked_sub(1) else {
            return Poll::Ready(None);
        };
        self.left = left;
        let piece = vec![b'x'; self.piece_bytes];
        Poll::Ready(Some(Ok(Frame::data(piece.into()))))
    }

    fn size_hint(&self) -> SizeHint {
        self.stated_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn pieces(left: usize, piece_bytes: usize) -> Pieces {
    Pieces {
        left,
        piece_bytes,
        stated_bytes: None,
        is_stalled: Rc::default(),
    }
}

/// Reads a body and returns its size; `None` if it is too large.
async fn size(reader: &BodyReader, body: impl Body<Data = Bytes> + Unpin) -> Option<usize> {
    match reader.read(body).await {
        Ok(bytes) => Some(bytes.len()),
        Err(ReadBodyError::TooLarge { .. }) => None,
        Err(ReadBodyError::Incomplete(_)) => panic!("the body is complete"),
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime starts").block_on(future)
}

#[test]
fn bodies_are_read_up_to_the_limit() {
    let reader = BodyReader::new(LIMIT_BYTES, LIMIT_BYTES);
    block_on(async {
        assert_eq!(size(&reader, pieces(0, 1)).await, Some(0));
        assert_eq!(size(&reader, pieces(16, 65_536)).await, Some(LIMIT_BYTES));
        assert_eq!(size(&reader, pieces(17, 65_536)).await, None);
        assert_eq!(size(&reader, pieces(usize::MAX, 65_536)).await, None);
        // The share of a body that was too large is free again.
        assert_eq!(size(&reader, pieces(16, 65_536)).await, Some(LIMIT_BYTES));
    });
}

#[test]
fn a_body_that_states_too_large_a_size_is_not_read() {
    let reader = BodyReader::new(LIMIT_BYTES, LIMIT_BYTES);
    let body = Pieces {
        stated_bytes: Some(LIMIT_BYTES as u64 + 1),
        ..pieces(0, 1)
    };
    assert_eq!(block_on(size(&reader, body)), None);
}

/// Guards against seconds of work for a body without end in pieces of a byte.
#[test]
fn a_body_in_too_many_pieces_is_too_large() {
    let reader = BodyReader::new(LIMIT_BYTES, LIMIT_BYTES);
    assert_eq!(block_on(size(&reader, pieces(16_384, 1))), Some(16_384));
    assert_eq!(block_on(size(&reader, pieces(16_385, 1))), None);
}

#[test]
fn a_small_body_is_read_while_a_large_one_is() {
    let reader = BodyReader::new(LIMIT_BYTES, LIMIT_BYTES);
    let is_stalled = Rc::new(Cell::new(true));
    let stalled = Pieces {
        is_stalled: Rc::clone(&is_stalled),
        ..pieces(5, 65_536)
    };
    block_on(async {
        let mut large = Box::pin(size(&reader, stalled));
        let mut second = Box::pin(size(&reader, pieces(16, 65_536)));
        let waker = std::task::Waker::noop();
        let mut context = Context::from_waker(waker);
        assert!(large.as_mut().poll(&mut context).is_pending());
        assert!(second.as_mut().poll(&mut context).is_pending());
        assert_eq!(size(&reader, pieces(4, 65_536)).await, Some(4 * 65_536));
        is_stalled.set(false);
        assert_eq!(large.await, Some(5 * 65_536));
        assert_eq!(second.await, Some(LIMIT_BYTES));
    });
}

/// Guards against complete bodies that wait for stalled ones until their deadline.
#[test]
fn stalled_large_bodies_do_not_block_others() {
    let reader = BodyReader::new(LIMIT_BYTES, 3 * LIMIT_BYTES);
    let is_stalled = Rc::new(Cell::new(true));
    block_on(async {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let mut stalled = Vec::new();
        for _ in 0..3 {
            let body = Pieces {
                is_stalled: Rc::clone(&is_stalled),
                ..pieces(5, 65_536)
            };
            let mut read = Box::pin(size(&reader, body));
            assert!(read.as_mut().poll(&mut context).is_pending());
            stalled.push(read);
        }
        let mut other = Box::pin(size(&reader, pieces(5, 65_536)));
        let read = other.as_mut().poll(&mut context);
        assert_eq!(read, Poll::Ready(Some(5 * 65_536)));
    });
}

/// Guards against bodies that were read but not yet sent and fill the memory.
#[test]
fn a_large_body_holds_its_room_until_its_last_clone_is_dropped() {
    let reader = BodyReader::new(LIMIT_BYTES, LIMIT_BYTES);
    block_on(async {
        let Ok(first) = reader.read(pieces(16, 65_536)).await else {
            panic!("the first body is read");
        };
        let rest = first.slice(LIMIT_BYTES - 1..);
        let mut second = Box::pin(size(&reader, pieces(16, 65_536)));
        let mut context = Context::from_waker(std::task::Waker::noop());
        drop(first);
        assert!(second.as_mut().poll(&mut context).is_pending());
        drop(rest);
        assert_eq!(second.await, Some(LIMIT_BYTES));
    });
}

/// Guards against bodies that are each read in part and wait for each other.
#[test]
fn bodies_that_exceed_the_budget_together_are_all_read() {
    let reader = BodyReader::new(LIMIT_BYTES, 2 * LIMIT_BYTES);
    let is_stalled = Rc::new(Cell::new(true));
    block_on(async {
        let mut context = Context::from_waker(std::task::Waker::noop());
        let mut reads = Vec::new();
        for _ in 0..8 {
            let body = Pieces {
                is_stalled: Rc::clone(&is_stalled),
                ..pieces(16, 65_536)
            };
            let mut read = Box::pin(size(&reader, body));
            assert!(read.as_mut().poll(&mut context).is_pending());
            reads.push(read);
        }
        is_stalled.set(false);
        let mut sizes = Vec::new();
        for _ in 0..MAX_ROUNDS {
            reads.retain_mut(|read| match read.as_mut().poll(&mut context) {
                Poll::Ready(size) => {
                    sizes.push(size);
                    false
                }
                Poll::Pending => true,
            });
        }
        assert_eq!(sizes, [Some(LIMIT_BYTES); 8]);
    });
}
