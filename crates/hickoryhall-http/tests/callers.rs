//! Callers that send slowly, send too much or disconnect are handled without blocking others.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hickoryhall_http::{
    BodyError, ServerLimits, WorkerPool, WorkerUnavailable, read_body, respond_json,
};
use support::RunningServer;

/// Starts a server with short time limits that responds with the length of each body; `before_read`
/// runs before the body is read.
fn start(before_read: impl Fn(&hickoryhall_http::Caller) + Send + Sync + 'static) -> RunningServer {
    let limits = ServerLimits {
        workers: 4,
        idle_timeout: Duration::from_millis(500),
        body_timeout: Duration::from_millis(500),
        ..ServerLimits::default()
    };
    support::start(limits, move |mut request, caller| {
        before_read(&caller);
        match read_body(&mut request, 1_000) {
            Ok(body) => respond_json(request, 200, &body.len()),
            Err(error) => respond_json(request, 400, &error.to_string()),
        }
    })
}

/// Sends bytes and reads until the server closes the connection.
fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("server accepts the connection");
    stream.write_all(bytes).expect("request is sent");
    let mut answer = String::new();
    // The server may also end the connection with a reset.
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn a_connection_that_sends_no_whole_head_is_ended() {
    let server = start(|_| {});
    // `send` returns only when the server closes the connection.
    let answer = send(server.address, b"POST / HTTP/1.1\r\nHost: x\r\n");
    assert!(!answer.contains("200"), "{answer}");
    let after = send(
        server.address,
        b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    );
    assert!(after.ends_with('2'), "{after}");
}

#[test]
fn a_body_that_does_not_arrive_is_ended() {
    let server = start(|_| {});
    let answer = send(
        server.address,
        b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\npart",
    );
    assert!(!answer.contains("200 OK"), "{answer}");
}

#[test]
fn a_body_above_the_limit_is_refused() {
    let server = start(|_| {});
    let head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1001\r\n\r\n";
    let answer = send(server.address, &[head.as_bytes(), &[b' '; 1_001]].concat());
    let expected = BodyError::TooLarge { limit_bytes: 1_000 }.to_string();
    assert!(answer.contains(&expected), "{answer}");
}

#[test]
fn a_caller_that_hangs_up_is_noticed_while_nothing_is_written() {
    let is_noticed = Arc::new(AtomicBool::new(false));
    let noticed = Arc::clone(&is_noticed);
    let server = start(move |caller| {
        // Writes nothing, like a request that waits for its first token.
        while !caller.is_disconnected() {
            std::thread::yield_now();
        }
        noticed.store(true, Ordering::SeqCst);
    });
    let mut stream = TcpStream::connect(server.address).expect("server accepts the connection");
    stream
        .write_all(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        .expect("request is sent");
    drop(stream);
    while !is_noticed.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
}

#[test]
fn a_full_pool_refuses_and_frees_its_places() {
    let pool = WorkerPool::new("test", 1);
    let (release, wait) = crossbeam_channel::bounded::<()>(0);
    let first = move || {
        // Returns an error when `release` is dropped.
        let _ = wait.recv();
    };
    pool.run(first).expect("first worker starts");
    assert!(matches!(pool.run(|| {}), Err(WorkerUnavailable::Limit(1))));
    drop(release);
    while pool.run(|| {}).is_err() {
        std::thread::yield_now();
    }
}
