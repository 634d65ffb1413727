//! Simulated engine with continuous batching, chunked prefill and a prefix cache.

use upstream::blocks::{BLOCK_TOKENS, BlockHash};
use upstream::cache::{Change, Contents, Event, Page};
use upstream::{Capacity, Load};

use crate::cache::{BlockMap, Cache};
use crate::job::{Arrival, Job};
use crate::{Micros, SECOND};

/// Most prompt tokens that one step computes.
const CHUNK_TOKENS: usize = 256;
/// Duration of a step before the time for its tokens is added.
const BASE_STEP_TIME: Micros = 8_000;
/// Most waiting requests; further ones are refused.
const MAX_WAITING: usize = 64;
/// Delay after which a cache event is published.
const EVENT_DELAY: Micros = SECOND / 2;

/// Engine in a simulation.
pub(crate) struct Engine {
    pub(crate) capacity: Capacity,
    pub(crate) alive: bool,
    /// Whether a step has been started and not ended.
    pub(crate) stepping: bool,
    /// Prompt tokens computed here although an engine had computed them before.
    pub(crate) recomputed_tokens: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
    cache: Cache,
    /// Cache events with the times at which they are published.
    events: Vec<(Micros, Event)>,
    /// Prompt tokens of the current step for each running job.
    chunk: Vec<usize>,
}

/// Result of a step.
pub(crate) struct Step {
    /// Indices of the arrivals for which a token was generated.
    pub(crate) advanced: Vec<usize>,
    /// Indices of the arrivals whose last token was generated.
    pub(crate) finished: Vec<usize>,
}

impl Engine {
    pub(crate) fn new(capacity: Capacity) -> Self {
        Engine {
            capacity,
            alive: true,
            stepping: false,
            recomputed_tokens: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(capacity.cache_blocks as usize),
            events: Vec::new(),
            chunk: Vec::new(),
        }
    }

    /// Queues a job by priority unless [`MAX_WAITING`] jobs wait, and reports whether it did.
    pub(crate) fn accept(&mut self, job: Job) -> bool {
        let accepted = self.alive && self.waiting.len() < MAX_WAITING;
        if accepted {
            let index = self.waiting.partition_point(|w| w.priority >= job.priority);
            self.waiting.insert(index, job);
        }
        accepted
    }

    /// Starts a step and returns its duration, or none when there is no work.
    pub(crate) fn start_step(&mut self, arrivals: &[Arrival]) -> Option<Micros> {
        let batch = self.capacity.batch as usize;
        while self.running.len() < batch && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let blocks = &arrivals[job.arrival].blocks;
            job.cached_blocks = self.cache.prefix_len(blocks);
            let cached = job.cached_blocks * BLOCK_TOKENS;
            job.prefill_tokens = job.context_tokens.saturating_sub(cached).max(1);
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut budget = CHUNK_TOKENS;
        self.chunk.clear();
        for job in &self.running {
            let part = job.prefill_tokens.min(budget);
            budget -= part;
            self.chunk.push(part);
        }
        let decoding = self
            .running
            .iter()
            .filter(|job| job.prefill_tokens == 0)
            .count();
        let full_step_time = SECOND as f64 / self.capacity.decode_tokens_per_second;
        let time_per_job =
            (full_step_time - BASE_STEP_TIME as f64) / f64::from(self.capacity.batch);
        let prefill_seconds =
            (CHUNK_TOKENS - budget) as f64 / self.capacity.prefill_tokens_per_second;
        Some(
            BASE_STEP_TIME
                + (time_per_job * decoding as f64 + prefill_seconds * SECOND as f64) as Micros,
        )
    }

    /// Ends the step that was started last.
    pub(crate) fn end_step(
        &mut self,
        arrivals: &[Arrival],
        computed: &mut BlockMap<()>,
        now: Micros,
    ) -> Step {
        let mut step = Step {
            advanced: Vec::new(),
            finished: Vec::new(),
        };
        let mut running = std::mem::take(&mut self.running);
        for (job, part) in running.iter_mut().zip(std::mem::take(&mut self.chunk)) {
            job.prefill_tokens -= part;
            if job.prefill_tokens > 0 {
                continue;
            }
            if part > 0 {
                self.finish_prefill(job, &arrivals[job.arrival].blocks, computed, now);
            }
            job.remaining_tokens -= 1;
            job.context_tokens += 1;
            step.advanced.push(job.arrival);
            if job.remaining_tokens == 0 {
                step.finished.push(job.arrival);
            }
        }
        running.retain(|job| job.remaining_tokens > 0);
        self.running = running;
        step
    }

    /// Stores the blocks of a prompt, and counts those that an engine has computed before.
    fn finish_prefill(
        &mut self,
        job: &Job,
        blocks: &[BlockHash],
        computed: &mut BlockMap<()>,
        now: Micros,
    ) {
        let uncached = &blocks[job.cached_blocks.min(blocks.len())..];
        let recomputed = uncached
            .iter()
            .filter(|b| computed.insert(**b, ()).is_some());
        self.recomputed_tokens += (recomputed.count() * BLOCK_TOKENS) as u64;
        let evicted = self.cache.store(blocks);
        self.publish(Change::Stored(uncached.to_vec()), now);
        if !evicted.is_empty() {
            self.publish(Change::Evicted(evicted), now);
        }
    }

    fn publish(&mut self, change: Change, now: Micros) {
        let sequence = self.events.len() as u64 + 1;
        let event = Event { sequence, change };
        self.events.push((now + EVENT_DELAY, event));
    }

    /// Returns the events after sequence number `after` that have been published by `now`, without
    /// those for which `lost` returns true.
    pub(crate) fn page(&self, after: u64, now: Micros, lost: impl Fn(u64) -> bool) -> Page {
        let published = self.events.partition_point(|(at, _)| *at <= now);
        let from = (after as usize).min(published);
        let events = self.events[from..published].iter();
        Page {
            events: events
                .map(|(_, event)| event.clone())
                .filter(|event| !lost(event.sequence))
                .collect(),
            last: published as u64,
        }
    }

    /// Returns all cached blocks and the sequence number of the last event.
    pub(crate) fn contents(&self) -> Contents {
        Contents {
            blocks: self.cache.blocks(),
            last: self.events.len() as u64,
        }
    }

    /// Returns the current load.
    pub(crate) fn load(&self, arrivals: &[Arrival]) -> Load {
        let queued = |job: &Job| {
            let cached = self.cache.prefix_len(&arrivals[job.arrival].blocks) * BLOCK_TOKENS;
            job.context_tokens.saturating_sub(cached)
        };
        let waiting: usize = self.waiting.iter().map(queued).sum();
        let running: usize = self.running.iter().map(|job| job.prefill_tokens).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_prefill_tokens: (waiting + running) as u64,
            age_ms: 0,
        }
    }

    /// Kills the engine and returns its running and waiting jobs.
    pub(crate) fn kill(&mut self) -> Vec<Job> {
        self.alive = false;
        self.chunk.clear();
        let mut jobs = std::mem::take(&mut self.running);
        jobs.append(&mut self.waiting);
        jobs
    }
}
