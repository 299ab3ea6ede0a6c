//! A stream ends as complete only if its handler finished it.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hickoryhall_http::{EventWriter, Request, ServerLimits, respond_json};
use rstest::rstest;
use support::RunningServer;

fn start(handler: impl Fn(Request) + Send + Sync + 'static) -> RunningServer {
    let limits = ServerLimits {
        write_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    };
    support::start(limits, move |request, _| handler(request))
}

/// Reads a response; returns an error if the connection ends before the response is complete.
fn get(address: SocketAddr) -> Result<String, ureq::Error> {
    let mut response = ureq::get(&format!("http://{address}/")).call()?;
    response.body_mut().read_to_string()
}

#[rstest]
#[case::finished(true, true)]
#[case::dropped(false, false)]
fn a_stream_is_whole_only_where_it_was_finished(#[case] finishes: bool, #[case] is_whole: bool) {
    let server = start(move |request| {
        let mut writer = EventWriter::start(request, &[]).expect("caller is connected");
        writer.send_event("one").expect("caller is connected");
        if finishes {
            writer.finish().expect("caller is connected");
        }
    });
    let answer = get(server.address);
    assert_eq!(answer.is_ok(), is_whole, "{answer:?}");
    if let Ok(text) = answer {
        assert_eq!(text, "data: one\n\n");
    }
}

#[test]
fn a_handler_that_gives_no_answer_closes_the_connection() {
    let server = start(Request::close_connection);
    let answer = get(server.address);
    assert!(answer.is_err(), "{answer:?}");
}

#[test]
fn an_event_leaves_before_the_next_one_is_made() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let server = start(move |request| {
        let mut writer = EventWriter::start(request, &[]).expect("caller is connected");
        writer.send_event("one").expect("caller is connected");
        let released = released.lock().expect("lock is not poisoned");
        // Blocks until the caller has read the first event.
        released.recv().expect("caller has read the first event");
        writer.send_event("two").expect("caller is connected");
        writer.finish().expect("caller is connected");
    });
    let response = ureq::get(&format!("http://{}/", server.address)).call();
    let mut reader = response
        .expect("response head arrives")
        .into_body()
        .into_reader();
    let mut first = [0; 11];
    reader.read_exact(&mut first).expect("first event arrives");
    assert_eq!(&first, b"data: one\n\n");
    release.send(()).expect("handler is waiting");
    let mut rest = String::new();
    reader
        .read_to_string(&mut rest)
        .expect("rest of the stream arrives");
    assert_eq!(rest, "data: two\n\n");
}

#[test]
fn a_caller_that_does_not_read_ends_its_stream() {
    let (ended, seen) = mpsc::channel();
    let server = start(move |request| {
        let mut writer = EventWriter::start(request, &[]).expect("caller is connected");
        let event = "x".repeat(1 << 20);
        while writer.send_event(&event).is_ok() {}
        ended.send(()).expect("test is waiting");
    });
    let mut stream = TcpStream::connect(server.address).expect("server accepts the connection");
    std::io::Write::write_all(&mut stream, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("request is sent");
    seen.recv().expect("stream ends");
    drop(stream);
}

#[test]
fn an_answer_that_was_given_leaves_although_the_server_stops() {
    let (given, seen) = mpsc::channel();
    let server = start(move |request| {
        respond_json(request, 200, &"x".repeat(1 << 20));
        given.send(()).expect("test is waiting");
    });
    let address = server.address;
    let caller = thread::spawn(move || get(address));
    seen.recv().expect("response is sent");
    drop(server);
    let answer = caller.join().expect("caller thread does not panic");
    assert_eq!(answer.expect("response is complete").len(), (1 << 20) + 2);
}
