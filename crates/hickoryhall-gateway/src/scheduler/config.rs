//! Settings of the scheduler.

use std::time::Duration;

use hickoryhall_types::{FailureDomainId, TokenCount};

use super::HostHash;

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Hash of this host's name.
    pub host: HostHash,
    /// Servers up to which all of them are considered for each request.
    pub all_considered: usize,
    /// Failure domain of this host.
    pub domain: FailureDomainId,
    /// Rate at which a runner reads prompts, in tokens per millisecond; the engines' sheet says
    /// 38.4, less what generation takes beside it.
    pub prefill_tokens_per_ms: f64,
    /// Time until the first event of a prompt that is cached in full.
    pub first_event: Duration,
    /// Cost of a server in another failure domain: its way, and the bytes between the domains.
    pub cross_domain: Duration,
    /// Cost of a server in a failure domain that may be cut off.
    pub doubt: Duration,
    /// Cost of each place by which a runner stands behind the first owner of a prompt, so that its
    /// parts gather there; less for all places than reading one part again takes.
    pub owner_place: Duration,
    /// Tokens of a prompt from which it counts as long: it holds up what its runner generates.
    pub long_prompt_tokens: TokenCount,
    /// Part of the runners that take the short prompts, where generation then runs fast.
    pub short_part: f64,
    /// Cost of a runner of the other part.
    pub other_part: Duration,
    /// Tokens that another runner must hold more of for a transfer to be worth its set-up.
    pub fetch_tokens: TokenCount,
    /// Time to set a transfer up.
    pub fetch_setup: Duration,
    /// Part of the time to read displaced prompts again that counts, as others may hold them.
    pub displaced_part: f64,
    /// Shared tokens from which a prompt is worth a place in the store of cached prompts.
    pub save_tokens: TokenCount,
    /// Cost of old weights, once an answer on them is of less use.
    pub old_weights: Duration,
    /// Age of newer weights from which an answer on old ones is of less use.
    pub old_weights_free: Duration,
    /// Age of newer weights from which old ones take no requests.
    pub old_weights_limit: Duration,
    /// Time to relate each token to each one before it, per million pairs.
    pub pairs_ms_per_m: f64,
    /// Work ahead at a runner up to which a request goes there although it will be late: late work
    /// must not delay what can still be on time.
    pub late_work: Duration,
    /// The same for a prompt that takes longer to read than its answer may, so that long prompts
    /// are served at all.
    pub long_late_work: Duration,
    /// Slack of an estimate that must be left for a request to count as on time.
    pub slack: Duration,
    /// Part of the time in which an answer is of full use that a request may wait here.
    pub wait_part: f64,
    /// The same for a model request, whose answer is of use for longer.
    pub prompt_wait_part: f64,
    /// Time for which the load that a server told counts.
    pub told_ttl: Duration,
    /// Part of a runner's memory that placed requests may take.
    pub memory_part: f64,
    /// Requests sent to a plain server for each of its slots.
    pub plain_fill: f64,
}

impl SchedulerConfig {
    /// Creates settings for a host of a failure domain.
    #[must_use]
    pub fn new(host: HostHash, domain: FailureDomainId) -> Self {
        Self {
            host,
            all_considered: 16,
            domain,
            prefill_tokens_per_ms: 32.0,
            first_event: Duration::from_millis(25),
            cross_domain: Duration::from_millis(4),
            doubt: Duration::from_millis(100),
            owner_place: Duration::from_micros(4_500),
            long_prompt_tokens: 3_000,
            short_part: 0.34,
            other_part: Duration::from_millis(20),
            fetch_tokens: 128,
            fetch_setup: Duration::from_millis(3),
            displaced_part: 0.4,
            save_tokens: 1_000,
            old_weights: Duration::from_millis(120),
            old_weights_free: Duration::from_millis(1_300),
            old_weights_limit: Duration::from_millis(7_000),
            pairs_ms_per_m: 0.65,
            late_work: Duration::from_millis(60),
            long_late_work: Duration::from_millis(200),
            slack: Duration::from_millis(30),
            wait_part: 0.6,
            prompt_wait_part: 0.25,
            told_ttl: Duration::from_millis(150),
            memory_part: 0.95,
            plain_fill: 2.0,
        }
    }
}
