//! Whole responses.

use std::io::Cursor;

use serde::Serialize;
use tiny_http::{Header, Request, Response, StatusCode};

/// Answers with a JSON body; a caller that is gone is no error.
pub fn respond_json<T: Serialize + ?Sized>(request: Request, status: u16, body: &T) {
    let bytes = serde_json::to_vec(body).expect("response bodies have string keys");
    respond_bytes(
        request,
        status,
        &[("Content-Type", "application/json")],
        bytes,
    );
}

/// Answers with these headers and bytes; a caller that is gone is no error.
pub fn respond_bytes(request: Request, status: u16, headers: &[(&str, &str)], bytes: Vec<u8>) {
    let headers = headers
        .iter()
        .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
        .collect();
    let length = bytes.len();
    let response = Response::new(
        StatusCode(status),
        headers,
        Cursor::new(bytes),
        Some(length),
        None,
    );
    // The caller may have hung up; there is nobody left to tell.
    let _ = request.respond(response);
}
