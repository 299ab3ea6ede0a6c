//! Simulated engine with prefill, batched decoding and a prefix cache; the caller passes the time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::PrefixCache;

/// Id of a job, unique in its engine.
pub type JobId = u64;
/// Key of a piece of a prompt, a hash of the prompt from its beginning to the end of the piece.
pub type PieceKey = u64;

/// Unit in which prompts are cached: about 2,000 tokens, or fewer at the end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Identifies the piece together with all text before it.
    pub key: PieceKey,
    /// Length of the piece.
    pub tokens: u32,
}

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineConfig {
    /// Capacity of the prefix cache.
    pub cache_tokens: u64,
    /// Rate at which prompts are computed; the engine computes one prompt at a time.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of an answer.
    pub decode_interval: Duration,
    /// Maximum number of answers decoded at the same time.
    pub max_batch: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            cache_tokens: 120_000,
            prefill_tokens_per_s: 16_000,
            decode_interval: Duration::from_millis(20),
            max_batch: 64,
        }
    }
}

/// A request to generate an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Id that events refer to, unique in the engine.
    pub id: JobId,
    /// Pieces of the prompt, in order.
    pub pieces: Vec<Piece>,
    /// Number of tokens to generate, at least 1.
    pub output_tokens: u32,
    /// Priority; a lower number is served first, equal numbers in order of arrival.
    pub priority: u32,
}

/// Something that happened in an engine while time advanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A job generated its first token.
    FirstToken {
        /// Id of the job.
        id: JobId,
        /// Tokens of the prompt that were cached when its prefill started.
        cached_tokens: u32,
        /// Time of the token.
        at: Instant,
    },
    /// A job generated further tokens.
    Tokens {
        /// Id of the job.
        id: JobId,
        /// Number of tokens of the answer generated so far.
        count: u32,
    },
    /// A job generated its last token.
    Done {
        /// Id of the job.
        id: JobId,
        /// Time of the token.
        at: Instant,
    },
    /// A piece was stored in the cache, or was used again if it was cached before.
    Stored(PieceKey),
    /// A piece was evicted from the cache.
    Evicted(PieceKey),
}

#[derive(Clone, Debug)]
struct Prefill {
    job: Job,
    cached_tokens: u32,
    done_at: Instant,
}

#[derive(Clone, Debug)]
struct Decoding {
    job: Job,
    first_token_at: Instant,
    reported_tokens: u32,
}

/// Simulated model engine; the caller passes the current time.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    config: EngineConfig,
    incarnation: u64,
    cache: PrefixCache,
    waiting: VecDeque<Job>,
    prefill: Option<Prefill>,
    batch: Vec<Decoding>,
}

impl SimulatedEngine {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            incarnation: 1,
            cache: PrefixCache::new(config.cache_tokens),
            waiting: VecDeque::new(),
            prefill: None,
            batch: Vec::new(),
        }
    }

    /// Queues a job. The engine must have been advanced to `now` before.
    pub fn submit(&mut self, now: Instant, job: Job) {
        let index = self
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(index, job);
        self.start_prefill(now);
    }

    /// Cancels a job in any state, if it exists; pieces that it stored stay in the cache.
    pub fn cancel(&mut self, now: Instant, id: JobId) {
        self.waiting.retain(|job| job.id != id);
        if let Some(prefill) = self.prefill.take_if(|prefill| prefill.job.id == id) {
            self.cache.unpin(&prefill.job.pieces);
        }
        if let Some(index) = self.batch.iter().position(|decoding| decoding.job.id == id) {
            let ended = self.batch.swap_remove(index);
            self.cache.unpin(&ended.job.pieces);
        }
        self.start_prefill(now);
    }

    /// Drops all jobs and the cache, as a crash does, and starts the next incarnation.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.cache.clear();
        self.waiting.clear();
        self.prefill = None;
        self.batch.clear();
    }

    /// Empties the cache, as a change of the weights version requires.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Returns the time of the next event.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Instant> {
        let prefill = self.prefill.iter().map(|prefill| prefill.done_at);
        let decode = self
            .batch
            .iter()
            .map(|decoding| self.token_at(decoding, decoding.reported_tokens));
        prefill.chain(decode).min()
    }

    /// Returns the time at which the running prefill or the next answer ends, whichever is earlier.
    #[must_use]
    pub fn next_completion_at(&self) -> Option<Instant> {
        let prefill = self.prefill.iter().map(|prefill| prefill.done_at);
        let ends = self
            .batch
            .iter()
            .map(|decoding| self.token_at(decoding, decoding.job.output_tokens - 1));
        prefill.chain(ends).min()
    }

    /// Advances the engine to `now` and appends the events since the last call, in order.
    pub fn advance(&mut self, now: Instant, events: &mut Vec<EngineEvent>) {
        while let Some(at) = self.next_completion_at().filter(|&at| at <= now) {
            self.finish_prefill(at, events);
            self.finish_answers(at, events);
            self.start_prefill(at);
        }
        self.report_tokens(now, events);
    }

    /// Returns the number of prompt tokens that are not computed yet, including the rest of the
    /// running prefill.
    #[must_use]
    pub fn waiting_tokens(&self, now: Instant) -> u64 {
        let remaining_tokens = self.prefill.as_ref().map_or(0.0, |prefill| {
            let time_left_s = prefill.done_at.saturating_duration_since(now).as_secs_f64();
            time_left_s * f64::from(self.config.prefill_tokens_per_s)
        });
        let queued = self
            .waiting
            .iter()
            .map(|job| self.missing_tokens(&job.pieces));
        remaining_tokens as u64 + queued.map(u64::from).sum::<u64>()
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    #[must_use]
    pub fn cached_tokens(&self, pieces: &[Piece]) -> u32 {
        self.cache.cached_tokens(pieces)
    }

    /// Stores pieces in the cache that another server computed; reports no events.
    pub fn import(&mut self, pieces: &[Piece]) {
        self.cache.store(pieces);
    }

    /// Returns the number of waiting and running jobs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.waiting.len() + usize::from(self.prefill.is_some()) + self.batch.len()
    }

    /// Returns the incarnation, which starts at 1 and increases with each crash.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the speed and capacity of the engine.
    #[must_use]
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    fn missing_tokens(&self, pieces: &[Piece]) -> u32 {
        let all = pieces.iter().map(|piece| piece.tokens).sum::<u32>();
        all - self.cache.cached_tokens(pieces)
    }

    fn start_prefill(&mut self, now: Instant) {
        if self.prefill.is_some() || self.batch.len() >= self.config.max_batch {
            return;
        }
        let Some(job) = self.waiting.pop_front() else {
            return;
        };
        let missing = self.missing_tokens(&job.pieces);
        let cached_tokens = self.cache.cached_tokens(&job.pieces);
        let rate = f64::from(self.config.prefill_tokens_per_s);
        let done_at = now + Duration::from_secs_f64(f64::from(missing) / rate);
        self.cache.pin(&job.pieces);
        self.prefill = Some(Prefill {
            job,
            cached_tokens,
            done_at,
        });
    }

    fn finish_prefill(&mut self, at: Instant, events: &mut Vec<EngineEvent>) {
        let Some(prefill) = self.prefill.take_if(|prefill| prefill.done_at <= at) else {
            return;
        };
        let Prefill {
            job, cached_tokens, ..
        } = prefill;
        self.cache.unpin(&job.pieces);
        let evicted = self.cache.store(&job.pieces);
        self.cache.pin(&job.pieces);
        events.extend(
            job.pieces
                .iter()
                .map(|piece| EngineEvent::Stored(piece.key)),
        );
        events.extend(evicted.into_iter().map(EngineEvent::Evicted));
        events.push(EngineEvent::FirstToken {
            id: job.id,
            cached_tokens,
            at,
        });
        self.batch.push(Decoding {
            job,
            first_token_at: at,
            reported_tokens: 1,
        });
    }

    fn finish_answers(&mut self, at: Instant, events: &mut Vec<EngineEvent>) {
        let mut index = 0;
        while index < self.batch.len() {
            let decoding = &self.batch[index];
            if self.token_at(decoding, decoding.job.output_tokens - 1) > at {
                index += 1;
                continue;
            }
            let ended = self.batch.remove(index);
            if ended.reported_tokens < ended.job.output_tokens {
                let count = ended.job.output_tokens;
                events.push(EngineEvent::Tokens {
                    id: ended.job.id,
                    count,
                });
            }
            events.push(EngineEvent::Done {
                id: ended.job.id,
                at,
            });
            self.cache.unpin(&ended.job.pieces);
        }
    }

    fn report_tokens(&mut self, now: Instant, events: &mut Vec<EngineEvent>) {
        let interval = self.config.decode_interval;
        for decoding in &mut self.batch {
            let steps = now
                .saturating_duration_since(decoding.first_token_at)
                .as_nanos()
                / interval.as_nanos().max(1);
            let count = (steps as u32 + 1).min(decoding.job.output_tokens);
            if count > decoding.reported_tokens {
                decoding.reported_tokens = count;
                events.push(EngineEvent::Tokens {
                    id: decoding.job.id,
                    count,
                });
            }
        }
    }

    fn token_at(&self, decoding: &Decoding, index: u32) -> Instant {
        decoding.first_token_at + self.config.decode_interval * index
    }
}
