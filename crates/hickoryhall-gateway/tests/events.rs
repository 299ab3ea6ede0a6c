//! Tests the splitting of streams into whole events.

use hickoryhall_gateway::events::EventFramer;
use proptest::prelude::*;

fn stream(count: u32, newline: &str) -> String {
    let event = |id| format!("id: {id}{newline}data: piece {id}{newline}{newline}");
    (1..=count).map(event).collect()
}

#[test]
fn a_partial_event_is_held_back() {
    let mut framer = EventFramer::default();
    let events = framer.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("small");
    assert_eq!(events.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(framer.last_id(), Some("1"));
    assert!(framer.has_partial());
    framer.drop_partial();
    assert_eq!(framer.finish(), None);
}

#[test]
fn a_resumed_stream_starts_after_the_event_that_the_caller_has() {
    let framer = EventFramer::resuming_after(Some("7".into()));
    assert_eq!(framer.last_id(), Some("7"));
}

#[test]
fn an_event_without_an_end_is_an_error() {
    let mut framer = EventFramer::default();
    let chunk = vec![b'x'; 600 << 10];
    assert!(framer.push(&chunk).is_ok());
    assert!(framer.push(&chunk).is_err());
}

proptest! {
    /// However a stream is split into chunks, all of it is passed on in order, and each part passed
    /// on ends at the end of an event.
    #[test]
    fn every_byte_goes_on_in_whole_events(
        cuts in prop::collection::vec(1_usize..40, 1..60),
        crlf in any::<bool>(),
    ) {
        let newline = if crlf { "\r\n" } else { "\n" };
        let text = stream(12, newline);
        let mut framer = EventFramer::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.into_iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            if let Some(events) = framer.push(chunk).expect("small") {
                let end = format!("{newline}{newline}");
                prop_assert!(events.ends_with(end.as_bytes()));
                passed.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(passed, text.as_bytes());
        prop_assert_eq!(framer.last_id(), Some("12"));
        prop_assert!(!framer.has_partial());
    }
}
