//! Changes the weights of runners: drains each one, sends the order and tracks it to completion.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hickoryhall_control::{DesiredVersions, HeldLease, OrderPlanner, PlannedOrder, RunnerStatus};
use hickoryhall_types::{FencingNumber, Incarnation, TargetId, WeightsVersion, hash_name};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{CALL_TIMEOUT, MAX_CHANGE_TIME, OrderTask, REPEAT_AFTER};
use crate::interface::{
    ControlError, OrderOutcome, Platform, RunnerReport, SwitchMode, WeightsOrder,
};
use crate::registry::{BackendServer, ServerId};
use crate::scheduler::{HostLoad, ReportedState, RunnerView};

/// Time between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two report requests to a runner that is changing its weights.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time by which the content of a report may be older than the request for it.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Timeout of an order; a runner answers before it carries the order out.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which peers learn that a runner is about to change its weights, and this host learns
/// their load on it.
const UPDATE_PROPAGATION: Duration = Duration::from_millis(130);
/// Longest time that a runner is drained before its order: the duration of the longest responses
/// that cannot be resumed at another runner.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1_300);
/// Fraction of the retry budget that must be left to break off streams, which then resume at other
/// runners, rather than wait for them.
const MIN_BUDGET_TO_TRUNCATE: f64 = 0.25;
/// Fraction of a runner's requests at the start of draining up to which the rest may go on under new
/// weights: what they generate from then on is worth less, but a runner that waits for the last of
/// them serves nothing else meanwhile.
const MAX_KEPT_FRACTION: f64 = 0.5;
/// Fraction of the runners that change their weights at the same time: more than can load at full
/// speed, because a part of the time goes into draining them.
const MAX_CHANGING_FRACTION: f64 = 0.45;
/// The same fraction while the runners are busy: as many as can load at full speed.
const MAX_CHANGING_FRACTION_BUSY: f64 = 0.22;
/// Mean pending prefill time per runner, in milliseconds, above which the runners count as busy.
const BUSY_PENDING_MS: f64 = 60.0;

impl<P: Platform> OrderTask<P> {
    /// Plans and carries out weight changes until the host stops and all runners that are being
    /// drained have their orders.
    pub(super) async fn issue_orders(&self, planner: &RefCell<OrderPlanner>) {
        let mut changes = HashMap::<ServerId, WeightChange>::new();
        let mut stopping_since = None;
        loop {
            sleep(PLAN_INTERVAL).await;
            let desired_versions = self.desired_versions();
            let runners = self.core.with(|core, now| core.runners(now));
            // Concurrently, because each step may wait for its runner.
            let steps = runners.iter().filter_map(|runner| {
                let change = changes.remove(&runner.server.id)?;
                Some(async move { (runner, self.advance(runner, change, planner).await) })
            });
            let steps = steps.collect::<Vec<_>>();
            for (id, _) in changes.drain() {
                info!(self.logger, "orders: Weight change given up, its runner is gone."; "server" => &*id);
                self.announce(&id, false);
            }
            for (runner, change) in join_all(steps).await {
                if let Some(change) = change {
                    changes.insert(runner.server.id.clone(), change);
                }
            }
            if self.is_stopping() {
                stopping_since.get_or_insert_with(|| self.clock.now());
            }
            if let Some(since) = stopping_since
                && !self.goes_on(since, &planner.borrow(), &desired_versions)
            {
                if changes.values().any(WeightChange::is_draining) {
                    continue;
                }
                return;
            }

            let runners = self.core.with(|core, now| core.runners(now));
            planner
                .borrow_mut()
                .set_max_concurrent_loads(max_concurrent_changes(&runners));
            let planned = planner.borrow_mut().plan(
                self.clock.now(),
                &desired_versions,
                &runner_statuses(&runners, &desired_versions),
                || true,
            );
            for order in planned {
                let runner = runners
                    .iter()
                    .find(|runner| runner.server.id == order.runner);
                if let Some(change) = runner.and_then(|runner| self.start_draining(runner, &order))
                {
                    changes.insert(order.runner, change);
                }
            }
        }
    }

    /// Returns whether a holder that stops since a moment begins further weight changes: some runner needs one,
    /// and there is time left in which it may give orders.
    fn goes_on(&self, since: Instant, planner: &OrderPlanner, desired: &DesiredVersions) -> bool {
        let end = since + self.config.stop_time;
        let may_order = |lease: HeldLease| lease.acquired_at + planner.handover_wait() < end;
        let runners = self.core.with(|core, now| core.runners(now));
        let is_behind = |runner: &RunnerStatus| {
            let wanted = desired.get(&runner.model);
            runner.is_available && wanted.is_some_and(|&wanted| runner.weights < wanted)
        };
        let now = self.clock.now();
        now < end
            && planner.lease(now).is_some_and(may_order)
            && runner_statuses(&runners, desired).iter().any(is_behind)
    }

    fn desired_versions(&self) -> DesiredVersions {
        let desired_versions = self.core.with(|core, _| core.desired_versions());
        desired_versions.into_iter().collect()
    }

    /// Announces that a runner is about to change its weights, so that hosts send it no new work;
    /// `None` if the runner has no model.
    fn start_draining(&self, runner: &RunnerView, order: &PlannedOrder) -> Option<WeightChange> {
        let (model, _) = runner.server.models.first()?;
        self.announce(&runner.server.id, true);
        Some(WeightChange {
            model: model.clone(),
            incarnation: runner.server.incarnation,
            version: order.weights,
            fencing: order.fencing,
            started_at: Instant::now(),
            requests_at_start: runner.load.requests,
            stage: Stage::Draining,
        })
    }

    /// Carries out the next step of a weight change; `None` if the change has ended.
    async fn advance(
        &self,
        runner: &RunnerView,
        change: WeightChange,
        planner: &RefCell<OrderPlanner>,
    ) -> Option<WeightChange> {
        if runner.server.incarnation != change.incarnation {
            return self.give_up_after_restart(runner, &change, planner);
        }
        match change.stage {
            Stage::Draining if !change.is_drained(runner) => Some(change),
            Stage::Draining => self.issue_order(runner, change, planner).await,
            Stage::Ordered(order) if Instant::now() < order.next_report => Some(change),
            Stage::Ordered(order) => self.check_progress(runner, change, order, planner).await,
        }
    }

    /// Ends a weight change at a runner that started again, so that it is planned anew: the order
    /// went to the process before.
    fn give_up_after_restart(
        &self,
        runner: &RunnerView,
        change: &WeightChange,
        planner: &RefCell<OrderPlanner>,
    ) -> Option<WeightChange> {
        let id = &runner.server.id;
        info!(
            self.logger, "orders: Weight change given up, its runner started again.";
            "server" => &**id, "incarnation" => runner.server.incarnation,
            "before" => change.incarnation, "wanted" => change.version,
            "took_ms" => change.started_at.elapsed().as_millis()
        );
        self.announce(id, false);
        planner.borrow_mut().remove_pending(id);
        None
    }

    /// Sends the order unless the runner already has the weights or the lease may expire.
    async fn issue_order(
        &self,
        runner: &RunnerView,
        change: WeightChange,
        planner: &RefCell<OrderPlanner>,
    ) -> Option<WeightChange> {
        let server = &runner.server;
        let change = self.with_newest_version(change);
        let Some(report) = self.fetch_report(server, &change.model).await else {
            self.announce(&server.id, false);
            planner.borrow_mut().remove_pending(&server.id);
            return None;
        };
        if report.is_of_other_process(change.incarnation) {
            return self.give_up_after_restart(runner, &change, planner);
        }
        let weights = report.weights(&change.model);
        if weights >= change.version {
            self.announce(&server.id, false);
            return None;
        }
        // The lease may have expired while the report was fetched.
        let lease = planner.borrow().lease(self.clock.now() + CALL_TIMEOUT);
        let lease = lease.filter(|lease| lease.fencing == change.fencing);
        if lease.is_none() {
            self.announce(&server.id, false);
            return None;
        }
        let mode = self.switch_mode(runner, &change);
        let order = WeightsOrder {
            model: change.model.clone(),
            version: change.version,
            mode,
            holder: self.config.host.clone(),
            fencing: change.fencing,
            expected_orders: report.orders_accepted,
        };
        let outcome = self.send_order(server, &order).await;
        info!(
            self.logger, "orders: Order sent to runner.";
            "server" => &*server.id, "model" => &*order.model, "weights" => order.version,
            "before" => weights, "mode" => ?mode, "fencing" => order.fencing,
            "expected" => order.expected_orders, "outcome" => ?outcome,
            "emptied_ms" => change.started_at.elapsed().as_millis(),
            "requests" => runner.load.requests, "bound" => runner.load.non_resumable
        );
        let is_accepted = outcome.as_ref().is_ok_and(|outcome| outcome.is_in_effect());
        let wait = if is_accepted {
            self.load_times.borrow().earliest_end()
        } else {
            Duration::ZERO
        };
        let now = Instant::now();
        Some(WeightChange {
            stage: Stage::Ordered(SentOrder {
                sent_at: now,
                next_report: now + wait.max(REPORT_INTERVAL),
                is_accepted,
                min_orders: order.expected_orders
                    + u64::from(outcome == Ok(OrderOutcome::Accepted)),
                waits_for_requests: mode == SwitchMode::Wait && runner.load.requests > 0,
            }),
            ..change
        })
    }

    /// Returns a weight change to the newest desired version, which may have changed while the
    /// runner was drained. A runner that loads a version already replaced has to change again.
    fn with_newest_version(&self, change: WeightChange) -> WeightChange {
        let desired_versions = self.desired_versions();
        let newest = desired_versions.get(&change.model).copied();
        WeightChange {
            version: newest.map_or(change.version, |newest| newest.max(change.version)),
            ..change
        }
    }

    /// Chooses how the runner treats requests in flight. They are broken off to be resumed at other
    /// runners if all of them can be and the retry budget allows it. If only this runner can
    /// complete some, and most of its requests have ended since draining began, the rest go on under
    /// the new weights.
    fn switch_mode(&self, runner: &RunnerView, change: &WeightChange) -> SwitchMode {
        let service = &runner.server.service;
        let left = self
            .core
            .with(|core, now| core.retry_budget_left(now, service));
        switch_mode(&runner.load, change.requests_at_start, left)
    }

    /// Checks by its report whether a runner has carried out its order; `None` if the change has
    /// completed or timed out.
    async fn check_progress(
        &self,
        runner: &RunnerView,
        change: WeightChange,
        order: SentOrder,
        planner: &RefCell<OrderPlanner>,
    ) -> Option<WeightChange> {
        let requested_at = Instant::now();
        let report = self.fetch_report(&runner.server, &change.model).await;
        let is_restarted = report.as_ref().is_some_and(|report| {
            report.is_of_other_process(change.incarnation) || order.is_lost(requested_at, report)
        });
        if is_restarted {
            return self.give_up_after_restart(runner, &change, planner);
        }
        let weights = report
            .as_ref()
            .map_or(runner.weights, |report| report.weights(&change.model));
        let report_arrived = report.is_some();
        let is_busy = report.is_none_or(|report| report.is_busy);
        let is_done = weights >= change.version && !is_busy;
        // A runner that carries an order out may need long for it.
        let limit = if is_busy && report_arrived {
            MAX_CHANGE_TIME
        } else {
            REPEAT_AFTER
        };
        let is_overdue = change.started_at.elapsed() >= limit;
        if !is_done && !is_overdue {
            // An order that the runner did not accept is sent again while the runner is idle. An
            // unanswered order and its repetition name the same number of accepted orders, so the
            // first one cannot take effect after the second.
            let stage = if order.is_accepted || is_busy {
                Stage::Ordered(SentOrder {
                    next_report: Instant::now() + REPORT_INTERVAL,
                    ..order
                })
            } else {
                Stage::Draining
            };
            return Some(WeightChange { stage, ..change });
        }
        info!(
            self.logger, "orders: Weight change completed or timed out.";
            "server" => &*runner.server.id, "weights" => weights, "wanted" => change.version,
            "busy" => is_busy, "took_ms" => change.started_at.elapsed().as_millis()
        );
        self.announce(&runner.server.id, false);
        if is_done && order.is_accepted && !order.waits_for_requests {
            self.load_times.borrow_mut().record(order.sent_at.elapsed());
        }
        if !is_done {
            planner.borrow_mut().remove_pending(&runner.server.id);
        }
        None
    }

    /// Gets a report of a runner and records what it says about the weights of a model.
    async fn fetch_report(&self, server: &BackendServer, model: &str) -> Option<RunnerReport> {
        let requested_at = Instant::now();
        let report = timeout(CALL_TIMEOUT, self.platform.report(server)).await;
        match report.unwrap_or_else(|_| Err(timeout_error(CALL_TIMEOUT))) {
            Ok(report) => {
                let state = ReportedState {
                    requested_at,
                    incarnation: report.incarnation,
                    weights: report.find_weights(model),
                    is_busy: report.is_busy,
                    is_leaving: report.is_leaving,
                };
                let hash = hash_name(&server.id);
                self.core
                    .with(|core, now| core.record_report(now, hash, &state));
                Some(report)
            }
            Err(error) => {
                warn!(self.logger, "orders: Failed to get a report from runner."; "server" => &*server.id, "error" => %error);
                None
            }
        }
    }

    async fn send_order(
        &self,
        server: &BackendServer,
        order: &WeightsOrder,
    ) -> Result<OrderOutcome, ControlError> {
        let outcome = timeout(ORDER_TIMEOUT, self.platform.order(server, order)).await;
        outcome.unwrap_or_else(|_| Err(timeout_error(ORDER_TIMEOUT)))
    }

    /// Records whether a runner is changing its weights, and sends its state to all peers at once.
    fn announce(&self, server: &str, is_changing: bool) {
        let hash = hash_name(server);
        self.core
            .with(|core, now| core.announce_runner(now, hash, is_changing));
        self.peers.push_digests();
    }
}

/// Weight change in progress at one runner.
#[derive(Clone)]
struct WeightChange {
    model: TargetId,
    /// Process of the runner when the change began.
    incarnation: Incarnation,
    version: WeightsVersion,
    fencing: FencingNumber,
    started_at: Instant,
    /// Requests in flight when draining began.
    requests_at_start: u32,
    stage: Stage,
}

#[derive(Clone, Copy)]
enum Stage {
    /// The runner gets no new work and finishes requests that cannot be resumed elsewhere.
    Draining,
    /// The order was sent.
    Ordered(SentOrder),
}

#[derive(Clone, Copy)]
struct SentOrder {
    sent_at: Instant,
    /// Time of the next report request.
    next_report: Instant,
    /// Whether the runner accepted the order.
    is_accepted: bool,
    /// Number of orders that the process has accepted since, at least.
    min_orders: u64,
    /// Whether the runner completes requests before it loads.
    waits_for_requests: bool,
}

impl WeightChange {
    fn is_draining(&self) -> bool {
        matches!(self.stage, Stage::Draining)
    }

    /// Returns whether the order may be sent: the runner is drained, or draining took too long.
    fn is_drained(&self, runner: &RunnerView) -> bool {
        let age = self.started_at.elapsed();
        let is_empty = runner.load.non_resumable == 0 && age >= UPDATE_PROPAGATION;
        is_empty || age >= MAX_DRAIN_TIME
    }
}

impl SentOrder {
    /// Returns whether the runner accepted the order and no longer knows of it, which only a
    /// restart can cause.
    fn is_lost(&self, requested_at: Instant, report: &RunnerReport) -> bool {
        let is_up_to_date = requested_at.saturating_duration_since(self.sent_at) >= MAX_REPORT_AGE;
        self.is_accepted && is_up_to_date && report.orders_accepted < self.min_orders
    }
}

impl RunnerReport {
    /// Returns whether the report is known to come from another process of the runner.
    #[must_use]
    pub fn is_of_other_process(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_some_and(|other| other != incarnation)
    }

    /// Returns the version of a model's weights, 0 if the runner does not have the model.
    #[must_use]
    pub fn weights(&self, model: &str) -> WeightsVersion {
        self.find_weights(model).unwrap_or(0)
    }

    /// Returns the version of a model's weights, `None` if the runner does not have the model.
    #[must_use]
    pub fn find_weights(&self, model: &str) -> Option<WeightsVersion> {
        let model = self.models.iter().find(|(name, _)| name.as_ref() == model);
        model.map(|(_, version)| *version)
    }
}

/// Returns how a runner treats requests in flight, by its load now, the number of its requests when
/// draining began, and the unused fraction of the retry budget.
///
/// The load that it answers: a few long answers would keep a runner from all other work until their
/// end, while versions follow each other every few seconds.
#[must_use]
pub fn switch_mode(load: &HostLoad, requests_at_start: u32, budget_left: f64) -> SwitchMode {
    if load.non_resumable == 0 && budget_left >= MIN_BUDGET_TO_TRUNCATE {
        return SwitchMode::Truncate;
    }
    let few = f64::from(requests_at_start) * MAX_KEPT_FRACTION;
    if load.non_resumable > 0 && f64::from(load.requests) <= few {
        SwitchMode::Keep
    } else {
        SwitchMode::Wait
    }
}

/// Returns how many runners may change their weights at the same time, by the load on all runners.
fn max_concurrent_changes(runners: &[RunnerView]) -> usize {
    let up = runners.iter().filter(|runner| !runner.is_ejected);
    let (count, pending_ms) = up.fold((0.0, 0.0), |(count, pending_ms), runner| {
        (count + 1.0, pending_ms + f64::from(runner.load.pending_ms))
    });
    let fraction = if pending_ms > BUSY_PENDING_MS * count {
        MAX_CHANGING_FRACTION_BUSY
    } else {
        MAX_CHANGING_FRACTION
    };
    (count * fraction).round() as usize
}

/// Returns the runners in the order in which they shall change: those with the oldest weights
/// first, among these the ones with the fewest requests, so that streams of busier runners can
/// resume at runners that have already changed.
fn runner_statuses(
    runners: &[RunnerView],
    desired_versions: &DesiredVersions,
) -> Vec<RunnerStatus> {
    let mut runners = runners.iter().collect::<Vec<_>>();
    runners.sort_by_key(|runner| {
        let id = runner.server.id.clone();
        (runner.weights, runner.load.requests, id)
    });
    let statuses = runners.into_iter().filter_map(|runner| {
        let (model, _) = runner.server.models.first()?;
        let is_newer = desired_versions
            .get(model)
            .is_some_and(|desired| runner.weights > *desired);
        Some(RunnerStatus {
            id: runner.server.id.clone(),
            model: model.clone(),
            weights: runner.weights,
            checks_fencing: false,
            is_available: !runner.server.is_leaving && !runner.is_ejected && !is_newer,
        })
    });
    statuses.collect()
}

/// Returns the error of a call that timed out.
fn timeout_error(wait: Duration) -> ControlError {
    ControlError::NoAnswer(format!("timed out after {wait:?}"))
}
