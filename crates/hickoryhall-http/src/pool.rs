//! Worker threads, started when needed up to a limit.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

/// Stack of a worker thread.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle worker ends.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Every worker is busy and no further one may start.
#[derive(Debug, thiserror::Error)]
pub enum Saturated {
    /// The limit is reached.
    #[error("all {0} workers are busy")]
    Limit(usize),
    /// The system refused a thread.
    #[error("no thread: {0}")]
    NoThread(io::Error),
}

/// Threads with small stacks that run jobs; an idle one is used again before a new one starts.
#[derive(Clone)]
pub struct WorkerPool {
    name: &'static str,
    limit: usize,
    running: Arc<AtomicUsize>,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    /// Creates a pool without threads.
    #[must_use]
    pub fn new(name: &'static str, limit: usize) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            name,
            limit,
            running: Arc::new(AtomicUsize::new(0)),
            sender,
            receiver,
        }
    }

    /// Runs a job on an idle or a new worker.
    ///
    /// # Errors
    ///
    /// Returns [`Saturated`] where the limit is reached; the job is dropped, not queued.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Saturated> {
        match self.sender.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    /// Returns the number of worker threads.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    fn start(&self, first: Job) -> Result<(), Saturated> {
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.limit {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return Err(Saturated::Limit(self.limit));
        }
        let receiver = self.receiver.clone();
        let place = Place(Arc::clone(&self.running));
        thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _place = place;
                first();
                while let Ok(job) = receiver.recv_timeout(IDLE_LIMIT) {
                    job();
                }
            })
            .map(drop)
            .map_err(Saturated::NoThread)
    }
}

/// Gives a worker's place back, also when its job panics or the thread never starts.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
