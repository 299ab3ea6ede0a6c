//! Tests the splitting of streams into whole events.

use hickoryhall_gateway::events::{EventFramer, IncompleteEvent, InvalidEvent};
use proptest::prelude::*;
use rstest::rstest;

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
    assert!(framer.is_inside_event());
    framer.drop_partial();
    assert_eq!(framer.finish(), Ok(None));
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

/// What is left at the end of a stream is no part of an event.
#[rstest]
#[case::empty("", Some(""))]
#[case::comment(": ping\n", Some(": ping\n"))]
#[case::empty_lines("\n\r\n", Some(""))]
#[case::field("id: 3\n", None)]
#[case::field_after_comment(": ping\ndata: x\n", None)]
#[case::part_of_a_line("da", None)]
#[case::part_of_a_comment(": pi", None)]
#[case::half_of_a_line_end("id: 3\r\n\r", None)]
fn a_stream_ends_inside_an_event_unless_its_last_line_is_empty(
    #[case] rest: &str,
    #[case] left: Option<&str>,
) {
    let mut framer = EventFramer::default();
    let text = format!("id: 2\ndata: a\n\n{rest}");
    framer.push(text.as_bytes()).expect("small");
    let end = framer.finish();
    match left {
        Some(left) => assert_eq!(end, Ok((!left.is_empty()).then(|| left.to_owned().into()))),
        None => assert!(matches!(end, Err(IncompleteEvent { bytes }) if bytes == rest.len())),
    }
    assert_eq!(framer.last_id(), Some("2"));
}

#[test]
fn lines_may_end_with_a_carriage_return_alone() {
    let mut framer = EventFramer::default();
    let events = framer.push(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r");
    let events = events.expect("small").expect("a whole event");
    assert_eq!(events, &b"id: 1\rdata: a\r\r"[..]);
    let rest = framer.finish().expect("a whole event");
    assert_eq!(rest.as_deref(), Some(&b"id: 2\rdata: b\r\r"[..]));
    assert_eq!(framer.last_id(), Some("2"));
}

proptest! {
    /// A stream that ends at any byte is complete only behind an event, in whatever pieces it came.
    #[test]
    fn a_stream_is_complete_only_behind_an_event(
        at in 0_usize..400,
        cut in 1_usize..40,
        crlf in any::<bool>(),
    ) {
        let newline = if crlf { "\r\n" } else { "\n" };
        let text = stream(12, newline);
        let part = &text[..at.min(text.len())];
        let mut framer = EventFramer::default();
        for chunk in part.as_bytes().chunks(cut) {
            framer.push(chunk).expect("small");
        }
        let is_whole = part.is_empty() || part.ends_with(&format!("{newline}{newline}"));
        prop_assert_eq!(framer.finish().is_ok(), is_whole);
    }


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
        prop_assert_eq!(framer.finish(), Ok(None));
    }
}

/// Pushes a stream and returns what is passed on, and what is wrong with the rest.
fn read(mut framer: EventFramer, text: &str) -> (String, Option<InvalidEvent>) {
    let mut passed = Vec::new();
    for chunk in text.as_bytes().chunks(7) {
        match framer.push(chunk) {
            Ok(events) => passed.extend(events.unwrap_or_default()),
            Err(error) => return (text_of(passed), Some(error)),
        }
    }
    let error = framer.error();
    (text_of(passed), error)
}

fn text_of(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("events are text")
}

#[rstest]
#[case::response("HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n", InvalidEvent::NoField)]
#[case::header("id: 3\nContent-Type: text/plain\n\n", InvalidEvent::NoField)]
#[case::json("{\"error\":\"overloaded\"}\n\n", InvalidEvent::NoField)]
#[case::text("upstream failed\n\n", InvalidEvent::NoField)]
#[case::word("overloaded\n\n", InvalidEvent::NoField)]
#[case::no_name(" : x\n\n", InvalidEvent::NoField)]
#[case::same_id("id: 2\ndata: b\n\n", InvalidEvent::IdOrder)]
#[case::lower_id("id: 1\ndata: b\n\n", InvalidEvent::IdOrder)]
#[case::lower_id_of_two("id: 3\nid: 1\ndata: b\n\n", InvalidEvent::IdOrder)]
fn what_is_no_event_of_the_stream_is_not_passed_on(
    #[case] text: &str,
    #[case] error: InvalidEvent,
) {
    let begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let (passed, found) = read(EventFramer::default(), &format!("{begun}{text}id: 9\n\n"));
    assert_eq!((&*passed, found), (begun, Some(error)));
    let framer = EventFramer::resuming_after(Some("2".into()));
    assert_eq!(read(framer, text), (String::new(), Some(error)));
}

#[rstest]
#[case::no_id("data: x\n\n", Some(InvalidEvent::NoId))]
#[case::empty_id("id:\ndata: x\n\n", Some(InvalidEvent::NoId))]
#[case::next("id: 3\ndata: x\n\n", None)]
#[case::later("id: 40\ndata: x\n\n", None)]
#[case::longer_number("id: 10\ndata: x\n\n", None)]
#[case::comment_before(": ping\n\nid: 3\ndata: x\n\n", None)]
#[case::other_fields("weight-versions: 4\nid: 3\nevent: token\nretry: 20\ndata\n\n", None)]
#[case::without_id_behind("id: 3\ndata: x\n\ndata: [DONE]\n\n", None)]
#[case::id_of_another_form("id: e-3\ndata: x\n\n", None)]
fn the_first_event_of_a_continuation_follows_the_last_one_before(
    #[case] text: &str,
    #[case] error: Option<InvalidEvent>,
) {
    let framer = EventFramer::resuming_after(Some("2".into()));
    let passed = if error.is_none() { text } else { "" };
    assert_eq!(read(framer, text), (passed.to_owned(), error));
}

#[test]
fn a_stream_from_its_start_needs_no_ids() {
    let text = "data: a\n\ndata: b\n\n";
    assert_eq!(read(EventFramer::default(), text), (text.to_owned(), None));
}
