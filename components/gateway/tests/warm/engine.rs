//! An engine that keeps the parts of prompts which it computed or fetched.

use std::collections::VecDeque;
use std::net::SocketAddr;

use gateway::Prompt;
use gateway::balancer::Choice;
use indexmap::IndexMap;

use crate::traffic::Kind;

/// Tokens that an engine of usual speed computes in a millisecond.
pub(crate) const TOKENS_PER_MS: f64 = 61.2;
/// Tokens that fit into the cache.
const CACHE_TOKENS: u32 = 568_270;
/// Requests that run at the same time.
pub(crate) const BATCH: u32 = 64;
/// Time between two events, in milliseconds.
const EVENT_MS: f64 = 9.0;
/// Tokens that a link carries in a millisecond: 10 GB/s, and 18 KB a token.
const LINK_TOKENS_PER_MS: f64 = 555.0;
/// Time that a fetch takes besides the transfer, in milliseconds.
const FETCH_MS: f64 = 2.0;

/// Cached parts, each with its tokens and when it was last used, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    parts: IndexMap<u64, (u32, f64)>,
    tokens: u32,
}

impl Cache {
    pub(crate) fn has(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Adds a part, or counts it as used.
    fn touch(&mut self, part: u64, tokens: u32, now: f64) {
        if self.parts.insert(part, (tokens, now)).is_none() {
            self.tokens += tokens;
        }
        while self.tokens > CACHE_TOKENS {
            let oldest = self.parts.iter();
            let oldest = oldest.min_by(|a, b| a.1.1.total_cmp(&b.1.1));
            let Some((part, (tokens, _))) = oldest.map(|(part, value)| (*part, *value)) else {
                return;
            };
            self.parts.swap_remove(&part);
            self.tokens -= tokens;
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) entry: usize,
    pub(crate) kind: Kind,
    pub(crate) prompt: Prompt,
    pub(crate) choice: Choice,
    /// When the caller sent it and when the entry did, in milliseconds.
    pub(crate) arrived: f64,
    pub(crate) sent: f64,
    pub(crate) tries: u32,
}

impl Job {
    pub(crate) fn shared(&self) -> (u64, u32) {
        let part = &self.prompt.parts[0];
        (part.id, part.tokens)
    }
}

/// What an engine did in a step.
pub(crate) enum Done {
    /// Computed a prompt, with or without its shared part.
    Computed(Job, bool),
    Finished(Job),
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: usize,
    pub(crate) speed: f64,
    pub(crate) cache: Cache,
    /// Until when the link is busy, and until when other workloads slow the engine.
    pub(crate) link_until: f64,
    pub(crate) slow_until: f64,
    fetching: Vec<(f64, SocketAddr, Job)>,
    queue: VecDeque<Job>,
    /// Tokens of the first prompt in the queue that are not computed yet.
    left: Option<(f64, bool)>,
    running: Vec<(f64, Job)>,
}

impl Engine {
    pub(crate) fn new(address: SocketAddr, data_centre: usize, speed: f64) -> Self {
        Engine {
            address,
            data_centre,
            speed,
            cache: Cache::default(),
            link_until: 0.0,
            slow_until: 0.0,
            fetching: Vec::new(),
            queue: VecDeque::new(),
            left: None,
            running: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Reports whether a part is being fetched, and until when.
    pub(crate) fn fetched_at(&self, part: u64) -> Option<f64> {
        let fetching = self.fetching.iter();
        let same = fetching.filter(|(_, _, job)| job.shared().0 == part);
        same.map(|(at, _, _)| *at).reduce(f64::max)
    }

    /// Lets a request wait until its shared part has come from another engine.
    pub(crate) fn fetch(&mut self, job: Job, from: SocketAddr, ready: f64) {
        self.fetching.push((ready, from, job));
    }

    /// Returns the running and the waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        let waiting = self.queue.len() + self.fetching.len();
        (self.running.len() as u32, waiting as u32)
    }

    /// Returns all requests of an engine that has stopped.
    pub(crate) fn stop(self) -> Vec<Job> {
        let fetching = self.fetching.into_iter().map(|(_, _, job)| job);
        let running = self.running.into_iter().map(|(_, job)| job);
        fetching.chain(self.queue).chain(running).collect()
    }

    /// Works from `now` on for `ms`. `is_up` tells whether the engine at an address still runs.
    pub(crate) fn work(
        &mut self,
        now: f64,
        ms: f64,
        is_up: impl Fn(SocketAddr) -> bool,
    ) -> Vec<Done> {
        let mut done = Vec::new();
        let mut index = 0;
        while index < self.fetching.len() {
            if self.fetching[index].0 > now {
                index += 1;
                continue;
            }
            let (_, from, job) = self.fetching.remove(index);
            if is_up(from) {
                let (part, tokens) = job.shared();
                self.cache.touch(part, tokens, now);
            }
            self.queue.push_back(job);
        }
        let slowdown = if now < self.slow_until { 2.5 } else { 1.0 };
        let mut budget = ms * TOKENS_PER_MS * self.speed / slowdown;
        while budget > 0.0 && self.running.len() < BATCH as usize {
            let Some(first) = self.queue.front() else {
                break;
            };
            let (part, tokens) = first.shared();
            let has_shared = self.cache.has(part);
            let (left, computes_shared) = self.left.get_or_insert_with(|| match has_shared {
                true => (f64::from(first.prompt.input_tokens - tokens), false),
                false => (f64::from(first.prompt.input_tokens), true),
            });
            let step = left.min(budget);
            *left -= step;
            budget -= step;
            if *left > 0.0 {
                break;
            }
            let computes_shared = *computes_shared;
            self.left = None;
            if let Some(job) = self.queue.pop_front() {
                for part in &job.prompt.parts {
                    self.cache.touch(part.id, part.tokens, now);
                }
                let events = f64::from(job.kind.events) * EVENT_MS * slowdown / self.speed;
                self.running.push((now + events, job.clone()));
                done.push(Done::Computed(job, computes_shared));
            }
        }
        let (ended, running): (Vec<_>, _) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(end, _)| *end <= now);
        self.running = running;
        done.extend(ended.into_iter().map(|(_, job)| Done::Finished(job)));
        done
    }
}

/// Returns when a transfer of `tokens` over the links of two engines ends, and keeps both busy.
pub(crate) fn transfer(to: &mut Engine, from: &mut Engine, tokens: u32, now: f64) -> f64 {
    let start = now.max(to.link_until).max(from.link_until);
    let end = start + f64::from(tokens) / LINK_TOKENS_PER_MS;
    to.link_until = end;
    from.link_until = end;
    end + FETCH_MS
}
