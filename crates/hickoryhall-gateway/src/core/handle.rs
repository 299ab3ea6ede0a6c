//! The handle by which tasks on the actor's thread reach it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use slog::Logger;
use stakker::{ActorOwn, Stakker, ret_nop};
use tokio::sync::Notify;

use super::{Core, CoreConfig, IDLE_TICK, WAITING_TICK};

/// Handle to the decisions for tasks on the same thread.
#[derive(Clone)]
pub struct CoreHandle {
    shared: Rc<Shared>,
}

struct Shared {
    stakker: RefCell<Stakker>,
    actor: ActorOwn<Core>,
    wake: Notify,
}

impl CoreHandle {
    /// Starts the actor; [`CoreHandle::run`] gives it time.
    #[must_use]
    pub fn start(config: CoreConfig, logger: Logger) -> Self {
        let now = Instant::now();
        let mut stakker = Stakker::new(now);
        let actor = stakker::actor!(stakker, Core::init(config, logger), ret_nop!());
        stakker.run(now, false);
        let shared = Shared {
            stakker: RefCell::new(stakker),
            actor,
            wake: Notify::new(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Lets the actor act on an input at once.
    ///
    /// # Panics
    ///
    /// Panics where the actor has ended, which only a panic of its own brings about, or where
    /// `act` itself uses the handle.
    pub fn with<R>(&self, act: impl FnOnce(&mut Core, Instant) -> R) -> R {
        let mut stakker = self.shared.stakker.borrow_mut();
        let now = Instant::now();
        let result = self.shared.actor.query(&mut stakker, |core, _cx| {
            let result = act(core, now);
            (result, core.scheduler.waiting() > 0)
        });
        let (result, is_waiting) = result.expect("the actor lives as long as its host");
        if is_waiting {
            self.shared.wake.notify_one();
        }
        result
    }

    /// Gives the actor time until the task is dropped.
    pub async fn run(&self) {
        let mut wait = IDLE_TICK;
        loop {
            let due = tokio::time::sleep(wait);
            tokio::select! {
                () = due => {}
                () = self.shared.wake.notified() => tokio::time::sleep(WAITING_TICK).await,
            }
            wait = self.with(Core::tick);
            self.shared.stakker.borrow_mut().run(Instant::now(), false);
        }
    }
}
