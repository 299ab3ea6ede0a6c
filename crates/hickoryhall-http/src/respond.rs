//! Whole responses.

use bytes::Bytes;
use hickoryhall_edge::AnswerBody;
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};
use serde::Serialize;

use crate::Request;

/// Answers with a JSON body; a caller that is gone is no error.
///
/// # Panics
///
/// Panics where the body has keys that are no strings.
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
///
/// # Panics
///
/// Panics where the status is none of HTTP's.
pub fn respond_bytes(request: Request, status: u16, headers: &[(&str, &str)], bytes: Vec<u8>) {
    let body = AnswerBody::full(Bytes::from(bytes));
    // The caller may have hung up; there is nobody left to tell.
    let _ = request.answer.send(response(status, headers, body));
}

/// Builds a response; a header that HTTP does not allow is left out.
pub(crate) fn response(
    status: u16,
    headers: &[(&str, &str)],
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status.try_into().expect("a status of HTTP");
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
