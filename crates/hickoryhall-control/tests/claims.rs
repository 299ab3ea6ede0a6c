//! Claims under random interleavings and faults: a call never runs twice, and an attempt that
//! reports "not run" did not run the call.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_control::{
    Claim, ClaimEnd, ClaimFlow, ClaimStep, ReadResult, RecordedResponse, SendResult, WriteResult,
};
use hickoryhall_types::Ran;
use proptest::prelude::*;

/// Fault, if any, that occurs in one step of an attempt.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The call and its response arrive.
    None,
    /// The call takes effect, but its response is lost.
    AnswerLost,
    /// The call is lost in transit.
    CallLost,
    /// A write is delayed and takes effect after steps of other attempts.
    Delayed,
    /// The store or the backend server refuses the call.
    Refused,
    /// The attempt is first paused for an hour, beyond every time limit.
    Paused,
    /// The host crashes, and the attempt takes no further step.
    Crashed,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::CallLost),
        2 => Just(Fault::Delayed),
        1 => Just(Fault::Refused),
        1 => Just(Fault::Paused),
        1 => Just(Fault::Crashed),
    ]
}

/// Write that is delayed in the network: the claim and the expected revision (0 if it must not
/// exist).
type DelayedWrite = (Claim, u64);

/// One key of the store, and the service that the call addresses.
#[derive(Default)]
struct World {
    claim: Option<(Claim, u64)>,
    revision: u64,
    delayed: Vec<DelayedWrite>,
    runs: Vec<usize>,
}

impl World {
    fn write(&mut self, claim: Claim, expected: u64) -> WriteResult {
        let current = self.claim.as_ref().map_or(0, |(_, revision)| *revision);
        if current != expected {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.claim = Some((claim, self.revision));
        WriteResult::Written(self.revision)
    }

    fn call_write(&mut self, fault: Fault, claim: Claim, expected: u64) -> WriteResult {
        match fault {
            Fault::AnswerLost => {
                self.write(claim, expected);
                WriteResult::InDoubt
            }
            Fault::Delayed => {
                self.delayed.push((claim, expected));
                WriteResult::InDoubt
            }
            Fault::CallLost => WriteResult::InDoubt,
            Fault::Refused => WriteResult::Failed,
            _ => self.write(claim, expected),
        }
    }

    fn call_read(&self, fault: Fault) -> ReadResult {
        match (fault, &self.claim) {
            (Fault::AnswerLost | Fault::CallLost | Fault::Refused, _) => ReadResult::Failed,
            (_, Some((claim, revision))) => ReadResult::Found(claim.clone(), *revision),
            (_, None) => ReadResult::Missing,
        }
    }

    fn call_service(&mut self, fault: Fault, attempt: usize) -> SendResult {
        match fault {
            Fault::Refused => SendResult::NotRun,
            Fault::CallLost => SendResult::Unknown,
            Fault::AnswerLost | Fault::Delayed => {
                self.runs.push(attempt);
                SendResult::Unknown
            }
            _ => {
                self.runs.push(attempt);
                SendResult::Answered(RecordedResponse::new(200, "text/plain", b"booked"))
            }
        }
    }

    fn deliver_delayed(&mut self) {
        for (claim, expected) in std::mem::take(&mut self.delayed) {
            self.write(claim, expected);
        }
    }
}

struct Attempt {
    flow: ClaimFlow,
    step: ClaimStep,
    clock_offset: Duration,
    is_crashed: bool,
}

impl Attempt {
    fn start(now: Instant, index: usize) -> Self {
        let (flow, step) = ClaimFlow::start(now, &format!("attempt-{index}"));
        Self {
            flow,
            step,
            clock_offset: Duration::ZERO,
            is_crashed: false,
        }
    }

    fn end(&self) -> Option<&ClaimEnd> {
        match &self.step {
            ClaimStep::End(end) => Some(end),
            _ => None,
        }
    }

    fn advance(&mut self, start: Instant, index: usize, fault: Fault, world: &mut World) {
        if self.is_crashed || self.end().is_some() {
            return;
        }
        match fault {
            Fault::Crashed => {
                self.is_crashed = true;
                return;
            }
            Fault::Paused => self.clock_offset += Duration::from_secs(3_600),
            _ => {}
        }
        let now = start + self.clock_offset;
        self.step = match std::mem::replace(&mut self.step, ClaimStep::Read) {
            ClaimStep::Create(claim) => {
                let result = world.call_write(fault, claim, 0);
                self.flow.on_write(now, result)
            }
            ClaimStep::Replace(claim, revision) => {
                let result = world.call_write(fault, claim, revision);
                self.flow.on_write(now, result)
            }
            ClaimStep::Read => self.flow.on_read(now, world.call_read(fault)),
            // A paused sender checks its deadline again just before it sends.
            ClaimStep::Send if now >= self.flow.send_by() => self.flow.on_sent(SendResult::NotRun),
            ClaimStep::Send => self.flow.on_sent(world.call_service(fault, index)),
            end @ ClaimStep::End(_) => end,
        };
    }
}

fn check(world: &World, attempts: &[Attempt]) -> Result<(), TestCaseError> {
    prop_assert!(world.runs.len() <= 1, "ran {:?}", world.runs);
    for (index, attempt) in attempts.iter().enumerate() {
        let ran = world.runs.contains(&index);
        match attempt.end() {
            Some(ClaimEnd::Refused(Ran::No) | ClaimEnd::StoreUnavailable) => {
                prop_assert!(!ran, "attempt {index} said it did not run");
            }
            Some(ClaimEnd::Answered) => prop_assert!(ran),
            Some(ClaimEnd::Replayed(_)) => prop_assert!(!world.runs.is_empty()),
            _ => {}
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    #[test]
    fn a_call_never_runs_twice_and_not_run_is_true(
        steps in prop::collection::vec((0_usize..4, fault(), prop::bool::weighted(0.2)), 1..60),
    ) {
        let start = Instant::now();
        let mut world = World::default();
        let mut attempts = (0..4).map(|index| Attempt::start(start, index)).collect::<Vec<_>>();
        for (index, fault, delivers) in steps {
            attempts[index].advance(start, index, fault, &mut world);
            if delivers {
                world.deliver_delayed();
            }
            check(&world, &attempts)?;
        }
        world.deliver_delayed();
        check(&world, &attempts)?;
    }
}

fn run_alone(faults: HashMap<usize, Fault>) -> (World, ClaimEnd) {
    let start = Instant::now();
    let mut world = World::default();
    let mut attempt = Attempt::start(start, 0);
    for step in 0..20 {
        let fault = faults.get(&step).copied().unwrap_or(Fault::None);
        attempt.advance(start, 0, fault, &mut world);
    }
    let end = attempt.end().cloned().expect("an end");
    (world, end)
}

#[test]
fn a_lost_answer_of_the_claim_is_read_back_and_the_call_runs() {
    let (world, end) = run_alone([(0, Fault::AnswerLost)].into());
    assert_eq!(end, ClaimEnd::Answered);
    assert_eq!(world.runs, [0]);
}

#[test]
fn a_holder_paused_past_its_window_does_not_send() {
    let (world, end) = run_alone([(0, Fault::Paused)].into());
    assert_eq!(end, ClaimEnd::Refused(Ran::No));
    assert!(world.runs.is_empty());
}

#[test]
fn without_the_store_nothing_is_sent() {
    let (world, end) = run_alone([(0, Fault::Refused)].into());
    assert_eq!(end, ClaimEnd::StoreUnavailable);
    assert!(world.runs.is_empty());
}
