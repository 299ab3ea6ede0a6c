//! Cost model and limits of the scheduler.

use std::time::Duration;

use hickoryhall_routing::CrossingConfig;
use hickoryhall_types::{FailureDomainId, TokenCount};

use super::HostHash;

/// Cost model and limits of the scheduler.
///
/// Costs are durations that add to a server's estimated time to the first event.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Hash of this host's name.
    pub host: HostHash,
    /// Number of servers of a service up to which every one is evaluated for each request.
    pub full_scan_limit: usize,
    /// Failure domain of this host.
    pub domain: FailureDomainId,
    /// Prefill rate of a runner: the engine's data sheet states 38.4, less the share that
    /// concurrent generation takes.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event for a fully cached prompt.
    pub first_event_latency: Duration,
    /// Cost of a server in another failure domain: network latency and cross-domain traffic.
    pub cross_domain_cost: Duration,
    /// Prices of traffic between failure domains. With them, requests that meet their target latency in
    /// this host's domain stay there; `None` for `cross_domain_cost` alone.
    pub crossing: Option<CrossingConfig>,
    /// Additional cost of a server in another failure domain that may be unreachable.
    pub unreachable_domain_cost: Duration,
    /// Cost per rank by which a runner comes after the first owner of a prompt in rendezvous order,
    /// so that requests with a common prefix share a runner. Even the highest such cost is below
    /// the cost of another prefill of one shared level.
    pub owner_rank_cost: Duration,
    /// Length from which a prompt counts as long: its prefill stalls generation on its runner.
    pub long_prompt_tokens: TokenCount,
    /// Fraction of the runners that take the short prompts, so that generation is fast there.
    pub short_prompt_fraction: f64,
    /// Cost of a runner that takes prompts of the other length class.
    pub other_length_cost: Duration,
    /// Number of additional cached tokens from which a transfer is worth its setup time.
    pub min_fetch_tokens: TokenCount,
    /// Time to set up a transfer.
    pub fetch_setup: Duration,
    /// Fraction of the prefill time of evicted prompts that counts as a cost: it is below 1
    /// because other runners may hold the same prompts.
    pub eviction_cost_factor: f64,
    /// Number of shared tokens from which a prompt is saved in a prompt cache store.
    pub min_save_tokens: TokenCount,
    /// Cost of a runner with old weights after the grace period, when its answers are less useful.
    pub old_weights_cost: Duration,
    /// Grace period after a newer desired version in which old weights cost nothing.
    pub old_weights_grace: Duration,
    /// Time after a newer desired version from which old weights take no requests.
    pub old_weights_limit: Duration,
    /// Time after a newer desired version by which a stream on old weights must have begun.
    pub old_weights_end: Duration,
    /// The same time after a version was found in the store that may be older; peers that saw it
    /// being written tell its age much sooner.
    pub unknown_age_limit: Duration,
    /// Attention time per million token pairs; each token attends to all tokens before it.
    pub attention_ms_per_million_pairs: f64,
    /// Queued work at a runner up to which a request that will miss its target latency goes there.
    /// A late request must not delay requests that can still meet theirs.
    pub late_queue_limit: Duration,
    /// The same limit for a prompt whose own work exceeds its target latency, so that such prompts
    /// are served at all.
    pub late_long_queue_limit: Duration,
    /// Queued work at a runner up to which a stream goes on there that no other software version can
    /// take: below the pause after which callers leave.
    pub bound_queue_limit: Duration,
    /// Cost of the only server with its software version for a stream that may be resumed, because it
    /// could go on nowhere else.
    pub lone_version_cost: Duration,
    /// Margin between estimate and target latency that a request needs to count as on time.
    pub slack: Duration,
    /// Fraction of the target latency for which a request may be queued.
    pub wait_fraction: f64,
    /// The same fraction for a model request, whose answer stays useful for longer.
    pub model_wait_fraction: f64,
    /// Whether requests are placed by the learned speed of runners where samples show that it differs
    /// from the values here.
    pub learns_speeds: bool,
    /// Time for which a runner's statement is used of how long work takes at the moment. Runners are
    /// slow for some 600 ms at a time, so that on average half of that is left.
    pub reported_slowdown_ttl: Duration,
    /// Time for which a load reported by a server is used.
    pub reported_load_ttl: Duration,
    /// Fraction of a runner's cache memory that the private levels and answers of placed requests
    /// may take.
    pub memory_fraction: f64,
    /// Number of concurrent requests per slot that a plain server may be given.
    pub plain_requests_per_slot: f64,
}

impl SchedulerConfig {
    /// Creates the default configuration for a host in a failure domain.
    #[must_use]
    pub fn new(host: HostHash, domain: FailureDomainId) -> Self {
        Self {
            host,
            full_scan_limit: 16,
            domain,
            prefill_tokens_per_ms: 32.0,
            first_event_latency: Duration::from_millis(25),
            cross_domain_cost: Duration::from_millis(4),
            crossing: None,
            unreachable_domain_cost: Duration::from_millis(100),
            owner_rank_cost: Duration::from_micros(4_500),
            long_prompt_tokens: 3_000,
            short_prompt_fraction: 0.34,
            other_length_cost: Duration::from_millis(20),
            min_fetch_tokens: 128,
            fetch_setup: Duration::from_millis(3),
            eviction_cost_factor: 0.4,
            min_save_tokens: 1_000,
            old_weights_cost: Duration::from_millis(120),
            old_weights_grace: Duration::from_millis(1_300),
            old_weights_limit: Duration::from_millis(7_000),
            old_weights_end: Duration::from_millis(7_600),
            unknown_age_limit: Duration::from_millis(2_000),
            attention_ms_per_million_pairs: 0.65,
            late_queue_limit: Duration::from_millis(60),
            late_long_queue_limit: Duration::from_millis(200),
            bound_queue_limit: Duration::from_millis(1_000),
            lone_version_cost: Duration::from_millis(60),
            slack: Duration::from_millis(30),
            wait_fraction: 0.6,
            model_wait_fraction: 0.25,
            learns_speeds: true,
            reported_slowdown_ttl: Duration::from_millis(300),
            reported_load_ttl: Duration::from_millis(150),
            memory_fraction: 0.95,
            plain_requests_per_slot: 2.0,
        }
    }
}
