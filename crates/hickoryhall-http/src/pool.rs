//! A bounded pool of worker threads that are started on demand.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

/// Stack size of a worker thread.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle worker thread exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Error for a job that no worker can run now.
#[derive(Debug, thiserror::Error)]
pub enum WorkerUnavailable {
    /// All workers are busy and their number has reached the limit of the pool.
    #[error("all {0} workers are busy")]
    Limit(usize),
    /// The operating system did not start a new thread.
    #[error("no thread: {0}")]
    SpawnFailed(io::Error),
}

/// Pool of threads with small stacks. A job goes to an idle thread if there is one; otherwise a new
/// thread is started, up to the limit.
#[derive(Clone)]
pub struct WorkerPool {
    name: &'static str,
    max_threads: usize,
    thread_count: Arc<AtomicUsize>,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    /// Creates a pool without threads; `name` is the name of each thread, `max_threads` their
    /// largest number.
    #[must_use]
    pub fn new(name: &'static str, max_threads: usize) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            name,
            max_threads,
            thread_count: Arc::new(AtomicUsize::new(0)),
            sender,
            receiver,
        }
    }

    /// Runs a job on an idle worker, or on a new one.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerUnavailable`] if no worker is available. The job is dropped, not queued.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), WorkerUnavailable> {
        match self.sender.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.spawn(job),
        }
    }

    /// Returns the number of worker threads, busy and idle.
    #[must_use]
    pub fn thread_count(&self) -> usize {
        self.thread_count.load(Ordering::Relaxed)
    }

    fn spawn(&self, first_job: Job) -> Result<(), WorkerUnavailable> {
        if self.thread_count.fetch_add(1, Ordering::Relaxed) >= self.max_threads {
            self.thread_count.fetch_sub(1, Ordering::Relaxed);
            return Err(WorkerUnavailable::Limit(self.max_threads));
        }
        let receiver = self.receiver.clone();
        let slot = WorkerSlot(Arc::clone(&self.thread_count));
        thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _slot = slot;
                first_job();
                while let Ok(job) = receiver.recv_timeout(IDLE_TIMEOUT) {
                    job();
                }
            })
            .map(drop)
            .map_err(WorkerUnavailable::SpawnFailed)
    }
}

/// Counts one worker thread until it is dropped, which also happens when the job panics or the
/// thread cannot be started.
struct WorkerSlot(Arc<AtomicUsize>);

impl Drop for WorkerSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
