//! For how long each engine was the home of a key, within the last half minute.
//!
//! The home of a key follows from the engines that were eligible at a time. All that is kept of the
//! past is therefore when each engine came, left and changed its speed; the homes of any key at any
//! recent time are derived from these when a request needs them.

use std::time::{Duration, Instant};

use ::upstream::Availability;

use super::home::RAMP_UP_TIME;
use super::level::Level;
use super::upstream::Upstream;
use crate::call::PartId;

/// Time between two of the moments that are looked at; the newest is the present.
const TICK: Duration = Duration::from_millis(500);
/// Age of a service's oldest engine up to which others start together with it. They have nothing to
/// take over from each other, and to ramp them up would move each home several times.
const FOUNDING_TIME: Duration = Duration::from_secs(3);
/// Time in which most of the prompts of a key were sent to a new home once.
const WARM_UP_TIME_S: f64 = 2.0;
/// Ticks after which a home is expected to have all shared parts of its keys.
const WARM_TICKS: u32 = 20;

/// Moments at which something held, as bits; the lowest is the present, each further one is
/// [`TICK`] earlier.
pub(super) type Moments = u64;

/// When an engine came, left and changed its speed.
#[derive(Clone, Debug, Default)]
pub(super) struct Tenure {
    /// Whether it started together with the service's oldest engine.
    is_founder: bool,
    /// When it was last seen to have left or to be ejected; `None` while it takes requests.
    left: Option<Instant>,
    /// When the instance stops, as it announced.
    stops: Option<Instant>,
    level: Level,
    /// The level before, and until when it held.
    before: Option<(Level, Instant)>,
    /// When the speed was last followed.
    followed: Option<Instant>,
}

impl Tenure {
    /// Records whether the engine takes requests, and its speed. `oldest` is when the oldest engine of its
    /// service was first seen.
    pub(super) fn observe(
        &mut self,
        (first_seen, oldest): (Instant, Instant),
        takes_requests: bool,
        speed: f64,
        now: Instant,
    ) {
        self.is_founder = first_seen.saturating_duration_since(oldest) < FOUNDING_TIME;
        self.left = match takes_requests {
            true => None,
            false => self.left.or(Some(now)),
        };
        let before = self.level;
        let elapsed = now.saturating_duration_since(self.followed.unwrap_or(first_seen));
        self.followed = Some(now);
        if self.level.follow(speed, elapsed.as_secs_f64()) {
            self.before = Some((before, now));
        }
    }

    /// Records when a reclaimed instance stops.
    pub(super) fn observe_reclaim(&mut self, availability: Availability, now: Instant) {
        match (availability, self.stops) {
            (Availability::Reclaimed { in_ms }, None) => {
                self.stops = now.checked_add(Duration::from_millis(in_ms));
            }
            (Availability::Serving, _) => self.stops = None,
            (Availability::Reclaimed { .. } | Availability::Leaving, _) => {}
        }
    }

    /// Reports whether the instance has stopped, as it announced.
    pub(super) fn is_gone(&self, now: Instant) -> bool {
        self.stops.is_some_and(|stops| stops <= now)
    }
}

/// An engine with one of its recent levels, as a home of a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contender {
    /// Position of the engine among the upstreams.
    pub(super) index: usize,
    /// The highest one is the home among those that are eligible at a moment.
    pub(super) score: f64,
    /// When the engine was eligible with this score.
    pub(super) eligible: Moments,
}

/// Returns the contender for a key that an engine is now, and the one that it was before its speed
/// last changed, if that is recent. `hash` is the hash of both.
pub(super) fn contenders(
    (index, upstream): (usize, &Upstream),
    hash: PartId,
    now: Instant,
) -> [Option<Contender>; 2] {
    let tenure = &upstream.tenure;
    let from = eligible_from(upstream, hash);
    let all = since(from, now) & !tenure.left.map_or(0, |left| since(left, now));
    let contender = |level: Level, eligible: Moments| {
        (eligible != 0).then(|| Contender {
            index,
            score: level.score(hash),
            eligible,
        })
    };
    match tenure.before {
        Some((before, changed)) => {
            let current = since(changed, now);
            [
                contender(tenure.level, all & current),
                contender(before, all & !current),
            ]
        }
        None => [contender(tenure.level, all), None],
    }
}

/// Returns the rank of an engine for a key now: engines that are eligible come first, then those
/// with the higher score.
pub(super) fn rank(upstream: &Upstream, hash: PartId, now: Instant) -> (bool, f64) {
    let is_eligible = eligible_from(upstream, hash) <= now;
    (is_eligible, upstream.tenure.level.score(hash))
}

/// Returns when an engine became or becomes eligible. The delay differs between keys, so that the keys
/// of an engine are spread over [`RAMP_UP_TIME`].
fn eligible_from(upstream: &Upstream, hash: PartId) -> Instant {
    match upstream.tenure.is_founder {
        true => upstream.first_seen,
        false => {
            let delay = (hash & 0xffff) as f64 / f64::from(0xffff);
            upstream.first_seen + RAMP_UP_TIME.mul_f64(delay)
        }
    }
}

/// Returns the moments from `start` on; none if that is in the future.
fn since(start: Instant, now: Instant) -> Moments {
    let Some(age) = now.checked_duration_since(start) else {
        return 0;
    };
    let ticks = age.as_millis() / TICK.as_millis() + 1;
    match ticks < 64 {
        true => (1 << ticks) - 1,
        false => Moments::MAX,
    }
}

/// Returns the share of a key's shared tokens that an engine is expected to have which was its home at
/// the given moments.
pub(super) fn expected_share(home: Moments) -> f64 {
    match home.count_ones() {
        0 => 0.0,
        ticks if ticks >= WARM_TICKS => 1.0,
        ticks => {
            // On average, a home began half a tick after the moment before it.
            let time = (f64::from(ticks) - 0.5) * TICK.as_secs_f64();
            1.0 - (-time / WARM_UP_TIME_S).exp()
        }
    }
}
