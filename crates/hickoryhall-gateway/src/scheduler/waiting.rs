//! How long a request waits that no server can take now, and what its caller is told if it is
//! refused.

use std::time::{Duration, Instant};

use super::search::Search;
use super::{PlacementRefusal, PlacementRequest, RefusalReason, Scheduler};

/// Bounds of the retry delay that a refusal suggests.
pub(super) const RETRY_AFTER: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(2);
/// Suggested retry delay when no server takes work: roughly the time to load new weights.
const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(500);
/// Time that must remain before the deadline at the end of a pause for a request to wait for it.
const MIN_TIME_AFTER_PAUSE: Duration = Duration::from_millis(50);
/// Time after the end of a pause within which a request that waited for it is placed or refused.
const PLACEMENT_TIME_AFTER_PAUSE: Duration = Duration::from_millis(100);

/// Why a request has to wait, and for how long.
pub(super) struct Wait {
    /// Refusal for the caller if the wait is over or of no use.
    pub refusal: PlacementRefusal,
    /// End of the wait; `None` for the usual one.
    pub until: Option<Instant>,
}

impl From<PlacementRefusal> for Wait {
    fn from(refusal: PlacementRefusal) -> Self {
        Self {
            refusal,
            until: None,
        }
    }
}

impl Scheduler {
    /// Returns the usual end of a request's wait, a fraction of its target latency.
    pub(super) fn wait_until(&self, request: &PlacementRequest) -> Instant {
        let fraction = if request.prompt.is_some() {
            self.config.model_wait_fraction
        } else {
            self.config.wait_fraction
        };
        let wait_end = request.arrived_at + request.target_latency.mul_f64(fraction);
        wait_end.min(request.deadline)
    }

    /// Returns how long a request waits that no server can take. Where servers asked for a pause, it
    /// waits for the first end of one, or not at all if its deadline comes before.
    pub(super) fn wait_without_server(
        &self,
        now: Instant,
        request: &PlacementRequest,
        search: &Search,
    ) -> Wait {
        let reason = search.refusal_reason();
        let known_end = match reason {
            RefusalReason::Paused => search.pause_end,
            RefusalReason::Limited => search.limit_end,
            _ => search.excluded_pause_end,
        };
        let known_end = known_end.filter(|_| !search.has_unavailable);
        let retry_after = match (reason, known_end) {
            (RefusalReason::Full, _) => *RETRY_AFTER.start(),
            (_, Some(end)) => end.saturating_duration_since(now).max(*RETRY_AFTER.start()),
            (_, None) => RETRY_AFTER_NO_SERVER,
        };
        Wait {
            refusal: PlacementRefusal {
                reason,
                retry_after,
            },
            until: match reason {
                RefusalReason::Paused => self.pause_wait_until(now, request, search),
                RefusalReason::Limited => self.limit_wait_until(now, request, search),
                RefusalReason::VersionGone => Some(now),
                _ => None,
            },
        }
    }

    /// Returns the end of the wait for a server that names a limit; `None` for the usual one. A request
    /// that this host cannot send within its wait is refused at once.
    fn limit_wait_until(
        &self,
        now: Instant,
        request: &PlacementRequest,
        search: &Search,
    ) -> Option<Instant> {
        let may_wait = search.has_unavailable
            || search
                .limit_end
                .is_some_and(|end| end <= self.wait_until(request));
        (!may_wait).then_some(now)
    }

    /// Returns the end of the wait for a server that asked for a pause; `None` for the usual one.
    fn pause_wait_until(
        &self,
        now: Instant,
        request: &PlacementRequest,
        search: &Search,
    ) -> Option<Instant> {
        let end = search.pause_end?;
        if end + MIN_TIME_AFTER_PAUSE <= request.deadline {
            return Some(
                self.wait_until(request)
                    .max(end + PLACEMENT_TIME_AFTER_PAUSE),
            );
        }
        (!search.has_unavailable).then_some(now)
    }
}
