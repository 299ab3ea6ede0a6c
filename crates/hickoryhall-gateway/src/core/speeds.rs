//! Logs and metrics about the learned speed of runners.

use std::time::Instant;

use hickoryhall_types::TargetId;
use metrics::gauge;
use slog::info;

use super::Core;
use crate::scheduler::LearnedSpeed;

impl Core {
    /// Logs the services that are placed by learned values from now on, or by the constants again.
    pub(super) fn review_speeds(&mut self, now: Instant) {
        for change in self.scheduler.take_speed_changes(now) {
            let message = if change.is_departure {
                "core: Runners of a service are faster or slower than configured; learned values are used."
            } else {
                "core: Runners of a service are about as fast as configured; configured values are used."
            };
            info!(
                self.logger, "{}", message;
                "service" => &*change.service,
                "first_event_ms" => change.learned.first_event_ms.round(),
                "prefill_tokens_per_ms" => (change.learned.prefill_tokens_per_ms * 10.0).round() / 10.0,
                "samples" => change.learned.samples.round()
            );
        }
    }

    /// Returns the learned speed of each service, also where the configured values are used.
    #[must_use]
    pub fn learned_speeds(&self) -> Vec<(TargetId, LearnedSpeed)> {
        self.scheduler.learned_speeds()
    }

    /// Sets the metrics of the learned speed of each service.
    pub fn set_speed_metrics(&self) {
        for (service, speed) in self.scheduler.learned_speeds() {
            gauge!("learned_prefill_tokens_per_ms", "service" => service.to_string())
                .set(speed.prefill_tokens_per_ms);
            gauge!("learned_first_event_ms", "service" => service.to_string())
                .set(speed.first_event_ms);
        }
    }
}
