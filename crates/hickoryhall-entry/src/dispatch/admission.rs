//! Admission: checks the limits of a request's table row before the request is placed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_limits::{
    ConcurrencyLimiter, FleetShape, HostLimit, LimitKey, TakeOutcome, UnitGrant,
};
use hickoryhall_table::AccessPolicy;
use hickoryhall_types::{Refusal, RefusalCode, Step, TokenCount, hash_name};
use hickoryhall_wire::GrantRequest;

/// Retry delay that a caller is told when the limit on concurrent requests is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest number of limits for which grants are requested in one round.
const MAX_GRANT_REQUESTS: usize = 16;

/// Request for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Workspace that sent the request.
    pub workspace: String,
    /// Target of the request, as named in the table.
    pub target: String,
    /// Limits of the workspace's row for the target.
    pub policy: AccessPolicy,
    /// Upper bound of the tokens of prompt and answer.
    pub tokens: TokenCount,
}

/// Permit of an admitted request, to be passed to [`Admission::release`] when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    concurrency: LimitKey,
}

/// State of the limits of all rows at this host.
#[derive(Clone, Debug)]
pub struct Admission {
    fleet_shape: FleetShape,
    concurrency: ConcurrencyLimiter,
    /// Rate limits of the rows, in units per second for the whole fleet, with this host's state.
    limits: HashMap<LimitKey, (u32, HostLimit)>,
}

impl Admission {
    /// Creates an admission without state; each limit is shared by a fleet of size `fleet_shape`.
    #[must_use]
    pub fn new(fleet_shape: FleetShape) -> Self {
        Self {
            fleet_shape,
            concurrency: ConcurrencyLimiter::default(),
            limits: HashMap::new(),
        }
    }

    /// Admits a request and counts it against the limits of its row.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the limit that is reached and the time after which to retry.
    pub fn admit(&mut self, now: Instant, request: &AdmissionRequest) -> Result<Permit, Refusal> {
        let key = |column: &str| limit_key(&request.workspace, &request.target, column);
        let requests = (key("requests_per_s"), request.policy.requests_per_s, 1);
        let tokens = (
            key("tokens_per_s"),
            request.policy.tokens_per_s,
            request.tokens,
        );
        let concurrency = key("concurrent");
        if !self
            .concurrency
            .acquire(concurrency, request.policy.concurrent, self.fleet_shape)
        {
            return Err(refusal(request, "concurrent", CONCURRENCY_RETRY_AFTER));
        }
        for (column, (key, limit, units)) in
            [("requests_per_s", requests), ("tokens_per_s", tokens)]
        {
            let Some(limit) = limit else { continue };
            if let TakeOutcome::Refused { retry_after } =
                self.limit(now, key, limit).take(now, units)
            {
                self.concurrency.release(concurrency);
                return Err(refusal(request, column, retry_after));
            }
        }
        Ok(Permit { concurrency })
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, permit: Permit) {
        self.concurrency.release(permit.concurrency);
    }

    /// Returns the grant requests that are due, to be sent to the hosts that keep the failure
    /// domain's buckets.
    pub fn due_grant_requests(&mut self, now: Instant) -> Vec<GrantRequest> {
        let requests = self
            .limits
            .iter_mut()
            .filter_map(|(&bucket, (limit, state))| {
                let units = state.units_to_request(now);
                (units > 0).then_some(GrantRequest {
                    bucket,
                    units,
                    limit: *limit,
                })
            });
        requests.take(MAX_GRANT_REQUESTS).collect()
    }

    /// Adds granted units to a limit.
    pub fn add_grant(&mut self, now: Instant, bucket: LimitKey, grant: UnitGrant) {
        if let Some((_, limit)) = self.limits.get_mut(&bucket) {
            limit.add_grant(now, grant);
        }
    }

    /// Returns the state of a limit; creates it at first use and resizes it if the row has changed.
    fn limit(&mut self, now: Instant, key: LimitKey, limit: u32) -> &mut HostLimit {
        let shape = self.fleet_shape;
        let entry = self
            .limits
            .entry(key)
            .or_insert_with(|| (limit, HostLimit::new(now, limit, shape)));
        if entry.0 != limit {
            *entry = (limit, entry.1);
            entry.1.resize(now, limit, shape);
        }
        &mut entry.1
    }
}

/// Returns the key of a limit, which is the same on every host.
#[must_use]
pub fn limit_key(workspace: &str, target: &str, column: &str) -> LimitKey {
    hash_name(&format!("{workspace}\n{target}\n{column}"))
}

fn refusal(request: &AdmissionRequest, column: &str, retry_after: Duration) -> Refusal {
    let AdmissionRequest {
        workspace, target, ..
    } = request;
    let message = format!("{column} of {workspace} for {target} is reached");
    Refusal::new(RefusalCode::LimitReached, Step::Admission, message)
        .retry_after(retry_after.clamp(Duration::from_millis(100), Duration::from_secs(60)))
}
