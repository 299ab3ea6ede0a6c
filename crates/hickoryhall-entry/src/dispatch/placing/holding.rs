//! Requests that are held at this host until a runner is free, and refusals.

use std::time::{Duration, Instant};

use hickoryhall_limits::{Queued, Shed};
use hickoryhall_types::{Refusal, RefusalCode, Step, WorkspaceId};

use super::{Dispatch, HELD_RETRY_INTERVAL, RETRY_AFTER_RANGE};
use crate::dispatch::{AttemptId, Effect};

impl Dispatch {
    /// Handles a request without a suitable runner: holds it if it is a suspect whose deadline
    /// allows another try, and refuses it otherwise.
    pub(super) fn on_no_runner(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&attempt_id) else {
            return;
        };
        if pending.request.is_suspect && now + HELD_RETRY_INTERVAL < pending.request.deadline {
            // Every suitable runner may be running another suspect; one of these attempts is
            // expected to end soon.
            pending.retry_at = now + HELD_RETRY_INTERVAL;
            let was_held = std::mem::replace(&mut pending.is_held, true);
            if !was_held {
                self.enqueue(attempt_id, effects);
            }
            return;
        }
        let model = &pending.request.model;
        let runners = self.placement.runners().iter();
        let has_runner = runners
            .map(|(_, info)| info)
            .any(|info| info.model == *model && info.accepts(model, info.report.weights));
        let (code, message) = if has_runner {
            // The model's runners serve another version, are loading weights or are ejected, so a
            // retry may succeed.
            (
                RefusalCode::NotReady,
                format!("the runners of {model} change their weights"),
            )
        } else {
            (
                RefusalCode::NoBackend,
                format!("no runner of {model} can be reached"),
            )
        };
        let refusal = Refusal::new(code, Step::Placement, message);
        self.refuse(
            attempt_id,
            refusal.retry_after(Duration::from_secs(1)),
            effects,
        );
    }

    /// Holds a request at this host, or refuses it at once if its wait would exceed the deadline.
    pub(super) fn hold(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&attempt_id) else {
            return;
        };
        let was_held = std::mem::replace(&mut pending.is_held, true);
        pending.retry_at = now + HELD_RETRY_INTERVAL;
        if was_held {
            return;
        }
        let request = &pending.request;
        let runners = self.placement.runners().len().max(1) as f64;
        let ahead_ms = self.held.cost_ahead(&request.workspace, request.weight) / runners;
        let expected_wait = wait + Duration::from_secs_f64(ahead_ms / 1_000.0);
        if now + expected_wait >= request.deadline {
            let message = format!(
                "the wait of {} ms ends after the deadline",
                expected_wait.as_millis()
            );
            let refusal = Refusal::new(RefusalCode::Overloaded, Step::Placement, message);
            let retry_after =
                expected_wait.clamp(*RETRY_AFTER_RANGE.start(), *RETRY_AFTER_RANGE.end());
            return self.refuse(attempt_id, refusal.retry_after(retry_after), effects);
        }
        self.enqueue(attempt_id, effects);
    }

    /// Adds a request to the fair queue; a full queue sheds a request, which is refused.
    pub(super) fn enqueue(&mut self, attempt_id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&attempt_id) else {
            return;
        };
        // Without a candidate, a prefill rate of 10,000 tokens per second is assumed.
        let ms_per_token = pending
            .candidates
            .first()
            .map_or(0.1, |c| 1_000.0 / f64::from(c.quote.prefill_tokens_per_s));
        let queued = Queued {
            workspace: pending.request.workspace.clone(),
            weight: pending.request.weight,
            cost: f64::from(pending.request.chain.tokens()) * ms_per_token,
            deadline: pending.request.deadline,
            item: attempt_id,
        };
        if let Some(shed) = self.held.push(queued) {
            self.refuse_shed(shed, effects);
        }
    }

    /// Refuses a request that the queue has shed.
    pub(super) fn refuse_shed(&mut self, shed: Shed<AttemptId>, effects: &mut Vec<Effect>) {
        let (attempt_id, message) = match shed {
            Shed::Expired(attempt_id) => {
                (attempt_id, "the deadline passed before a runner was free")
            }
            Shed::OverShare(attempt_id) => (
                attempt_id,
                "the fleet is full and the workspace over its share",
            ),
        };
        // A request whose caller has given up is no longer pending.
        if self.pending.contains_key(&attempt_id) {
            let refusal = Refusal::new(RefusalCode::Overloaded, Step::Placement, message);
            self.refuse(
                attempt_id,
                refusal.retry_after(*RETRY_AFTER_RANGE.start()),
                effects,
            );
        }
    }

    /// Refuses a request and removes it from the queue.
    pub(super) fn refuse(
        &mut self,
        attempt_id: AttemptId,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pending) = self.pending.remove(&attempt_id)
            && pending.is_held
        {
            self.dequeue(&pending.request.workspace, attempt_id);
        }
        effects.push(Effect::Refused {
            attempt_id,
            refusal: Box::new(refusal),
        });
    }

    /// Removes requests that are no longer pending, for example because their callers have given
    /// up, from the fronts of the workspaces' queues.
    pub(super) fn drop_abandoned(&mut self) {
        loop {
            let fronts = self.held.fronts();
            let abandoned = fronts
                .iter()
                .find(|queued| !self.pending.contains_key(&queued.item));
            let Some(workspace) = abandoned.map(|queued| queued.workspace.clone()) else {
                return;
            };
            self.held.take_front(&workspace);
        }
    }

    /// Removes a request from the queue if it is at the front of its workspace's queue; others are
    /// removed by [`Dispatch::drop_abandoned`] once they get there.
    pub(super) fn dequeue(&mut self, workspace: &WorkspaceId, attempt_id: AttemptId) {
        let is_front = self
            .held
            .fronts()
            .iter()
            .any(|queued| queued.item == attempt_id);
        if is_front {
            self.held.take_front(workspace);
        }
    }
}
