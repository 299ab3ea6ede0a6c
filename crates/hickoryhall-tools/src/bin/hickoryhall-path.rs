//! Measures the latency that an entry host adds to a call of a runner.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hickoryhall_clients::{Message, PromptRequest, RunnerClient, StreamEvent};
use hickoryhall_standins::engine::EngineConfig;
use hickoryhall_tools::caller::{CallResult, CallerClient, ModelCall, ServiceCall};
use hickoryhall_tools::fleet::{Fleet, FleetConfig, MODEL, SERVICE, workspace_key};

/// Number of calls of each kind.
const CALLS_PER_KIND: usize = 400;
/// Length of the prompt in bytes.
const PROMPT_BYTES: usize = 64_000;
const DEADLINE: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    let config = FleetConfig {
        domains: 1,
        hosts_per_domain: 2,
        runners_per_domain: 2,
        services_per_domain: 1,
        workspaces: 1,
        // Engines that take almost no time, so that the hosts' latency dominates.
        engine: EngineConfig {
            cache_tokens: 1_000_000_000,
            prefill_tokens_per_s: 1_000_000_000,
            decode_interval: Duration::from_micros(1),
            max_batch: 64,
        },
        ..FleetConfig::default()
    };
    let fleet = match Fleet::start(config) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let messages = vec![Message {
        role: "user".to_owned(),
        content: "x".repeat(PROMPT_BYTES),
    }];
    let mut direct = histogram();
    let mut streamed = histogram();
    let mut buffered = histogram();
    let mut service = histogram();
    for call in 0..CALLS_PER_KIND {
        // Interleaves the kinds of calls, so that the load of the machine affects all alike.
        record(&mut direct, || direct_call(&fleet, &messages, call));
        record(&mut streamed, || routed_call(&fleet, &messages, call, true));
        record(&mut buffered, || {
            routed_call(&fleet, &messages, call, false)
        });
        record(&mut service, || service_call(&fleet, call));
    }
    println!("| call | p50 ms | p99 ms | p50 / direct | p50 - direct ms |\n|---|---|---|---|---|");
    let direct_p50_ms = direct.value_at_quantile(0.5) as f64 / 1_000.0;
    for (name, histogram) in [
        ("runner, called directly", &direct),
        ("model through a host, streamed", &streamed),
        ("model through a host, gathered", &buffered),
        ("call that may not be repeated", &service),
    ] {
        let (p50, p99) = (
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
        );
        let (p50, p99) = (p50 as f64 / 1_000.0, p99 as f64 / 1_000.0);
        println!(
            "| {name} | {p50:.2} | {p99:.2} | {:.2} | {:.2} |",
            p50 / direct_p50_ms,
            p50 - direct_p50_ms
        );
    }
    ExitCode::SUCCESS
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// Records the duration of a call in microseconds if the call succeeds.
fn record(histogram: &mut Histogram<u64>, call: impl FnOnce() -> bool) {
    let started = Instant::now();
    if call() {
        histogram.saturating_record(started.elapsed().as_micros() as u64);
    } else {
        eprintln!("a call failed and is not counted");
    }
}

fn direct_call(fleet: &Fleet, messages: &[Message], call: usize) -> bool {
    let request_id = format!("direct-{call}");
    let prompt = PromptRequest {
        request_id: &request_id,
        attempt_id: 1,
        traceparent: "",
        model: MODEL,
        messages,
        partial: None,
        max_tokens: 1,
        cache_salt: "direct",
        priority: 10,
        weights_version: 1,
    };
    let runner = fleet.runners[call % 2].address();
    let Ok(mut stream) = RunnerClient::default().open(runner, &prompt, DEADLINE) else {
        return false;
    };
    std::iter::from_fn(|| stream.next_event().ok()).any(|event| event == StreamEvent::Done)
}

fn routed_call(fleet: &Fleet, messages: &[Message], call: usize, stream: bool) -> bool {
    let result = CallerClient::default().call_model(
        fleet.address(call % 2),
        &ModelCall {
            key: &workspace_key(0),
            request_id: &format!("routed-{call}-{stream}"),
            model: MODEL,
            messages,
            max_tokens: 1,
            stream,
            deadline: DEADLINE,
        },
    );
    matches!(result, CallResult::Complete { .. })
}

fn service_call(fleet: &Fleet, call: usize) -> bool {
    let result = CallerClient::default().call_service(
        fleet.address(call % 2),
        &ServiceCall {
            key: &workspace_key(0),
            path: &format!("{SERVICE}/coaches"),
            idempotency_key: Some(&format!("path-{call}")),
            deadline: DEADLINE,
        },
    );
    matches!(result, CallResult::Complete { .. })
}
