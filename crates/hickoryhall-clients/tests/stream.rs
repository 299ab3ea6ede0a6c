//! Answer streams whose connection ends early.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use hickoryhall_clients::{ClientErrorKind, Message, PromptRequest, RunnerClient, StreamError};
use rstest::rstest;

const EVENT: &str = r#"data: {"id":"r1","attempt_id":7,"incarnation":1,"token_index":0,"cached_tokens":0,"choices":[{"delta":{"content":"a"},"finish_reason":null}]}"#;

/// Starts a runner that sends `body` to its first caller and closes the connection.
fn start_runner(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address binds");
    let address = listener.local_addr().expect("listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("the request arrives");
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        stream
            .write_all((head.to_owned() + &body).as_bytes())
            .expect("the caller reads");
    });
    address
}

/// Guards against a stream that is given up as malformed, and not resumed, because its connection
/// ended in the middle of a line.
#[rstest]
#[case::after_an_event("\n\n")]
#[case::in_a_line("\n\nda")]
#[case::in_the_data("\n\ndata: {\"id\":\"r1\",\"att")]
fn a_stream_that_ends_early_has_broken_off(#[case] rest: &str) {
    let runner = start_runner(format!("{EVENT}{rest}"));
    let messages = [Message {
        role: "user".to_owned(),
        content: "question".to_owned(),
    }];
    let request = PromptRequest {
        request_id: "r1",
        attempt_id: 7,
        traceparent: "",
        model: "m",
        messages: &messages,
        partial: None,
        max_tokens: 4,
        cache_salt: "",
        priority: 0,
        weights_version: 1,
    };
    let mut stream = RunnerClient::default()
        .open(runner, &request, Duration::from_secs(10))
        .expect("the stream opens");
    stream.next_event().expect("the first event is whole");
    let error = stream.next_event().expect_err("the stream ends early");
    assert!(
        matches!(
            error.kind,
            ClientErrorKind::Stream(StreamError::UnexpectedEnd { after: 1 })
        ),
        "{error}"
    );
}
