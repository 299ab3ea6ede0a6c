//! Complete, non-streamed responses.

use bytes::Bytes;
use hickoryhall_edge::ResponseBody;
use hyper::Response;
use hyper::header::{HeaderName, HeaderValue};
use serde::Serialize;

use crate::Request;

/// Sends a response with a JSON body. A caller that has disconnected is not an error.
///
/// # Panics
///
/// Panics if the body contains a map with keys that are not strings, or fails to serialize.
pub fn respond_json<T: Serialize + ?Sized>(request: Request, status: u16, body: &T) {
    let bytes = serde_json::to_vec(body).expect("response body serializes to JSON");
    respond_bytes(
        request,
        status,
        &[("Content-Type", "application/json")],
        bytes,
    );
}

/// Sends a response with the given headers and body; headers that are not valid in HTTP are left
/// out. A caller that has disconnected is not an error.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status code.
pub fn respond_bytes(request: Request, status: u16, headers: &[(&str, &str)], bytes: Vec<u8>) {
    let body = ResponseBody::full(Bytes::from(bytes));
    // The caller may have disconnected, and then nobody can receive the response.
    let _ = request
        .response_sender
        .send(build_response(status, headers, body));
}

/// Builds a response; headers that are not valid in HTTP are left out.
pub(crate) fn build_response(
    status: u16,
    headers: &[(&str, &str)],
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status.try_into().expect("valid HTTP status code");
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
