//! A stopped server ends when its callers have read their responses.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use hickoryhall_http::{HttpServer, ServerLimits, respond_bytes};

/// More than the socket buffers of both sides hold.
const RESPONSE_BYTES: usize = 16 << 20;
/// Time that the caller reads nothing after the stop.
const CALLER_PAUSE: Duration = Duration::from_millis(800);

/// Guards against the end of the server before a slow caller has read its response.
#[test]
fn a_stop_does_not_cut_off_the_response_of_a_slow_caller() {
    let server = support::start(ServerLimits::default(), |request, _| {
        respond_bytes(request, 200, &[], vec![b'x'; RESPONSE_BYTES]);
    });
    let mut stream = TcpStream::connect(server.address).expect("loopback address connects");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the request is sent");
    let mut response = vec![0];
    stream
        .read_exact(&mut response)
        .expect("the response begins");
    let stop = std::thread::spawn(move || drop(server));
    std::thread::sleep(CALLER_PAUSE);
    // An error is a cut off response, which the length shows.
    let _ = stream.read_to_end(&mut response);
    drop(stream);
    stop.join().expect("the server stops");
    let end_of_head = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let body_bytes = end_of_head.map(|end| response.len() - end - 4);
    assert_eq!(body_bytes, Some(RESPONSE_BYTES));
}

/// Guards against a server that a caller who reads nothing keeps from ending.
#[test]
fn a_later_stop_with_less_time_ends_a_server_and_counts_the_cut_off_response() {
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default())
        .expect("loopback address binds");
    let (address, stop) = (server.address(), server.stop_handle());
    let thread = std::thread::spawn(move || {
        server.run(|request, _| respond_bytes(request, 200, &[], vec![b'x'; RESPONSE_BYTES]))
    });
    let mut stream = TcpStream::connect(address).expect("loopback address connects");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the request is sent");
    stream.read_exact(&mut [0]).expect("the response begins");
    stop.stop(Duration::from_secs(3_600));
    std::thread::sleep(CALLER_PAUSE);
    assert!(!thread.is_finished());
    stop.stop(Duration::ZERO);
    let result = thread.join().expect("the server does not panic");
    result.expect("the event loop starts");
    assert_eq!(stop.cut_off(), 1);
}
