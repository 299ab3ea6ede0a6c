//! Generates open-loop load against running entry hosts and measures the responses.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hickoryhall_http::WorkerPool;
use serde::{Deserialize, Serialize};

use crate::caller::{CallResult, CallerClient, ModelCall, ServiceCall};
use crate::fleet::{MODEL, SERVICE, workspace_key};
use crate::prompt::PromptTexts;
use crate::workload::{Arrival, Profile, Workload};

/// Maximum number of requests in flight; further ones count as not sent.
const MAX_IN_FLIGHT: usize = 2_048;

/// Traffic of a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Shape of the traffic.
    pub profile: Profile,
    /// Rate in requests per second, before the peak of the profile; greater than 0.
    pub requests_per_s: f64,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Time that hosts may take for each request.
    pub deadline: Duration,
    /// Seed of the random traffic; equal seeds give equal traffic.
    pub seed: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the profile.
    pub profile: String,
    /// Seed of the traffic.
    pub seed: u64,
    /// Number of requests that were due, including those in `not_sent`.
    pub sent: u64,
    /// Number of requests that were due but not sent, because too many were in flight.
    pub not_sent: u64,
    /// Number of complete responses of models.
    pub answered: u64,
    /// Number of complete responses of the plain service.
    pub service_answered: u64,
    /// Number of calls that ended with a failed connection or an incomplete response.
    pub broken: u64,
    /// Number of refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Fraction of prompt tokens that runners had cached, from the hosts' metrics.
    pub hit_rate: f64,
    /// Median time to the first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// 99th percentile of the total time of calls of the plain service, in milliseconds.
    pub service_p99_ms: f64,
    /// Id of the last model request that was answered, to look up its decisions with.
    pub sample_request: Option<String>,
    /// Host that answered the request in `sample_request`, which has the record of its decisions.
    pub sample_host: Option<SocketAddr>,
}

struct Recorder {
    report: LoadReport,
    ttft_us: Histogram<u64>,
    service_us: Histogram<u64>,
}

/// Sends traffic to the hosts in turn and returns the results of the run.
///
/// Calls `progress` about once a second with the time since the start and the number of requests
/// so far. The list of hosts is read again for each request, so that it may change during the run.
///
/// # Panics
///
/// Panics if the rate of the plan is not greater than 0.
pub fn run(
    plan: &LoadPlan,
    hosts: &Arc<Mutex<Vec<SocketAddr>>>,
    mut progress: impl FnMut(Duration, u64),
) -> LoadReport {
    assert!(plan.requests_per_s > 0.0, "the rate must be greater than 0");
    let recorder = Arc::new(Mutex::new(Recorder::new(plan)));
    let before = read_token_counts(&lock(hosts));
    let pool = WorkerPool::new("load", MAX_IN_FLIGHT);
    let workload = Workload::new(plan.profile.clone(), plan.requests_per_s, plan.seed);
    let mut texts = PromptTexts::default();
    let started = Instant::now();
    let mut next_second = Duration::from_secs(1);
    for (index, arrival) in workload
        .take_while(|arrival| arrival.at < plan.length)
        .enumerate()
    {
        thread::sleep((started + arrival.at).saturating_duration_since(Instant::now()));
        let host = {
            let hosts = lock(hosts);
            hosts[index % hosts.len()]
        };
        let request = Request::new(plan, host, index, &arrival, &mut texts);
        let shared = Arc::clone(&recorder);
        lock(&recorder).report.sent += 1;
        if pool.run(move || request.run(&shared)).is_err() {
            lock(&recorder).report.not_sent += 1;
        }
        if arrival.at >= next_second {
            next_second += Duration::from_secs(1);
            progress(arrival.at, index as u64 + 1);
        }
    }
    wait_for_responses(&recorder, plan.deadline + Duration::from_secs(5));
    let after = read_token_counts(&lock(hosts));
    let mut recorder = lock(&recorder);
    recorder.finish(before, after)
}

struct Request {
    host: SocketAddr,
    id: String,
    key: String,
    messages: Vec<hickoryhall_clients::Message>,
    max_tokens: u32,
    is_service: bool,
    deadline: Duration,
}

impl Request {
    fn new(
        plan: &LoadPlan,
        host: SocketAddr,
        index: usize,
        arrival: &Arrival,
        texts: &mut PromptTexts,
    ) -> Self {
        let messages = if arrival.is_service {
            Vec::new()
        } else {
            texts.messages(&arrival.levels)
        };
        Self {
            host,
            id: format!("load-{}-{index}", plan.seed),
            key: workspace_key(arrival.workspace),
            messages,
            max_tokens: arrival.output_tokens,
            is_service: arrival.is_service,
            deadline: plan.deadline,
        }
    }

    fn run(&self, recorder: &Mutex<Recorder>) {
        let client = CallerClient::default();
        let result = if self.is_service {
            client.call_service(
                self.host,
                &ServiceCall {
                    key: &self.key,
                    path: &format!("{SERVICE}/coaches"),
                    idempotency_key: Some(&self.id),
                    deadline: self.deadline,
                },
            )
        } else {
            client.call_model(
                self.host,
                &ModelCall {
                    key: &self.key,
                    request_id: &self.id,
                    model: MODEL,
                    messages: &self.messages,
                    max_tokens: self.max_tokens,
                    stream: true,
                    deadline: self.deadline,
                },
            )
        };
        lock(recorder).record(self, &result);
    }
}

impl Recorder {
    fn new(plan: &LoadPlan) -> Self {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
        Self {
            report: LoadReport {
                profile: plan.profile.name.to_owned(),
                seed: plan.seed,
                ..LoadReport::default()
            },
            ttft_us: histogram(),
            service_us: histogram(),
        }
    }

    fn record(&mut self, request: &Request, result: &CallResult) {
        match result {
            CallResult::Complete { total, .. } if request.is_service => {
                self.report.service_answered += 1;
                self.service_us.saturating_record(micros(*total));
            }
            CallResult::Complete { first_token, .. } => {
                self.report.answered += 1;
                self.ttft_us.saturating_record(micros(*first_token));
                self.report.sample_request = Some(request.id.clone());
                self.report.sample_host = Some(request.host);
            }
            CallResult::Refused { refusal, .. } => {
                let code = refusal["code"].as_str().unwrap_or("unreadable").to_owned();
                *self.report.refused.entry(code).or_default() += 1;
            }
            CallResult::Failed { .. } => self.report.broken += 1,
        }
    }

    fn ended_requests(&self) -> u64 {
        let report = &self.report;
        let refused = report.refused.values().sum::<u64>();
        report.answered + report.service_answered + report.broken + report.not_sent + refused
    }

    fn finish(&mut self, before: TokenCounts, after: TokenCounts) -> LoadReport {
        let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        let prompt = after.prompt_tokens - before.prompt_tokens;
        let cached = after.cached_tokens - before.cached_tokens;
        self.report.hit_rate = if prompt > 0.0 { cached / prompt } else { 0.0 };
        self.report.ttft_p50_ms = ms(&self.ttft_us, 0.5);
        self.report.ttft_p95_ms = ms(&self.ttft_us, 0.95);
        self.report.ttft_p99_ms = ms(&self.ttft_us, 0.99);
        self.report.service_p99_ms = ms(&self.service_us, 0.99);
        self.report.clone()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TokenCounts {
    prompt_tokens: f64,
    cached_tokens: f64,
}

/// Sums the counters in the metrics of the hosts.
///
/// Hosts in one process share their metrics, so equal values of several hosts count once.
fn read_token_counts(hosts: &[SocketAddr]) -> TokenCounts {
    let client = CallerClient::default();
    let mut pages = HashMap::new();
    for &host in hosts {
        let Ok(page) = client.get_text(host, "/metrics") else {
            continue;
        };
        let value = |name: &str| {
            let line = page
                .lines()
                .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|value| value.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let counts = TokenCounts {
            prompt_tokens: value("prompt_tokens_total"),
            cached_tokens: value("prompt_tokens_cached_total"),
        };
        pages.insert(
            (
                counts.prompt_tokens.to_bits(),
                counts.cached_tokens.to_bits(),
            ),
            counts,
        );
    }
    pages
        .values()
        .fold(TokenCounts::default(), |sum, counts| TokenCounts {
            prompt_tokens: sum.prompt_tokens + counts.prompt_tokens,
            cached_tokens: sum.cached_tokens + counts.cached_tokens,
        })
}

fn wait_for_responses(recorder: &Mutex<Recorder>, timeout: Duration) {
    let started = Instant::now();
    while started.elapsed() < timeout {
        let recorder = lock(recorder);
        if recorder.ended_requests() >= recorder.report.sent {
            return;
        }
        drop(recorder);
        thread::sleep(Duration::from_millis(20));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}
