//! The choice among the candidates of one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::text::Kind;
use upstream::blocks::BlockHash;

use crate::affinity;
use crate::candidate::Candidate;
use crate::estimate::Estimate;
use crate::table::Group;
use crate::{Choice, Prefixes, Refusal, Request, Settings, Ticket};

/// Upstreams nearest to a key that are scored, and as many at random, when there are too many to
/// score all.
const NEAREST: usize = 8;
/// Upstreams up to which all are scored.
const MAX_SCORED: usize = 2 * NEAREST;
/// Largest difference, in seconds, by which entries break near ties differently.
const JITTER: f64 = 0.004;
/// Weight that a full batch adds to computing a prompt, since that delays all who decode.
const LOAD_WEIGHT: f64 = 5.0;
/// Mean fill up to which a request that would be late goes to another upstream. Beyond it the
/// prompt computed anew would make more requests late than it saves.
const SPILL_FILL: f64 = 0.5;
/// Fill above the mean at which a key's home is no longer preferred.
const HOME_BOUND: f64 = 1.25;
/// Fill that is added to the bound, so that an idle fleet has homes.
const HOME_SLACK: f64 = 0.5;
/// Shortest time after which a refused caller is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One choice.
pub(super) struct Selection<'a> {
    pub(super) settings: &'a Settings,
    pub(super) group: &'a Group,
    pub(super) request: &'a Request<'a>,
    pub(super) seen: &'a Prefixes,
    pub(super) turn: u64,
    pub(super) now: Instant,
}

struct Scored<'a> {
    candidate: &'a Arc<Candidate>,
    estimate: Estimate,
    score: f64,
}

impl Selection<'_> {
    pub(super) fn choose(&self, candidates: &[Arc<Candidate>]) -> Result<Choice, Refusal> {
        let key = affinity::key(self.request.blocks, self.seen);
        let mut scored = self.estimated(candidates, key);
        let fills = scored.iter().map(|s| s.estimate.fill).sum::<f64>();
        let mean_fill = fills / scored.len().max(1) as f64;
        let home = key.and_then(|key| home(&scored, key, mean_fill));
        for s in &mut scored {
            s.score = self.score(s, home, mean_fill);
        }
        let best = self.best(&scored, mean_fill)?;
        Ok(self.choice(best, home, scored.len()))
    }

    /// Returns the usable candidates with their estimates, not yet scored.
    fn estimated<'a>(
        &self,
        candidates: &'a [Arc<Candidate>],
        key: Option<BlockHash>,
    ) -> Vec<Scored<'a>> {
        let hint = self.seen.depth(self.request.blocks, 0);
        let scored = |candidate: &'a Arc<Candidate>| Scored {
            candidate,
            estimate: Estimate::new(candidate, self.group, self.request, hint, self.now),
            score: 0.0,
        };
        let usable = |candidate: &&'a Arc<Candidate>| self.is_usable(candidate);
        let mut all = Vec::with_capacity(MAX_SCORED.min(candidates.len()));
        if candidates.len() > MAX_SCORED {
            let sample = self.sample(candidates, key).into_iter();
            all.extend(sample.filter(usable).map(scored));
        }
        if all.is_empty() {
            all.extend(candidates.iter().filter(usable).map(scored));
        }
        all
    }

    /// Returns the candidate with the least score, or one that is in time where that one is late
    /// and the fleet has room.
    fn best<'a>(&self, all: &'a [Scored<'a>], mean_fill: f64) -> Result<&'a Scored<'a>, Refusal> {
        let by_score = |a: &&Scored<'_>, b: &&Scored<'_>| a.score.total_cmp(&b.score);
        let in_time = |s: &&Scored<'_>| s.estimate.cautious_first_token() <= self.group.target;
        let best = all.iter().min_by(by_score).ok_or(Refusal::NoUpstream)?;
        let spill = || all.iter().filter(in_time).min_by(by_score);
        match best {
            best if in_time(&best) => Ok(best),
            best if mean_fill < SPILL_FILL => spill().map_or_else(|| self.late(best, all), Ok),
            best => self.late(best, all),
        }
    }

    /// Returns `best`, which is late, for a request that is not refused for that.
    fn late<'a>(
        &self,
        best: &'a Scored<'a>,
        all: &[Scored<'_>],
    ) -> Result<&'a Scored<'a>, Refusal> {
        if self.group.kind == Kind::Plain || self.request.resumed {
            return Ok(best);
        }
        let times = all.iter().map(|s| s.estimate.cautious_first_token());
        let soonest = times.fold(f64::INFINITY, f64::min);
        let backlog = Duration::from_secs_f64((soonest - self.group.target).max(0.0));
        Err(Refusal::Overloaded {
            retry_after: backlog.max(MIN_RETRY_AFTER),
        })
    }

    /// Returns the key's nearest candidates and as many at random.
    fn sample<'a>(
        &self,
        candidates: &'a [Arc<Candidate>],
        key: Option<BlockHash>,
    ) -> Vec<&'a Arc<Candidate>> {
        let draw = affinity::weight(self.turn, self.settings.seed);
        let near = nearest(candidates, key.unwrap_or(draw));
        let mut sample: Vec<&Arc<Candidate>> = near.iter().map(|at| &candidates[*at]).collect();
        for n in 0..NEAREST as u64 {
            let at = affinity::weight(draw, n) as usize % candidates.len();
            if !near.contains(&at) {
                sample.push(&candidates[at]);
            }
        }
        sample
    }

    fn is_usable(&self, candidate: &Candidate) -> bool {
        let excluded = self.request.exclude.contains(&candidate.upstream);
        self.now < candidate.expires && !excluded && candidate.takes(self.request.phase)
    }

    fn score(&self, scored: &Scored<'_>, home: Option<u64>, mean_fill: f64) -> f64 {
        let Scored {
            candidate,
            estimate,
            ..
        } = scored;
        let weights = self.group.weights;
        let full = self.request.prompt_tokens as f64
            / candidate.capacity.prefill_tokens_per_second.max(1.0);
        let at_home = match home {
            Some(home) if home == candidate.hash => weights.home * full,
            _ => 0.0,
        };
        let tie = affinity::weight(self.turn ^ self.settings.seed, candidate.hash);
        estimate.queue
            + estimate.network
            + estimate.prefill * weights.prefill * (1.0 + mean_fill * LOAD_WEIGHT)
            + candidate.price * weights.price
            + affinity::fraction(tie) * JITTER
            - at_home
    }

    fn choice(&self, best: &Scored<'_>, home: Option<u64>, considered: usize) -> Choice {
        let candidate = best.candidate;
        let estimate = &best.estimate;
        let uncached = self.request.prompt_tokens - estimate.cached_tokens;
        Choice {
            upstream: candidate.upstream.clone(),
            address: candidate.address,
            expected_first_token: Duration::from_secs_f64(estimate.first_token()),
            cached_tokens: estimate.cached_tokens,
            considered,
            reason: reason(best, home),
            ticket: Ticket::new(Arc::clone(&candidate.tracker), uncached as u64),
        }
    }
}

/// Returns the positions of the candidates with the largest weights for `key`.
fn nearest(candidates: &[Arc<Candidate>], key: BlockHash) -> [usize; NEAREST] {
    let mut best = [(0, 0); NEAREST];
    for (at, candidate) in candidates.iter().enumerate() {
        let mut next = (affinity::weight(key, candidate.hash), at);
        if next > best[NEAREST - 1] {
            for known in &mut best {
                if next > *known {
                    std::mem::swap(known, &mut next);
                }
            }
        }
    }
    best.map(|(_, at)| at)
}

/// Returns the upstream nearest to `key` whose fill is within the bound.
fn home(scored: &[Scored<'_>], key: BlockHash, mean_fill: f64) -> Option<u64> {
    let bound = mean_fill * HOME_BOUND + HOME_SLACK;
    let open = scored.iter().filter(|s| s.estimate.fill <= bound);
    open.map(|s| s.candidate.hash)
        .max_by_key(|hash| affinity::weight(key, *hash))
}

fn reason(best: &Scored<'_>, home: Option<u64>) -> CompactString {
    let candidate = best.candidate;
    let estimate = &best.estimate;
    let affinity = match home {
        Some(home) if home == candidate.hash => ", home of the prefix",
        _ => "",
    };
    let millis = |seconds: f64| (seconds * 1e3).round() as u64;
    format_compact!(
        "queue {} ms, prefill {} ms, network {} us, {} tokens cached, {} {}{affinity}",
        millis(estimate.queue),
        millis(estimate.prefill),
        (estimate.network * 1e6).round() as u64,
        estimate.cached_tokens,
        candidate.data_centre,
        candidate.class.name(),
    )
}
