//! Changes of the table at a store whose answers are lost.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use hickoryhall_clients::StoreClient;
use hickoryhall_entry::{ApplyError, TableChange, TableStore};
use hickoryhall_table::Table;

/// Answer of the store to one write of the table head.
#[derive(Clone, Copy)]
enum HeadWrite {
    /// Another change was stored first.
    Conflict,
    /// The connection ends without an answer.
    NoAnswer,
    /// The store refuses the write.
    Refused,
}

/// Starts a store without values that answers writes of the table head as given, the last one
/// repeatedly.
fn start_store(answers: &'static [HeadWrite]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address binds");
    let address = listener.local_addr().expect("listener has an address");
    let writes = Arc::<AtomicUsize>::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let writes = Arc::clone(&writes);
            thread::spawn(move || while serve(&stream, answers, &writes) {});
        }
    });
    address
}

/// Serves one call; returns whether the connection stays open.
fn serve(mut stream: &TcpStream, answers: &[HeadWrite], writes: &AtomicUsize) -> bool {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return false;
        }
    }
    let lower = head.to_ascii_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .map_or(0, |length| length.trim().parse().expect("a length"));
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return false;
    }
    let response = if head.starts_with("GET ") {
        response("404 Not Found", "{}")
    } else if head.starts_with("PUT /v1/kv/table/head") {
        let index = writes
            .fetch_add(1, Ordering::Relaxed)
            .min(answers.len() - 1);
        match answers[index] {
            HeadWrite::Conflict => response("409 Conflict", r#"{"revision":7}"#),
            HeadWrite::Refused => response("429 Too Many Requests", r#"{"ran":"no"}"#),
            HeadWrite::NoAnswer => return false,
        }
    } else {
        response("200 OK", r#"{"revision":1}"#)
    };
    stream.write_all(response.as_bytes()).is_ok()
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn apply(answers: &'static [HeadWrite]) -> ApplyError {
    let store = TableStore::new(StoreClient::new(start_store(answers)));
    let edited = Table::from_csv("workspace,target,weight\nkaroo,model:m,1\n");
    let change = TableChange {
        id: "c1".to_owned(),
        author: "operator".to_owned(),
        base: Table::default(),
        edited: edited.expect("the sheet is valid"),
        at_s: 1,
    };
    store.apply(&change).expect_err("no write is confirmed")
}

#[test]
fn a_change_that_others_were_always_faster_than_did_not_take_effect() {
    assert!(matches!(
        apply(&[HeadWrite::Conflict]),
        ApplyError::Contended
    ));
}

/// Guards against the answer that a change did not take effect although its last write may have.
#[test]
fn a_change_whose_last_write_got_no_answer_is_in_doubt() {
    assert!(matches!(
        apply(&[HeadWrite::Conflict, HeadWrite::NoAnswer]),
        ApplyError::InDoubt(_)
    ));
}

/// Guards against the same answer where the store refuses the write after the one in doubt.
#[test]
fn a_refusal_after_a_write_in_doubt_leaves_the_change_in_doubt() {
    assert!(matches!(
        apply(&[HeadWrite::NoAnswer, HeadWrite::Refused]),
        ApplyError::InDoubt(_)
    ));
}
