//! A model engine: continuous batching, chunked prefill and a prefix cache.

use upstream::blocks::{BLOCK_TOKENS, BlockHash};
use upstream::cache::{Change, Contents, Event, Page};
use upstream::{Capacity, Load};

use crate::cache::{BlockMap, Cache};
use crate::job::{Arrival, Job};
use crate::{Micros, SECOND};

/// Prompt tokens computed in one step.
const CHUNK: usize = 256;
/// Time of a step without any work.
const STEP: Micros = 8_000;
/// Waiting requests beyond which the engine refuses.
const MAX_WAITING: usize = 64;
/// Time after which a cache event is published.
const EVENT_DELAY: Micros = SECOND / 2;

/// One engine.
pub(crate) struct Engine {
    pub(crate) capacity: Capacity,
    pub(crate) alive: bool,
    pub(crate) stepping: bool,
    pub(crate) recomputed: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
    cache: Cache,
    events: Vec<(Micros, Event)>,
    chunk: Vec<usize>,
}

/// What one step brought.
pub(crate) struct Step {
    /// Arrivals that got a token.
    pub(crate) tokens: Vec<usize>,
    /// Arrivals that got their last token.
    pub(crate) finished: Vec<usize>,
}

impl Engine {
    pub(crate) fn new(capacity: Capacity) -> Self {
        Engine {
            capacity,
            alive: true,
            stepping: false,
            recomputed: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(capacity.cache_blocks as usize),
            events: Vec::new(),
            chunk: Vec::new(),
        }
    }

    /// Takes a job unless too many wait, and reports whether it did.
    pub(crate) fn accept(&mut self, job: Job) -> bool {
        let room = self.alive && self.waiting.len() < MAX_WAITING;
        if room {
            let at = self.waiting.partition_point(|w| w.priority >= job.priority);
            self.waiting.insert(at, job);
        }
        room
    }

    /// Starts a step and returns its duration, or nothing when there is no work.
    pub(crate) fn start_step(&mut self, arrivals: &[Arrival]) -> Option<Micros> {
        let batch = self.capacity.batch as usize;
        while self.running.len() < batch && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let blocks = &arrivals[job.arrival].blocks;
            job.cached_blocks = self.cache.depth(blocks);
            let cached = job.cached_blocks * BLOCK_TOKENS;
            job.prefill = job.context.saturating_sub(cached).max(1);
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let mut budget = CHUNK;
        self.chunk.clear();
        for job in &self.running {
            let part = job.prefill.min(budget);
            budget -= part;
            self.chunk.push(part);
        }
        let decoding = self.running.iter().filter(|job| job.prefill == 0).count();
        let full = SECOND as f64 / self.capacity.decode_tokens_per_second;
        let per_job = (full - STEP as f64) / f64::from(self.capacity.batch);
        let prefill = (CHUNK - budget) as f64 / self.capacity.prefill_tokens_per_second;
        Some(STEP + (per_job * decoding as f64 + prefill * SECOND as f64) as Micros)
    }

    /// Ends the step that was started last.
    pub(crate) fn end_step(
        &mut self,
        arrivals: &[Arrival],
        computed: &mut BlockMap<()>,
        now: Micros,
    ) -> Step {
        let mut step = Step {
            tokens: Vec::new(),
            finished: Vec::new(),
        };
        let mut running = std::mem::take(&mut self.running);
        for (job, part) in running.iter_mut().zip(std::mem::take(&mut self.chunk)) {
            job.prefill -= part;
            if job.prefill > 0 {
                continue;
            }
            if part > 0 {
                self.computed(job, &arrivals[job.arrival].blocks, computed, now);
            }
            job.left -= 1;
            job.context += 1;
            step.tokens.push(job.arrival);
            if job.left == 0 {
                step.finished.push(job.arrival);
            }
        }
        running.retain(|job| job.left > 0);
        self.running = running;
        step
    }

    fn computed(
        &mut self,
        job: &Job,
        blocks: &[BlockHash],
        computed: &mut BlockMap<()>,
        now: Micros,
    ) {
        let fresh = &blocks[job.cached_blocks.min(blocks.len())..];
        let again = fresh.iter().filter(|b| computed.insert(**b, ()).is_some());
        self.recomputed += (again.count() * BLOCK_TOKENS) as u64;
        let evicted = self.cache.store(blocks);
        self.publish(Change::Stored(fresh.to_vec()), now);
        if !evicted.is_empty() {
            self.publish(Change::Evicted(evicted), now);
        }
    }

    fn publish(&mut self, change: Change, now: Micros) {
        let sequence = self.events.len() as u64 + 1;
        let event = Event { sequence, change };
        self.events.push((now + EVENT_DELAY, event));
    }

    /// Returns the events after `after` that are published, without those that `lost` names.
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

    pub(crate) fn contents(&self) -> Contents {
        Contents {
            blocks: self.cache.blocks(),
            last: self.events.len() as u64,
        }
    }

    pub(crate) fn load(&self, arrivals: &[Arrival]) -> Load {
        let queued = |job: &Job| {
            let cached = self.cache.depth(&arrivals[job.arrival].blocks) * BLOCK_TOKENS;
            job.context.saturating_sub(cached)
        };
        let waiting: usize = self.waiting.iter().map(queued).sum();
        let running: usize = self.running.iter().map(|job| job.prefill).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_prefill_tokens: (waiting + running) as u64,
            age_ms: 0,
        }
    }

    /// Ends the engine, and returns what it had with the tokens still to be generated.
    pub(crate) fn die(&mut self) -> Vec<Job> {
        self.alive = false;
        self.chunk.clear();
        let mut jobs = std::mem::take(&mut self.running);
        jobs.append(&mut self.waiting);
        jobs
    }
}
