//! Answers of plain services whose connection ends early.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use hickoryhall_clients::{ServiceCall, ServiceClient};
use hickoryhall_types::Ran;
use rstest::rstest;

/// Guards against an answer that is broken off and taken for a complete one.
#[rstest]
#[case::length("Content-Length: 9\r\n\r\nwhole", false)]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false)]
#[case::part_of_a_chunk("Transfer-Encoding: chunked\r\n\r\n9\r\nwhole", false)]
// Such an answer ends with its connection.
#[case::connection("\r\nwhole", true)]
fn an_answer_that_ends_early_is_not_complete(#[case] rest: &str, #[case] is_complete: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address binds");
    let address = listener.local_addr().expect("listener has an address");
    let text = format!("HTTP/1.1 200 OK\r\n{rest}");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            let mut bytes = [0; 4_096];
            let count = stream.read(&mut bytes).expect("the request arrives");
            request.extend_from_slice(&bytes[..count]);
        }
        stream.write_all(text.as_bytes()).expect("the caller reads");
    });
    let call = ServiceCall {
        path: "/book".to_owned(),
        request_id: "r1".to_owned(),
        attempt_id: 1,
        idempotency_key: None,
        traceparent: String::new(),
        body: "{}".into(),
    };
    let result = ServiceClient::default().call(address, &call, Duration::from_secs(10));
    server.join().expect("the server does not panic");
    match result {
        Ok(response) => {
            assert!(is_complete, "{response:?}");
            assert_eq!(&*response.body, b"whole");
        }
        Err(error) => {
            assert!(!is_complete, "{error}");
            assert_eq!(error.ran(), Ran::Unknown);
        }
    }
}
