//! Streams are complete and in order, even if connections break or runners crash.

use hickoryhall_standins::engine::Fault;
use hickoryhall_testsuite::{
    ModelRequest, WAIT_TIMEOUT, has_busy_runner, small_config, small_fleet, start_fleet,
};
use hickoryhall_tools::fleet::{Fleet, FleetConfig};
use rstest::rstest;

fn inject_fault_everywhere(fleet: &Fleet, fault: &Fault) {
    fleet
        .runners
        .iter()
        .for_each(|runner| runner.inject_fault(fault));
}

#[rstest]
#[case::streamed(true)]
#[case::gathered(false)]
fn a_whole_answer_arrives(#[case] stream: bool) {
    let fleet = small_fleet();
    let request = ModelRequest {
        stream,
        ..ModelRequest::new("whole")
    };
    assert_eq!(
        request.send(&fleet, 0).text(),
        Some(request.expected_text().as_str())
    );
}

#[test]
fn the_first_token_arrives_before_the_last_is_made() {
    let fleet = small_fleet();
    let request = ModelRequest {
        tokens: 200,
        ..ModelRequest::new("first token")
    };
    let result = request.send(&fleet, 0);
    let hickoryhall_tools::caller::CallResult::Complete {
        first_token, total, ..
    } = result
    else {
        panic!("{result:?}");
    };
    // The runner generates 200 tokens one after the other. If the host buffered the stream, the
    // first token would arrive together with the last one.
    assert!(first_token < total / 2, "{first_token:?} of {total:?}");
}

#[rstest]
#[case::broken_connection(Fault::BreakStreams { count: 1, after_tokens: 7 })]
#[case::broken_before_the_first_token(Fault::BreakStreams { count: 1, after_tokens: 0 })]
#[case::missing_token(Fault::SkipToken { count: 1 })]
#[case::answer_of_another_request(Fault::WrongId { count: 1 })]
#[case::garbage(Fault::Garbage { count: 1 })]
fn a_spoiled_stream_is_mended(#[case] fault: Fault) {
    // Two runners with one fault each: one fault less than the number of attempts of a request.
    let fleet = start_fleet(FleetConfig {
        runners_per_domain: 1,
        ..small_config()
    });
    inject_fault_everywhere(&fleet, &fault);
    let request = ModelRequest::new("spoiled");
    let result = request.send(&fleet, 0);
    assert_eq!(
        result.text(),
        Some(request.expected_text().as_str()),
        "{result:?}"
    );
}

#[test]
fn an_answer_continues_on_another_runner_after_a_crash() {
    let fleet = small_fleet();
    let request = ModelRequest {
        tokens: 150,
        ..ModelRequest::new("crash")
    };
    let caller = request.spawn(&fleet, 0);
    for runner in fleet.runners.iter().filter(|runner| runner.job_count() > 0) {
        runner.inject_fault(&Fault::Crash { down_ms: 60_000 });
    }
    let result = caller.join().expect("the caller thread panicked");
    assert_eq!(
        result.text(),
        Some(request.expected_text().as_str()),
        "{result:?}"
    );
}

#[test]
fn a_stream_that_cannot_be_completed_ends_in_an_error_event() {
    let fleet = small_fleet();
    let request = ModelRequest {
        tokens: 150,
        ..ModelRequest::new("no runner left")
    };
    let caller = request.spawn(&fleet, 0);
    inject_fault_everywhere(&fleet, &Fault::Crash { down_ms: 60_000 });
    let result = caller.join().expect("the caller thread panicked");
    assert!(result.refusal_field("code").is_some(), "{result:?}");
    assert_ne!(result.refusal_field("ran"), Some("no"), "{result:?}");
}

#[test]
fn a_caller_that_hangs_up_frees_the_runner() {
    use std::io::{Read, Write};
    let fleet = small_fleet();
    let request = ModelRequest {
        tokens: 5_000,
        ..ModelRequest::new("hang up")
    };
    let body = serde_json::json!({
        "model": hickoryhall_tools::fleet::MODEL,
        "messages": request.messages,
        "max_tokens": request.tokens,
        "stream": true,
    })
    .to_string();
    let key = hickoryhall_tools::fleet::workspace_key(0);
    let mut caller = std::net::TcpStream::connect(fleet.address(0)).expect("failed to connect");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller
        .write_all(head.as_bytes())
        .expect("failed to send the request");
    let mut first = [0; 16];
    caller
        .read_exact(&mut first)
        .expect("failed to read the beginning of the response");
    drop(caller);
    fleet
        .wait_until("no runner has a job", WAIT_TIMEOUT, |fleet| {
            !has_busy_runner(fleet)
        })
        .expect("the runner did not cancel the job");
}
