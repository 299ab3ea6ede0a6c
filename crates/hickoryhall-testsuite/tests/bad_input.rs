//! Malformed requests are refused with a specific error and do not affect other requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::LazyLock;

use hickoryhall_testsuite::{ModelRequest, small_config, start_fleet};
use hickoryhall_tools::fleet::{Fleet, MODEL, workspace_key};
use rstest::rstest;

static FLEET: LazyLock<Fleet> = LazyLock::new(|| start_fleet(small_config()));

/// Sends a complete request and returns the status line and body of the response.
fn raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("failed to connect");
    stream
        .write_all(request)
        .expect("failed to send the request");
    read_answer(stream)
}

/// Sends a truncated request, closes the write side of the connection and returns the status line
/// and body of the response. A caller that does so gets a response only if its request is invalid.
fn raw_part(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("failed to connect");
    stream
        .write_all(request)
        .expect("failed to send the request");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("failed to close the write side");
    read_answer(stream)
}

fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .expect("failed to read the response");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    format!("{}\n{body}", head.lines().next().unwrap_or_default())
}

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
         Content-Length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn authorized() -> String {
    format!(
        "Authorization: Bearer {}\r\nX-Request-Id: fixed\r\n",
        workspace_key(0)
    )
}

fn prompt(model: &str, extra: &str) -> Vec<u8> {
    let message = r#"{"role":"user","content":"hello"}"#;
    format!(r#"{{"model":"{model}","messages":[{message}]{extra}}}"#).into_bytes()
}

#[rstest]
#[case::no_key("no_key", post("", &prompt(MODEL, "")))]
#[case::wrong_key("wrong_key", post("Authorization: Bearer nonsense\r\n", &prompt(MODEL, "")))]
#[case::unknown_model("unknown_model", post(&authorized(), &prompt("other", "")))]
#[case::invalid_json("invalid_json", post(&authorized(), b"{\"model\": "))]
#[case::invalid_utf8("invalid_utf8", post(&authorized(), b"{\"model\": \"\xff\"}"))]
#[case::empty_prompt("empty_prompt", post(&authorized(), b"{\"model\": \"planner\"}"))]
#[case::no_tokens("no_tokens", post(&authorized(), &prompt(MODEL, ",\"max_tokens\":0")))]
#[case::duplicate_header(
    "duplicate_header",
    post(&format!("{}X-Request-Id: other\r\n", authorized()), &prompt(MODEL, ""))
)]
#[case::bad_deadline(
    "bad_deadline",
    post(&format!("{}X-Deadline-Ms: soon\r\n", authorized()), &prompt(MODEL, ""))
)]
#[case::oversized_header(
    "oversized_header",
    post(&format!("{}X-Long: {}\r\n", authorized(), "x".repeat(20_000)), &prompt(MODEL, ""))
)]
#[case::oversized_body("oversized_body", post(&authorized(), &vec![b' '; (4 << 20) + 1]))]
fn a_bad_request_is_refused(#[case] name: &str, #[case] request: Vec<u8>) {
    let answer = raw(FLEET.address(0), &request);
    insta::assert_snapshot!(format!("bad_input__{name}"), answer);
    let valid_request = ModelRequest {
        tokens: 2,
        ..ModelRequest::new(name)
    };
    assert_eq!(
        valid_request.send(&FLEET, 0).text(),
        Some(valid_request.expected_text().as_str())
    );
}

#[test]
fn a_truncated_body_is_refused() {
    let mut request = post(&authorized(), &prompt(MODEL, ""));
    request.truncate(request.len() - 5);
    insta::assert_snapshot!(raw_part(FLEET.address(0), &request));
}

#[rstest]
#[case::missing("missing", None)]
#[case::overlong("overlong", Some("k".repeat(300)))]
fn a_booking_needs_a_usable_key(#[case] name: &str, #[case] key: Option<String>) {
    let key = key
        .map(|key| format!("Idempotency-Key: {key}\r\n"))
        .unwrap_or_default();
    let request = format!(
        "POST /svc/booking/coaches HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}{key}\
         Content-Length: 2\r\n\r\n{{}}",
        authorized()
    );
    let answer = raw(FLEET.address(0), request.as_bytes());
    insta::assert_snapshot!(format!("booking_key__{name}"), answer);
}
