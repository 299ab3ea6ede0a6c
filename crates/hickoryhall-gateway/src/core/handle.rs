//! Handle that tasks on the actor's thread use to call it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use slog::Logger;
use stakker::{ActorOwn, Stakker, ret_nop};
use tokio::sync::Notify;

use super::{Core, CoreConfig, IDLE_TICK_INTERVAL, WAITING_TICK_INTERVAL};

/// Cloneable handle to the [`Core`] actor for tasks on the same thread.
#[derive(Clone)]
pub struct CoreHandle {
    shared: Rc<Shared>,
}

struct Shared {
    stakker: RefCell<Stakker>,
    actor: ActorOwn<Core>,
    /// Notified after each call that leaves attempts waiting, so that the next tick comes early.
    wake: Notify,
    /// Notified after each call that leaves streams of which peers have to be told.
    untold: Notify,
    /// Notified after each call that leaves questions to peers.
    unasked: Notify,
    /// Notified after each call that leaves an inquiry for which the registry has to be read.
    registry_wanted: Notify,
    /// Notified after each call that leaves streams which are not saved.
    unsaved: Notify,
    /// Notified after each call that leaves an inquiry for which saved streams have to be read.
    saved_wanted: Notify,
    /// Notified after each call that may change the record of software versions.
    unrecorded: Notify,
}

impl CoreHandle {
    /// Starts the actor; [`CoreHandle::run`] drives its ticks.
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
            untold: Notify::new(),
            unasked: Notify::new(),
            registry_wanted: Notify::new(),
            unsaved: Notify::new(),
            saved_wanted: Notify::new(),
            unrecorded: Notify::new(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Calls `act` on the actor's state with the current time and returns its result.
    ///
    /// # Panics
    ///
    /// Panics if the actor has terminated, which only a panic inside it can cause, or if `act`
    /// itself uses the handle.
    pub fn with<R>(&self, act: impl FnOnce(&mut Core, Instant) -> R) -> R {
        let mut stakker = self.shared.stakker.borrow_mut();
        let now = Instant::now();
        let result = self.shared.actor.query(&mut stakker, |core, _cx| {
            let result = act(core, now);
            core.share_streams(now);
            if core.has_untold_streams() {
                self.shared.untold.notify_one();
            }
            if core.has_unasked_questions() {
                self.shared.unasked.notify_one();
            }
            if core.has_unsaved_streams() {
                self.shared.unsaved.notify_one();
            }
            if core.wants_saved_streams() {
                self.shared.saved_wanted.notify_one();
            }
            if core.wants_registry() {
                self.shared.registry_wanted.notify_one();
            }
            if core.may_need_version_record() {
                self.shared.unrecorded.notify_one();
            }
            (result, core.scheduler.waiting_count() > 0)
        });
        let (result, is_waiting) =
            result.expect("the core actor runs as long as its handle exists");
        if is_waiting {
            self.shared.wake.notify_one();
        }
        result
    }

    /// Waits until peers have to be told of streams.
    pub async fn has_untold_streams(&self) {
        self.shared.untold.notified().await;
    }

    /// Waits until peers have to be asked about streams.
    pub async fn has_unasked_questions(&self) {
        self.shared.unasked.notified().await;
    }

    /// Waits until the registry has to be read for an inquiry.
    pub async fn wants_registry(&self) {
        self.shared.registry_wanted.notified().await;
    }

    /// Waits until streams have to be saved.
    pub async fn has_unsaved_streams(&self) {
        self.shared.unsaved.notified().await;
    }

    /// Waits until saved streams have to be read for an inquiry.
    pub async fn wants_saved_streams(&self) {
        self.shared.saved_wanted.notified().await;
    }

    /// Waits until the record of software versions may have to change.
    pub async fn may_need_record(&self) {
        self.shared.unrecorded.notified().await;
    }

    /// Runs the actor's ticks until the task is dropped.
    pub async fn run(&self) {
        let mut wait = IDLE_TICK_INTERVAL;
        loop {
            let due = tokio::time::sleep(wait);
            tokio::select! {
                () = due => {}
                () = self.shared.wake.notified() => tokio::time::sleep(WAITING_TICK_INTERVAL).await,
            }
            wait = self.with(Core::tick);
            self.shared.stakker.borrow_mut().run(Instant::now(), false);
        }
    }
}
