//! The limits that upstreams name, and permits for single requests under them, at the leader.

use config::duration::bounded;
use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Bucket;

/// Time for which a permit is valid.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Permits that an upstream's bucket holds, as time at its limit, and beyond that. Entries draw too
/// seldom under a small limit to use it up with less.
const BURST: Duration = Duration::from_millis(500);
const SPARE_PERMITS: f64 = 2.0;
/// Permits given out at once, as time at the limit; at least one.
const BATCH: Duration = Duration::from_millis(50);
/// Smallest limit, in requests a second. An upstream that takes none gets a request now and then, so
/// that the end of its limit is noticed.
const MIN_RATE: f64 = 0.05;
/// Shortest and longest time after which a refused entry may draw again.
const DRAW_PAUSE: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(4)];
/// Draws of all entries, relative to the limits that they draw from.
const DRAWS_PER_PERMIT: f64 = 4.0;
/// Time between two permits for an upstream that are given out without a draw.
const OFFER_PERIOD: Duration = Duration::from_secs(1);
/// Time after a refused draw within which permits are kept for draws.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which it is remembered what an upstream said.
const RETENTION: Duration = Duration::from_secs(600);

/// One process of an upstream.
pub type Process = (UpstreamId, Incarnation);

/// What a process of an upstream said about its limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Naming {
    /// The process.
    pub process: Process,
    /// Requests a second from all entries together; `None` for no limit.
    pub rate: Option<f64>,
    /// Time since it was said, in milliseconds.
    pub age_ms: u64,
}

/// Permits for requests to one process of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permit {
    /// The process.
    pub process: Process,
    /// Number of requests.
    pub count: u32,
}

/// Answer to an entry that draws permits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drawn {
    /// The permits; `None` if there are none.
    pub permit: Option<Permit>,
    /// Time after which the entry may draw again if there are none, in milliseconds.
    pub retry_after_ms: u64,
}

/// Limits of upstreams, with a token bucket for each.
#[derive(Debug)]
pub struct Permits {
    upstreams: IndexMap<Process, Upstream>,
    /// Number that grows with each change of a limit.
    number: u64,
}

#[derive(Debug)]
struct Upstream {
    rate: Option<f64>,
    said: Instant,
    bucket: Bucket,
    offered: Instant,
    refused: Option<Instant>,
}

impl Permits {
    /// Starts a term without limits. Numbers of a later term are higher.
    pub fn new(term: u64) -> Self {
        Permits {
            upstreams: IndexMap::new(),
            number: term << 32,
        }
    }

    /// Records what an entry heard from upstreams. Of two statements the later one counts.
    pub fn record(&mut self, namings: &[Naming], now: Instant) {
        self.upstreams
            .retain(|_, upstream| now.saturating_duration_since(upstream.said) < RETENTION);
        for naming in namings {
            let age = Duration::from_millis(naming.age_ms);
            let said = now.checked_sub(age).unwrap_or(now);
            let known = self.upstreams.get(&naming.process);
            if known.is_some_and(|known| known.said >= said) {
                continue;
            }
            let is_change = known.and_then(|known| known.rate) != naming.rate;
            let upstream = self
                .upstreams
                .entry(naming.process.clone())
                .or_insert_with(|| Upstream::new(said, now));
            upstream.said = said;
            if is_change {
                upstream.set_rate(naming.rate, now);
                self.number += 1;
            }
        }
    }

    /// Returns the number of the newest change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns what is known of all upstreams.
    pub fn namings(&self, now: Instant) -> Vec<Naming> {
        let naming = |(process, upstream): (&Process, &Upstream)| {
            let age = now.saturating_duration_since(upstream.said);
            Naming {
                process: process.clone(),
                rate: upstream.rate,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            }
        };
        self.upstreams.iter().map(naming).collect()
    }

    /// Returns permits that nobody has drawn, for an entry that reports.
    pub fn offer(&mut self, now: Instant) -> Vec<Permit> {
        let upstreams = self.upstreams.iter_mut();
        let offered = upstreams.filter_map(|(process, upstream)| {
            upstream.offer(now).then(|| Permit {
                process: process.clone(),
                count: 1,
            })
        });
        offered.collect()
    }

    /// Gives out up to `count` permits for one of the processes `wanted`, to one of `entries`
    /// entries.
    pub fn draw(&mut self, wanted: &[Process], count: u32, entries: u32, now: Instant) -> Drawn {
        let mut rates = 0.0;
        let mut best: Option<(&Process, f64)> = None;
        for process in wanted {
            let Some(upstream) = self.upstreams.get_mut(process) else {
                continue;
            };
            let available = upstream.bucket.available(0.0, now);
            rates += upstream.rate.unwrap_or_default().max(MIN_RATE);
            if upstream.rate.is_some() && best.is_none_or(|(_, most)| available > most) {
                best = Some((process, available));
            }
        }
        if let Some((process, available)) = best
            && available >= 1.0
            && let Some(upstream) = self.upstreams.get_mut(process)
        {
            let count = upstream.take(count, now);
            return Drawn {
                permit: Some(Permit {
                    process: process.clone(),
                    count,
                }),
                retry_after_ms: 0,
            };
        }
        for process in wanted {
            if let Some(upstream) = self.upstreams.get_mut(process) {
                upstream.refused = Some(now);
            }
        }
        Drawn {
            permit: None,
            retry_after_ms: draw_pause(rates, entries),
        }
    }
}

impl Upstream {
    fn new(said: Instant, now: Instant) -> Self {
        let mut upstream = Upstream {
            rate: None,
            said,
            bucket: Bucket::new(MIN_RATE, burst(MIN_RATE), now),
            offered: now,
            refused: None,
        };
        upstream.empty(now);
        upstream
    }

    fn set_rate(&mut self, rate: Option<f64>, now: Instant) {
        let had_limit = std::mem::replace(&mut self.rate, rate).is_some();
        let per_second = rate.unwrap_or_default().max(MIN_RATE);
        self.bucket.set_rate(per_second, burst(per_second), now);
        if !had_limit {
            self.empty(now);
        }
    }

    fn empty(&mut self, now: Instant) {
        self.bucket.cap(self.bucket.capacity(), now);
    }

    /// Takes up to `count` permits from a bucket that has one at least.
    fn take(&mut self, count: u32, now: Instant) -> u32 {
        let batch = self.bucket.rate() * BATCH.as_secs_f64();
        let available = self.bucket.available(0.0, now);
        let count = f64::from(count).min(batch).min(available).max(1.0).floor();
        self.bucket.take(count, 0.0, now);
        count as u32
    }

    fn offer(&mut self, now: Instant) -> bool {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let is_wanted = self.refused.is_some_and(|at| elapsed(at) < DEMAND_LIFETIME);
        if self.rate.is_none() || is_wanted || elapsed(self.offered) < OFFER_PERIOD {
            return false;
        }
        let taken = self.bucket.take(1.0, 0.0, now);
        if taken {
            self.offered = now;
        }
        taken
    }
}

/// Returns what a bucket holds, as time at the limit `rate`.
fn burst(rate: f64) -> Duration {
    BURST + bounded(SPARE_PERMITS / rate)
}

/// Returns the time after which a refused entry may draw again, in milliseconds. `rates` is the sum
/// of the limits that it draws from; 0 if the leader has not heard of them yet.
fn draw_pause(rates: f64, entries: u32) -> u64 {
    let pause = match rates > 0.0 {
        true => f64::from(entries) / (rates * DRAWS_PER_PERMIT),
        false => 0.0,
    };
    let pause = Duration::try_from_secs_f64(pause).unwrap_or(Duration::MAX);
    let pause = pause.clamp(DRAW_PAUSE[0], DRAW_PAUSE[1]);
    u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)
}
