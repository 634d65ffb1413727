//! Continuous batching: at each step, requests can join and leave the running batch.

use std::cmp::Reverse;
use std::time::Instant;

use tokio::sync::mpsc::error::TrySendError;
use upstream::Load;

use super::cache::Cache;
use super::history::{End, History};
use super::job::{Job, Output, Usage};

/// The running and waiting requests of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    max_running: usize,
    max_waiting: usize,
    arrivals: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
}

/// Result of one decoding step of a job.
enum Progress {
    Continues,
    Ended(End),
}

impl Batch {
    pub(super) fn new(max_running: u32, max_waiting: usize) -> Batch {
        Batch {
            max_running: max_running as usize,
            max_waiting,
            arrivals: 0,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Reports whether the queue accepts another request.
    pub(super) fn has_capacity(&self) -> bool {
        self.waiting.len() < self.max_waiting
    }

    pub(super) fn push(&mut self, mut job: Job) {
        self.arrivals += 1;
        job.arrival = self.arrivals;
        self.waiting.push(job);
    }

    pub(super) fn in_progress(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    pub(super) fn load(&self) -> Load {
        let computing = self.running.iter().map(|job| job.to_compute as u64);
        let waiting = self.waiting.iter().map(|job| job.context_tokens as u64);
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_prefill_tokens: computing.chain(waiting).sum(),
            age_ms: 0,
        }
    }

    /// Removes a running or waiting request.
    pub(super) fn remove(&mut self, request: &str) -> Option<Job> {
        let matches = |job: &Job| job.request == request;
        match (
            self.running.iter().position(matches),
            self.waiting.iter().position(matches),
        ) {
            (Some(index), _) => Some(self.running.remove(index)),
            (None, Some(index)) => Some(self.waiting.remove(index)),
            (None, None) => None,
        }
    }

    /// Computes up to `prefill` context tokens, and one answer token of each request whose context
    /// is computed.
    pub(super) fn step(&mut self, prefill: f64, cache: &mut Cache, history: &mut History) {
        self.drop_abandoned(history);
        self.admit(cache, history);
        let ready = self.running.iter().map(|job| job.to_compute <= 0.0);
        let ready: Vec<bool> = ready.collect();
        self.compute(prefill, cache);
        let mut index = 0;
        self.running.retain_mut(|job| {
            let was_ready = ready[index];
            index += 1;
            match decode(job, was_ready) {
                Progress::Continues => true,
                Progress::Ended(end) => {
                    end_record(history, job, end);
                    false
                }
            }
        });
        for job in &self.running {
            history.update(job.record, |record| record.position = job.position);
        }
    }

    fn drop_abandoned(&mut self, history: &mut History) {
        let mut keep = |job: &Job| {
            let abandoned = job.output.is_closed();
            if abandoned {
                end_record(history, job, End::Cancelled);
            }
            !abandoned
        };
        self.waiting.retain(&mut keep);
        self.running.retain(&mut keep);
    }

    fn admit(&mut self, cache: &mut Cache, history: &mut History) {
        self.waiting
            .sort_by_key(|job| (Reverse(job.priority), job.arrival));
        let free_slots = self.max_running.saturating_sub(self.running.len());
        let admitted = self.waiting.len().min(free_slots);
        for mut job in self.waiting.drain(..admitted) {
            let available = cache.lookup(&job.blocks).max(job.imported_tokens);
            let cached = available.min(job.context_tokens);
            let computed = job.context_tokens - cached;
            job.to_compute = computed as f64;
            job.usage = Usage {
                cached,
                computed,
                ..job.usage
            };
            history.update(job.record, |record| {
                record.cached_tokens = cached;
                record.computed_tokens = computed;
            });
            self.running.push(job);
        }
    }

    fn compute(&mut self, prefill: f64, cache: &mut Cache) {
        let mut budget = prefill;
        for job in self.running.iter_mut().filter(|job| job.to_compute > 0.0) {
            let computed = job.to_compute.min(budget);
            job.to_compute -= computed;
            budget -= computed;
            if job.to_compute <= 0.0 {
                cache.store(&job.blocks, Instant::now());
            }
            if budget <= 0.0 {
                break;
            }
        }
    }
}

/// Completes the record of a job with its last position and `end`.
pub(super) fn end_record(history: &mut History, job: &Job, end: End) {
    history.update(job.record, |record| {
        record.position = job.position;
        record.end = Some(end);
    });
}

fn decode(job: &mut Job, was_ready: bool) -> Progress {
    if !was_ready {
        return Progress::Continues;
    }
    let output = match job.position < job.length {
        true => Output::Token(job.position),
        false => Output::Finished(Usage {
            completion: job.length,
            ..job.usage
        }),
    };
    match (job.output.try_send(output), output) {
        (Ok(()), Output::Token(_)) => {
            job.position += 1;
            Progress::Continues
        }
        (Ok(()), Output::Finished(_)) => Progress::Ended(End::Finished),
        (Err(TrySendError::Full(_)), _) => Progress::Continues,
        (Err(TrySendError::Closed(_)), _) => Progress::Ended(End::Cancelled),
    }
}
