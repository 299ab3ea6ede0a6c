//! Tests how the end of a response body is recognized.

use hickoryhall_gateway::framing::BodyFraming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

#[rstest]
#[case::length(&[("content-length", "5")], BodyFraming::Length)]
#[case::chunks(&[("transfer-encoding", "chunked")], BodyFraming::Chunks)]
#[case::chunks_last(&[("transfer-encoding", "gzip, Chunked")], BodyFraming::Chunks)]
#[case::two_headers(&[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")], BodyFraming::Chunks)]
#[case::chunks_before_a_length(&[("content-length", "5"), ("transfer-encoding", "chunked")], BodyFraming::Chunks)]
#[case::another_coding(&[("transfer-encoding", "gzip")], BodyFraming::Connection)]
#[case::neither(&[("content-type", "text/plain")], BodyFraming::Connection)]
fn the_framing_is_what_the_headers_state(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] framing: BodyFraming,
) {
    let headers = headers.iter().map(|&(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(name, value);
    }
    assert_eq!(BodyFraming::of(&map), framing);
}
