//! Streamed chunks that wait for slow callers take a bounded amount of memory.

use std::time::Duration;

use bytes::Bytes;
use hickoryhall_edge::{BodySender, ResponseBody, StreamRoom};
use http_body_util::BodyExt;
use tokio::runtime::Builder;
use tokio::time::timeout;

const CHUNK: Bytes = Bytes::from_static(b"data");

/// Runs a future to its end.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(test)
}

/// Returns whether a chunk can be sent without a wait for the caller.
async fn sends(sender: &BodySender) -> bool {
    let sent = timeout(Duration::from_millis(20), sender.send(CHUNK)).await;
    sent == Ok(true)
}

/// Guards against slow callers whose unread events fill the memory.
#[test]
fn waiting_chunks_of_all_streams_share_the_room() {
    run(async {
        let room = StreamRoom::new(2 * CHUNK.len());
        let (first, mut first_body) = ResponseBody::stream(&room);
        let (second, _second_body) = ResponseBody::stream(&room);
        for _ in 0..3 {
            assert!(sends(&first).await);
        }
        assert_eq!(room.used_bytes(), 2 * CHUNK.len());
        assert!(!sends(&first).await);
        // Guards against a stream that waits for the callers of others.
        assert!(sends(&second).await);
        assert!(!sends(&second).await);
        for _ in 0..2 {
            first_body.frame().await.expect("a chunk").expect("whole");
        }
        assert!(sends(&second).await);
    });
}

/// Guards against a stream that stops although its caller reads, while other callers hold the room.
#[test]
fn a_stream_goes_on_without_room_once_its_caller_has_read_everything() {
    run(async {
        let room = StreamRoom::new(CHUNK.len());
        let (slow, _slow_body) = ResponseBody::stream(&room);
        assert!(sends(&slow).await);
        assert!(sends(&slow).await);
        let (sender, mut body) = ResponseBody::stream(&room);
        assert!(sends(&sender).await);
        let (sent, _) = tokio::join!(sender.send(CHUNK), body.frame());
        assert!(sent);
    });
}

/// Guards against room that is lost with the stream of a caller that leaves, and against a sender that waits
/// for it.
#[test]
fn a_caller_that_leaves_frees_its_room() {
    run(async {
        let room = StreamRoom::new(CHUNK.len());
        let (sender, body) = ResponseBody::stream(&room);
        assert!(sends(&sender).await);
        assert!(sends(&sender).await);
        drop(body);
        assert_eq!(room.used_bytes(), 0);
        assert!(!sender.send(CHUNK).await);
    });
}
