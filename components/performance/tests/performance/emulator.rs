//! Engines that compute prompts in chunks between the tokens of other requests, and entries that
//! send requests to them by loads that are some hundred milliseconds old.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use performance::Sample;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Age of the loads that the entries know.
const REPORT_AGE_MS: f64 = 250.0;
/// Number of entries; each knows at once of its own requests only.
const ENTRIES: usize = 10;
/// Advance of the time at which arrivals are made, in milliseconds.
const TICK_MS: f64 = 1.0;

/// What an engine does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) prefill_tokens_per_ms: f64,
    pub(crate) step_ms: f64,
    pub(crate) step_ms_per_request: f64,
    pub(crate) batch: u32,
    /// Tokens that an event carries.
    pub(crate) stride: u32,
    /// Most prompt tokens that are computed in one step.
    pub(crate) chunk: f64,
    /// Time that passes before the first event besides the computation.
    pub(crate) first_ms: f64,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            prefill_tokens_per_ms: 55.0,
            step_ms: 3.0,
            step_ms_per_request: 0.1,
            batch: 64,
            stride: 4,
            chunk: 2_048.0,
            first_ms: 15.0,
        }
    }
}

/// What callers send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traffic {
    pub(crate) requests_per_second: f64,
    pub(crate) mean_tokens: f64,
    pub(crate) mean_events: f64,
    /// Share of the requests that are noise for a learner: cold caches and stalled links.
    pub(crate) outliers: f64,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    sent_ms: f64,
    own_tokens: f64,
    /// Tokens that have to be computed, which the entry may underestimate.
    left: f64,
    tokens_due: u32,
    tokens_made: u32,
    first_event_at: Option<f64>,
    known: (u32, u32),
    longest_pause_ms: f64,
    last_event_at: f64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    now_ms: f64,
    waiting: VecDeque<Request>,
    running: Vec<Request>,
    /// Prompt tokens to compute and requests, as the entries know them.
    reported: (f64, u32),
    /// What each entry sent since the report.
    sent_since: Vec<(f64, u32)>,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    pub(crate) samples: Vec<Sample>,
    pub(crate) in_time: u32,
    pub(crate) total: u32,
}

impl Result {
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total.max(1))
    }
}

/// A number of engines of the same kind.
pub(crate) struct Fleet {
    kind: Kind,
    engines: Vec<Engine>,
    rng: StdRng,
    now_ms: f64,
    target_ms: f64,
    pause_ms: f64,
    result: Result,
}

impl Fleet {
    pub(crate) fn new(
        kind: Kind,
        engines: u32,
        target: Duration,
        pause: Duration,
        seed: u64,
    ) -> Self {
        let engine = Engine {
            sent_since: vec![(0.0, 0); ENTRIES],
            ..Engine::default()
        };
        Fleet {
            kind,
            engines: vec![engine; engines as usize],
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0.0,
            target_ms: target.as_secs_f64() * 1_000.0,
            pause_ms: pause.as_secs_f64() * 1_000.0,
            result: Result::default(),
        }
    }

    /// Plays `traffic` for `time`, and returns what became of the requests that ended in it.
    pub(crate) fn play(&mut self, traffic: &Traffic, time: Duration) -> Result {
        let end = self.now_ms + time.as_secs_f64() * 1_000.0;
        let mut next_report = self.now_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            if self.now_ms >= next_report {
                self.engines.iter_mut().for_each(Engine::report);
                next_report += REPORT_AGE_MS;
            }
            let chance = traffic.requests_per_second / 1_000.0 * TICK_MS;
            if self.rng.random_bool(chance.min(1.0)) {
                self.send(traffic);
            }
            for engine in &mut self.engines {
                while engine.now_ms < self.now_ms {
                    engine.step(&self.kind, &mut self.result, self.target_ms, self.pause_ms);
                }
            }
        }
        std::mem::take(&mut self.result)
    }

    fn send(&mut self, traffic: &Traffic) {
        let entry = self.rng.random_range(0..ENTRIES);
        let own_tokens = traffic.mean_tokens * self.exponential().clamp(0.02, 8.0);
        let mean_tokens = traffic.mean_events * f64::from(self.kind.stride);
        let tokens_due = (mean_tokens * self.exponential().clamp(0.05, 6.0)) as u32 + 1;
        let is_outlier = self.rng.random_bool(traffic.outliers);
        let outlier_tokens = if is_outlier {
            4.0 * traffic.mean_tokens
        } else {
            0.0
        };
        let load = |engine: &Engine| {
            let (tokens, requests) = engine.known(entry);
            tokens / self.kind.prefill_tokens_per_ms + f64::from(requests) * self.kind.step_ms
        };
        let by_load =
            |a: &usize, b: &usize| load(&self.engines[*a]).total_cmp(&load(&self.engines[*b]));
        let chosen = (0..self.engines.len())
            .min_by(by_load)
            .expect("there are engines");
        let engine = &mut self.engines[chosen];
        let (queued, in_flight) = engine.known(entry);
        engine.sent_since[entry].0 += own_tokens;
        engine.sent_since[entry].1 += 1;
        engine.waiting.push_back(Request {
            entry,
            sent_ms: self.now_ms,
            own_tokens,
            left: own_tokens + outlier_tokens,
            tokens_due,
            tokens_made: 0,
            first_event_at: None,
            known: (queued as u32, in_flight),
            longest_pause_ms: 0.0,
            last_event_at: 0.0,
        });
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}

impl Engine {
    fn known(&self, entry: usize) -> (f64, u32) {
        let (tokens, requests) = self.sent_since[entry];
        (self.reported.0 + tokens, self.reported.1 + requests)
    }

    fn report(&mut self) {
        let all = self.waiting.iter().chain(&self.running);
        let requests = self.waiting.len() + self.running.len();
        let tokens = all.filter(|request| request.left > 0.0);
        self.reported = (
            tokens.map(|request| request.own_tokens).sum(),
            requests as u32,
        );
        self.sent_since.fill((0.0, 0));
    }

    /// Makes one token of each running request, and computes one chunk of prompts.
    fn step(&mut self, kind: &Kind, result: &mut Result, target_ms: f64, pause_ms: f64) {
        while self.running.len() < kind.batch as usize
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push(request);
        }
        let mut budget = kind.chunk;
        let mut computed = 0.0;
        for request in &mut self.running {
            let tokens = request.left.min(budget);
            request.left -= tokens;
            budget -= tokens;
            computed += tokens;
        }
        let decoding = self
            .running
            .iter()
            .filter(|request| request.left <= 0.0)
            .count();
        if decoding == 0 && computed == 0.0 {
            self.now_ms += TICK_MS;
            return;
        }
        let others = decoding.saturating_sub(1) as f64;
        self.now_ms += kind.step_ms
            + others * kind.step_ms_per_request
            + computed / kind.prefill_tokens_per_ms;
        let now = self.now_ms;
        for request in self
            .running
            .iter_mut()
            .filter(|request| request.left <= 0.0)
        {
            request.make_token(kind, now);
        }
        self.running.retain(|request| {
            let is_done = request.tokens_made >= request.tokens_due;
            if is_done {
                request.finish(kind, now, result, target_ms, pause_ms);
            }
            !is_done
        });
    }
}

impl Request {
    fn make_token(&mut self, kind: &Kind, now: f64) {
        self.tokens_made += 1;
        match self.first_event_at {
            None => {
                self.first_event_at = Some(now + kind.first_ms);
                self.last_event_at = now;
            }
            Some(_) if (self.tokens_made - 1).is_multiple_of(kind.stride) => {
                self.longest_pause_ms = self.longest_pause_ms.max(now - self.last_event_at);
                self.last_event_at = now;
            }
            Some(_) => {}
        }
    }

    fn finish(&self, kind: &Kind, now: f64, result: &mut Result, target_ms: f64, pause_ms: f64) {
        let first_event_at = self.first_event_at.unwrap_or(now);
        let first_event_ms = first_event_at - self.sent_ms;
        assert!(self.entry < ENTRIES);
        result.total += 1;
        result.in_time +=
            u32::from(first_event_ms <= target_ms && self.longest_pause_ms <= pause_ms);
        result.samples.push(Sample {
            own_tokens: self.own_tokens as u32,
            queued_tokens: self.known.0,
            in_flight: self.known.1,
            first_event_ms: first_event_ms as u32,
            events: (self.tokens_made - 1) / kind.stride + 1,
            stream_ms: (self.last_event_at + kind.first_ms - first_event_at).max(0.0) as u32,
        });
    }
}

/// Returns the time `ms` after a fixed start.
pub(crate) fn at(start: Instant, ms: f64) -> Instant {
    start + Duration::from_secs_f64(ms / 1_000.0)
}
