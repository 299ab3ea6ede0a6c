//! Model requests: places attempts on runners and retries until the answer is complete.

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::RecvTimeoutError;
use hickoryhall_clients::ClientError;
use hickoryhall_routing::{
    AttemptOutcome, CostModel, PrefixChain, PrefixSeed, RetryDecision, RetryPolicy, SuspectDecision,
};
use hickoryhall_table::CostWeights;
use hickoryhall_telemetry::{CandidateRecord, DecisionRecord};
use hickoryhall_types::{Ran, Refusal, RefusalCode, RunnerId, Step, WeightsVersion};
use metrics::counter;

use super::attempt_group::{AttemptGroup, GroupEnd};
use super::{Answer, ModelRequest, after_attempts};
use crate::actors::{CoreMsg, stopped_refusal};
use crate::context::Context;
use crate::dispatch::{AttemptEnd, AttemptId, Placed, PlacementRequest};

/// Interval at which a waiting request checks whether its caller has hung up.
pub(super) const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which placement is retried while runners change their weights.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time after its arrival that a request waits for runners to change their weights.
const MAX_WEIGHTS_WAIT: Duration = Duration::from_secs(3);

/// Runs a request to its end and answers the caller.
pub(crate) fn run_model(context: &Arc<Context>, request: &Arc<ModelRequest>, mut answer: Answer) {
    let result = ModelRun::new(context, request).and_then(|mut run| run.run_attempts(&mut answer));
    match result {
        Ok(true) => {
            let end = if answer.finish().is_ok() {
                "answered"
            } else {
                "abandoned"
            };
            counter!("requests_total", "end" => end).increment(1);
        }
        Ok(false) => counter!("requests_total", "end" => "abandoned").increment(1),
        Err(refusal) => {
            counter!("requests_total", "end" => "refused").increment(1);
            record_decision(context, request, "refuse", &refusal.message, &refusal.peer);
            answer.refuse(&refusal);
        }
    }
}

/// State of a model request across its attempts.
pub(super) struct ModelRun<'a> {
    pub context: &'a Arc<Context>,
    pub request: &'a Arc<ModelRequest>,
    /// Weights version of the answer, fixed once the caller has a token.
    pub weights_version: WeightsVersion,
    /// Hash input that separates the prompts of workspaces, models, adapters and weights.
    pub seed: PrefixSeed,
    /// Hashes of the prompt's prefixes, from which cached tokens are estimated.
    pub chain: PrefixChain,
    /// Runners that failed this request.
    excluded_runners: Vec<RunnerId>,
    /// Attempts started so far, without hedges.
    attempts: u32,
    /// Whether a failed attempt may have run the request.
    pub may_have_run: Cell<bool>,
    /// Whether the request may have killed a runner; it then runs apart from other suspects.
    is_suspect: bool,
}

impl<'a> ModelRun<'a> {
    fn new(
        context: &'a Arc<Context>,
        request: &'a Arc<ModelRequest>,
    ) -> Result<Self, Box<Refusal>> {
        let fingerprint = request.fingerprint;
        let decision = context
            .core
            .ask(|reply| CoreMsg::SuspectDecision { fingerprint, reply });
        let is_suspect = match decision.ok_or_else(stopped_refusal)? {
            SuspectDecision::Clear => false,
            SuspectDecision::Isolate(_) | SuspectDecision::Probe(_) => true,
            SuspectDecision::Refuse(wait) => return Err(suspect_refusal(wait)),
        };
        let (weights_version, seed, chain) = choose_weights_version(context, request)?;
        Ok(Self {
            context,
            request,
            weights_version,
            seed,
            chain,
            excluded_runners: Vec::new(),
            attempts: 0,
            may_have_run: Cell::new(false),
            is_suspect,
        })
    }

    /// Runs attempts until the answer is complete; returns false where the caller has hung up.
    fn run_attempts(&mut self, answer: &mut Answer) -> Result<bool, Box<Refusal>> {
        self.run_until_refused(answer)
            .map_err(|refusal| after_attempts(refusal, self.may_have_run.get()))
    }

    fn run_until_refused(&mut self, answer: &mut Answer) -> Result<bool, Box<Refusal>> {
        loop {
            let attempt_id = self.context.next_id();
            let placed = match self.place(attempt_id, answer) {
                Ok(Some(placed)) => placed,
                Ok(None) => return Ok(false),
                Err(refusal) if self.may_wait_for_weights(&refusal, answer) => {
                    std::thread::sleep(WEIGHTS_POLL_INTERVAL);
                    self.choose_weights_version()?;
                    continue;
                }
                Err(refusal) => return Err(refusal),
            };
            self.attempts += 1;
            match AttemptGroup::start(self, attempt_id, &placed, answer).run(answer) {
                GroupEnd::Done => {
                    self.clear_suspicion();
                    return Ok(true);
                }
                GroupEnd::Abandoned => return Ok(false),
                GroupEnd::DeadlinePassed => return Err(deadline_refusal()),
                GroupEnd::Failed {
                    error,
                    runner,
                    runner_died,
                } => {
                    self.retry_or_refuse(&error, &runner, runner_died)?;
                    if answer.next_index() == 0 {
                        self.choose_weights_version()?;
                    }
                }
            }
        }
    }

    /// Returns whether to retry a refused placement because runners are still loading weights.
    ///
    /// This holds only before the first token, since an answer keeps one weights version.
    fn may_wait_for_weights(&self, refusal: &Refusal, answer: &Answer) -> bool {
        refusal.code == RefusalCode::NotReady
            && refusal.step == Step::Placement
            && answer.next_index() == 0
            && !answer.is_abandoned()
            && self.request.arrived_at.elapsed() < MAX_WEIGHTS_WAIT
            && !self.request.time_left().is_zero()
    }

    fn choose_weights_version(&mut self) -> Result<(), Box<Refusal>> {
        (self.weights_version, self.seed, self.chain) =
            choose_weights_version(self.context, self.request)?;
        Ok(())
    }

    /// Waits before the next attempt after all concurrent ones failed, or returns the refusal.
    fn retry_or_refuse(
        &mut self,
        error: &ClientError,
        runner: &RunnerId,
        runner_died: bool,
    ) -> Result<(), Box<Refusal>> {
        if runner_died {
            self.record_death()?;
        }
        self.excluded_runners.push(runner.clone());
        let policy = RetryPolicy {
            repeatable: true,
            deadline: self.request.deadline,
        };
        let outcome = AttemptOutcome {
            ran: error.ran(),
            ended_at: Instant::now(),
        };
        match policy.decide(self.attempts, outcome, || self.take_from_retry_budget()) {
            RetryDecision::Retry(wait) => {
                self.record_decision("retry", &error.to_string(), runner);
                std::thread::sleep(wait);
                Ok(())
            }
            RetryDecision::GiveUp => Err(Box::new(
                Refusal::new(RefusalCode::BackendFailed, error.step, error.to_string())
                    .peer(error.peer.to_string())
                    .ran(error.ran())
                    .retry_after(Duration::from_secs(1)),
            )),
        }
    }

    /// Reports that a runner died during the request, which then runs apart from other suspects.
    fn record_death(&mut self) -> Result<(), Box<Refusal>> {
        let fingerprint = self.request.fingerprint;
        self.context.core.send(CoreMsg::RunnerDeath { fingerprint });
        self.is_suspect = true;
        let decision = self
            .context
            .core
            .ask(|reply| CoreMsg::SuspectDecision { fingerprint, reply });
        match decision {
            Some(SuspectDecision::Refuse(wait)) => Err(suspect_refusal(wait)),
            _ => Ok(()),
        }
    }

    /// Clears the request as a suspect after a complete answer.
    fn clear_suspicion(&self) {
        if self.is_suspect {
            let fingerprint = self.request.fingerprint;
            self.context
                .core
                .send(CoreMsg::ClearSuspect { fingerprint });
        }
    }

    /// Waits for the placement on a runner; returns `None` where the caller hung up meanwhile.
    fn place(
        &self,
        attempt_id: AttemptId,
        answer: &Answer,
    ) -> Result<Option<Placed>, Box<Refusal>> {
        let placed = self.context.core.place(self.placement_request(attempt_id));
        loop {
            match placed.recv_timeout(CALLER_POLL_INTERVAL) {
                Ok(placed) => {
                    let placed = *placed?;
                    self.record_placement(&placed);
                    return Ok(Some(placed));
                }
                Err(RecvTimeoutError::Disconnected) => return Err(stopped_refusal()),
                Err(RecvTimeoutError::Timeout) if answer.is_abandoned() => {
                    self.report_end(attempt_id, AttemptEnd::Released);
                    return Ok(None);
                }
                Err(RecvTimeoutError::Timeout) if self.request.time_left().is_zero() => {
                    self.report_end(attempt_id, AttemptEnd::Released);
                    let message = "the deadline passed before a runner was found";
                    let code = RefusalCode::DeadlineExceeded;
                    let ran = if self.attempts == 0 {
                        Ran::No
                    } else {
                        Ran::Unknown
                    };
                    return Err(Box::new(
                        Refusal::new(code, Step::Placement, message).ran(ran),
                    ));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Returns the placement request for the next attempt.
    pub fn placement_request(&self, attempt_id: AttemptId) -> PlacementRequest {
        let request = self.request;
        PlacementRequest {
            attempt_id,
            workspace: request.workspace.clone(),
            weight: request.policy.weight,
            chain: self.chain.clone(),
            model: request.model.clone(),
            weights_version: self.weights_version,
            cost: cost_model(request.policy.cost),
            deadline: request.deadline,
            excluded_runners: self.excluded_runners.clone(),
            is_suspect: self.is_suspect,
        }
    }

    /// Takes a retry or hedge out of the retry budget; returns whether there was one left.
    pub fn take_from_retry_budget(&self) -> bool {
        self.context
            .core
            .ask(|reply| CoreMsg::TakeRetry { reply })
            .unwrap_or(false)
    }

    /// Reports the end of an attempt to dispatch, which frees its placement.
    pub fn report_end(&self, attempt_id: AttemptId, end: AttemptEnd) {
        self.context
            .core
            .send(CoreMsg::AttemptEnded { attempt_id, end });
    }

    /// Adds a decision about this request to the decision log.
    pub fn record_decision(&self, decision: &str, reason: &str, server: &str) {
        record_decision(self.context, self.request, decision, reason, server);
    }

    fn record_placement(&self, placed: &Placed) {
        let choice = &placed.choice;
        let costs = choice.considered.iter().zip(&placed.considered);
        let candidates = costs.map(|((_, cost), server)| CandidateRecord {
            server: server.to_string(),
            wait_ms: cost.wait_ms,
            recompute_ms: cost.recompute_ms,
            eviction_ms: cost.eviction_ms,
            network_ms: cost.network_ms,
        });
        let (expected, held_ms) = (choice.expected_cached_tokens, placed.held_time.as_millis());
        self.context.decisions.push(DecisionRecord {
            candidates: candidates.collect(),
            ..decision_record(
                self.context,
                self.request,
                "place",
                &format!(
                    "{:?}, {expected} tokens expected cached, held {held_ms} ms",
                    choice.reason
                ),
                &placed.server.id,
            )
        });
    }
}

/// Chooses the weights version for an answer that has not begun.
///
/// Also returns the prefix seed and the prefix chain, whose hashes depend on that version.
fn choose_weights_version(
    context: &Context,
    request: &ModelRequest,
) -> Result<(WeightsVersion, PrefixSeed, PrefixChain), Box<Refusal>> {
    let desired_version = u64::from(request.policy.weights_version);
    let (model, fingerprint) = (Arc::clone(&request.model), request.fingerprint);
    let weights_version = context
        .core
        .ask(|reply| CoreMsg::ChooseWeightsVersion {
            model,
            desired_version,
            fingerprint,
            reply,
        })
        .ok_or_else(stopped_refusal)?;
    let adapter = request.policy.adapter.as_deref();
    let seed = PrefixSeed::new(&request.workspace, &request.model, adapter, weights_version);
    let messages = request
        .messages
        .iter()
        .map(|message| message.content.as_str());
    let chain = PrefixChain::from_messages(&seed, messages);
    Ok((weights_version, seed, chain))
}

fn cost_model(cost_weights: CostWeights) -> CostModel {
    let factor = |percent: u32| f64::from(percent) / 100.0;
    CostModel {
        wait_factor: factor(cost_weights.wait_percent),
        recompute_factor: factor(cost_weights.recompute_percent),
        eviction_factor: factor(cost_weights.eviction_percent),
    }
}

fn suspect_refusal(wait: Duration) -> Box<Refusal> {
    let message = "runners died while they ran this request";
    let refusal = Refusal::new(RefusalCode::Suspect, Step::Admission, message);
    // The request was run by earlier attempts, possibly through other hosts.
    Box::new(refusal.ran(Ran::Yes).retry_after(wait))
}

fn deadline_refusal() -> Box<Refusal> {
    let refusal = Refusal::new(
        RefusalCode::DeadlineExceeded,
        Step::Answer,
        "the deadline passed",
    );
    Box::new(refusal.ran(Ran::Unknown))
}

fn record_decision(
    context: &Context,
    request: &ModelRequest,
    decision: &str,
    reason: &str,
    server: &str,
) {
    context
        .decisions
        .push(decision_record(context, request, decision, reason, server));
}

fn decision_record(
    context: &Context,
    request: &ModelRequest,
    decision: &str,
    reason: &str,
    server: &str,
) -> DecisionRecord {
    context.decision_record(&request.id, request.arrived_at, decision, reason, server)
}
