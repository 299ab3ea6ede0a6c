//! Headers between hosts are read as they were written, and what a peer may pass on is told apart.

use std::time::Duration;

use hickoryhall_gateway::forwarding::{
    ForwardOutcome, ForwardedRequest, ReachedServer, StreamSoftware, remove_headers,
};
use hickoryhall_gateway::interface::LocalFailure;
use hickoryhall_types::Ran;
use http::HeaderMap;
use hyper::{Response, StatusCode};
use rstest::rstest;

fn failure(reason: &'static str, ran: Ran) -> Response<()> {
    let failure = LocalFailure {
        status: StatusCode::SERVICE_UNAVAILABLE,
        ran,
        retry_after: None,
        reason,
    };
    let mut response = Response::new(());
    response.extensions_mut().insert(failure);
    response
}

#[rstest]
#[case::plain(ForwardedRequest {
    elapsed: Duration::from_millis(12),
    ..ForwardedRequest::default()
})]
#[case::full(ForwardedRequest {
    elapsed: Duration::from_secs(3),
    possible_runs: 2,
    excluded: vec!["s-1".into(), "s-2".into()],
    software: Some(u64::MAX),
    resume_after: Some("17".into()),
})]
fn a_forwarded_request_is_read_as_it_was_written(#[case] request: ForwardedRequest) {
    let mut headers = HeaderMap::new();
    headers.insert("hickoryhall-excluded", "forged".parse().expect("a value"));
    request.set_headers(&mut headers).expect("valid headers");
    assert_eq!(ForwardedRequest::try_from(&headers), Ok(request));
    remove_headers(&mut headers);
    assert!(headers.is_empty());
}

#[rstest]
#[case::nothing(&[])]
#[case::no_runs(&[("hickoryhall-elapsed-ms", "1")])]
#[case::negative(&[("hickoryhall-elapsed-ms", "-1"), ("hickoryhall-possible-runs", "0")])]
#[case::unreadable_runs(&[("hickoryhall-elapsed-ms", "1"), ("hickoryhall-possible-runs", "x")])]
fn a_head_without_valid_headers_is_no_forwarded_request(#[case] values: &[(&'static str, &str)]) {
    let mut headers = HeaderMap::new();
    for (name, value) in values {
        headers.insert(*name, value.parse().expect("a value"));
    }
    assert!(ForwardedRequest::try_from(&headers).is_err());
}

/// Without the id, the peer would begin the stream anew.
#[test]
fn a_stream_whose_event_id_is_no_header_is_not_forwarded() {
    let request = ForwardedRequest {
        resume_after: Some("1\n2".into()),
        ..ForwardedRequest::default()
    };
    assert!(request.set_headers(&mut HeaderMap::new()).is_err());
}

#[rstest]
#[case::no_server(&failure("no_server", Ran::No), ForwardOutcome::Unreached)]
#[case::other_table(&failure("unknown_key", Ran::No), ForwardOutcome::Unreached)]
#[case::full(&failure("full", Ran::No), ForwardOutcome::Failed { ran: Ran::No })]
#[case::ran(&failure("no_server", Ran::Unknown), ForwardOutcome::Failed { ran: Ran::Unknown })]
#[case::served(&Response::new(()), ForwardOutcome::Served { software: None })]
fn the_outcome_of_a_response_is_read_as_it_was_written(
    #[case] response: &Response<()>,
    #[case] outcome: ForwardOutcome,
) {
    assert_eq!(ForwardOutcome::of(response), outcome);
    let mut headers = HeaderMap::new();
    outcome.set_headers(&mut headers);
    assert_eq!(ForwardOutcome::try_from(&headers), Ok(outcome));
}

/// Servers that refuse a request must not get it again from each peer.
#[test]
fn a_request_that_reached_servers_is_not_offered_to_other_peers() {
    let mut response = failure("no_server", Ran::No);
    response.extensions_mut().insert(ReachedServer);
    let failed = ForwardOutcome::Failed { ran: Ran::No };
    assert_eq!(ForwardOutcome::of(&response), failed);
}

#[test]
fn the_software_of_a_stream_is_passed_on() {
    let mut response = Response::new(());
    response
        .extensions_mut()
        .insert(StreamSoftware("v7".into()));
    let mut headers = HeaderMap::new();
    ForwardOutcome::of(&response).set_headers(&mut headers);
    let software = Some("v7".into());
    let served = ForwardOutcome::Served { software };
    assert_eq!(ForwardOutcome::try_from(&headers), Ok(served));
}

/// Guards against taking what is no response of a host for one.
#[test]
fn a_response_without_an_outcome_is_none_of_a_peer() {
    assert!(ForwardOutcome::try_from(&HeaderMap::new()).is_err());
}
