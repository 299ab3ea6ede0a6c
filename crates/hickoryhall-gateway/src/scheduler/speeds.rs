//! How fast runners are, as far as samples show.

use std::time::Instant;

use hickoryhall_routing::{
    RunnerStatement, ServiceSpeed, ServiceSums, SpeedConstants, SpeedSample, SpeedSource,
    SpeedStatement,
};
use hickoryhall_types::{Incarnation, TargetId, TokenCount, hash_name};

use super::candidate::millis;
use super::{AttemptId, Scheduler, SchedulerConfig, ServerState};

/// Speed of a runner by which a request is placed.
#[derive(Clone, Copy)]
pub(super) struct RunnerSpeed {
    /// Time to the first event of a fully cached prompt.
    pub first_event_ms: f64,
    /// Time that prefill takes, relative to the constants.
    pub work_factor: f64,
    /// How long work takes at the moment, relative to the runner's usual time.
    pub slowdown: f64,
}

/// Request whose first event is a sample of its runner's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SampledPrompt {
    pub missing_tokens: TokenCount,
    pub input_tokens: TokenCount,
}

/// Departure of a service from the constants, or its return to them.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Name of the service.
    pub service: TargetId,
    /// Whether requests are placed by the learned values from now on.
    pub is_departure: bool,
    /// Learned values.
    pub learned: LearnedSpeed,
}

/// Learned speed of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedSpeed {
    /// Time to the first event of a fully cached prompt, in milliseconds.
    pub first_event_ms: f64,
    /// Prefill rate.
    pub prefill_tokens_per_ms: f64,
    /// Number of samples behind them, each weighted by its age.
    pub samples: f64,
}

/// Returns the speed that holds until samples show another one.
pub(super) fn constants(config: &SchedulerConfig) -> SpeedConstants {
    SpeedConstants {
        prefill_tokens_per_ms: config.prefill_tokens_per_ms,
        attention_ms_per_million_pairs: config.attention_ms_per_million_pairs,
        first_event_ms: millis(config.first_event_latency),
    }
}

impl Scheduler {
    /// Returns the speed of a runner by which requests are placed.
    pub(super) fn runner_speed(&self, now: Instant, state: &ServerState) -> RunnerSpeed {
        if !self.config.learns_speeds {
            return RunnerSpeed {
                first_event_ms: millis(self.config.first_event_latency),
                work_factor: 1.0,
                slowdown: 1.0,
            };
        }
        let service = self.speeds.service(state.service_hash);
        let factor = self.speeds.factor(
            state.service_hash,
            state.name_hash,
            state.server.incarnation,
        );
        RunnerSpeed {
            first_event_ms: service.first_event_ms * factor,
            work_factor: service.work_factor * factor,
            slowdown: state.slowdown(now, self.config.reported_slowdown_ttl),
        }
    }

    /// Returns whether the order by urgency is used for the runners of a service: estimates of what
    /// comes first need learned speeds. Elsewhere requests are taken in the order of their arrival.
    pub(super) fn uses_urgency(&self, service: u64) -> bool {
        self.config.learns_speeds && self.speeds.is_learned(service)
    }

    /// Returns the time that prefill takes at the runners of a service, relative to the constants.
    pub(super) fn service_work_factor(&self, service: u64) -> f64 {
        if self.config.learns_speeds {
            self.speeds.service(service).work_factor
        } else {
            1.0
        }
    }

    /// Records the first event of a request that is a sample of its runner's speed.
    pub(super) fn record_speed(&mut self, now: Instant, attempt_id: AttemptId) {
        let Some(active) = self.active.get_mut(&attempt_id) else {
            return;
        };
        let Some(state) = self.servers.get(active.key) else {
            return;
        };
        if !self.config.learns_speeds || !state.is_current(Some(active.incarnation)) {
            return;
        }
        let took = now.saturating_duration_since(active.placed_at);
        let Some(prompt) = active.sampled_prompt.take() else {
            return;
        };
        let sample = SpeedSample {
            service: state.service_hash,
            runner: state.name_hash,
            process: active.incarnation,
            missing: prompt.missing_tokens,
            input: prompt.input_tokens,
            took,
            slowdown: state.slowdown(now, self.config.reported_slowdown_ttl),
        };
        self.speeds.record(now, &sample);
    }

    /// Records what a peer states about the speed of a process of a runner.
    pub fn merge_runner_speed(
        &mut self,
        now: Instant,
        source: SpeedSource,
        runner: u64,
        incarnation: Option<Incarnation>,
        statement: &SpeedStatement,
    ) {
        let state = self.by_hash.get(&runner).map(|&key| &self.servers[key]);
        if self.config.learns_speeds
            && let Some(incarnation) = incarnation
            && state.is_some_and(|state| state.is_current(Some(incarnation)))
        {
            self.speeds
                .merge_runner(now, source, runner, incarnation, statement);
        }
    }

    /// Records what a peer states about the speed of a service.
    pub fn merge_service_speed(
        &mut self,
        now: Instant,
        source: SpeedSource,
        service: u64,
        sums: &ServiceSums,
    ) {
        if self.config.learns_speeds {
            self.speeds.merge_service(now, source, service, sums);
        }
    }

    /// Returns at most `max` statements about runners for the next digest of this host, and what its
    /// samples say about each service.
    pub fn take_own_speeds(
        &mut self,
        now: Instant,
        max: usize,
    ) -> (Vec<RunnerStatement>, Vec<(u64, ServiceSums)>) {
        let runners = self.speeds.take_own_statements(now, max);
        (runners, self.speeds.own_services(now))
    }

    /// Returns the same for the next digest of this host's group.
    pub fn take_group_speeds(
        &mut self,
        now: Instant,
        max: usize,
    ) -> (Vec<RunnerStatement>, Vec<(u64, ServiceSums)>) {
        let runners = self.speeds.take_group_statements(now, max);
        (runners, self.speeds.group_services(now))
    }

    /// Takes the changes between learned values and constants since the last call.
    pub fn take_speed_changes(&mut self, now: Instant) -> Vec<SpeedChange> {
        self.speeds.refresh(now);
        let changes = self.speeds.take_changes().into_iter();
        let changes = changes.filter_map(|change| {
            Some(SpeedChange {
                service: self.service_by_hash(change.service)?,
                is_departure: change.is_departure,
                learned: self.learned_speed(change.learned, change.samples),
            })
        });
        changes.collect()
    }

    /// Returns the learned speed of each service.
    #[must_use]
    pub fn learned_speeds(&self) -> Vec<(TargetId, LearnedSpeed)> {
        let learned = self.speeds.learned();
        let learned = learned.filter_map(|(service, speed, samples)| {
            let name = self.service_by_hash(service)?;
            Some((name, self.learned_speed(speed, samples)))
        });
        learned.collect()
    }

    fn learned_speed(&self, speed: ServiceSpeed, samples: f64) -> LearnedSpeed {
        LearnedSpeed {
            first_event_ms: speed.first_event_ms,
            prefill_tokens_per_ms: self.config.prefill_tokens_per_ms / speed.work_factor,
            samples,
        }
    }

    fn service_by_hash(&self, service: u64) -> Option<TargetId> {
        let mut services = self.by_service.keys();
        services.find(|name| hash_name(name) == service).cloned()
    }
}
