//! The selection of one upstream among the candidates of a request.

use config::duration::bounded;
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

/// Candidates nearest to a key that are scored, together with as many random ones, when there are
/// too many to score all.
const NEAREST_CANDIDATES: usize = 8;
/// Largest number of candidates of which all are scored.
const MAX_SCORED: usize = 2 * NEAREST_CANDIDATES;
/// Largest random addition to a score, in seconds, so that entries break near ties differently.
const MAX_JITTER: f64 = 0.004;
/// Additional weight of the time to compute a prompt, per unit of mean fill, because prefill delays
/// every request that is decoding. The fill of an upstream is its number of requests relative to
/// its batch size.
const LOAD_WEIGHT: f64 = 5.0;
/// Mean fill below which a request that would be late goes to another upstream. Above it,
/// computing the prompt again would make more requests late than it saves.
const SPILL_FILL: f64 = 0.5;
/// Highest fill of a key's home, relative to the mean fill.
const HOME_FILL_FACTOR: f64 = 1.25;
/// Added to `HOME_FILL_FACTOR` times the mean fill to obtain the highest fill of a home, so that
/// keys have homes in an idle fleet too.
const HOME_FILL_SLACK: f64 = 0.5;
/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The inputs of one choice.
pub(super) struct Selection<'a> {
    pub(super) settings: &'a Settings,
    pub(super) group: &'a Group,
    pub(super) request: &'a Request<'a>,
    pub(super) seen: &'a Prefixes,
    /// Number of the choice, which varies how ties are broken and candidates are sampled.
    pub(super) number: u64,
    pub(super) now: Instant,
}

/// A usable candidate with its estimate and score; the lowest score is the best.
struct Scored<'a> {
    candidate: &'a Arc<Candidate>,
    estimate: Estimate,
    score: f64,
}

impl Selection<'_> {
    /// Chooses among `candidates`.
    pub(super) fn choose(&self, candidates: &[Arc<Candidate>]) -> Result<Choice, Refusal> {
        let key = affinity::key(self.request.blocks, self.seen);
        let mut scored = self.estimate(candidates, key);
        let fills = scored.iter().map(|s| s.estimate.fill).sum::<f64>();
        let mean_fill = fills / scored.len().max(1) as f64;
        let home = key.and_then(|key| home(&scored, key, mean_fill));
        for s in &mut scored {
            s.score = self.score(s, home, mean_fill);
        }
        let best = self.best(&scored, mean_fill)?;
        Ok(self.build_choice(best, home, scored.len()))
    }

    /// Returns the usable candidates, or a sample of them, with their estimates and a score of 0.
    fn estimate<'a>(
        &self,
        candidates: &'a [Arc<Candidate>],
        key: Option<BlockHash>,
    ) -> Vec<Scored<'a>> {
        let hint = self.seen.depth(self.request.blocks, 0);
        let unscored = |candidate: &'a Arc<Candidate>| Scored {
            candidate,
            estimate: Estimate::new(candidate, self.group, self.request, hint, self.now),
            score: 0.0,
        };
        let is_usable = |candidate: &&'a Arc<Candidate>| self.is_usable(candidate);
        let mut estimated = Vec::with_capacity(MAX_SCORED.min(candidates.len()));
        if candidates.len() > MAX_SCORED {
            let sample = self.sample(candidates, key).into_iter();
            estimated.extend(sample.filter(is_usable).map(unscored));
        }
        if estimated.is_empty() {
            estimated.extend(candidates.iter().filter(is_usable).map(unscored));
        }
        estimated
    }

    /// Returns the candidate with the lowest score. If that one would miss the latency target and
    /// the fleet has spare capacity, returns the best one that meets the target.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if there is no candidate, or if the request would be late and `admit`
    /// refuses it.
    fn best<'a>(
        &self,
        scored: &'a [Scored<'a>],
        mean_fill: f64,
    ) -> Result<&'a Scored<'a>, Refusal> {
        let by_score = |a: &&Scored<'_>, b: &&Scored<'_>| a.score.total_cmp(&b.score);
        let meets_target =
            |s: &&Scored<'_>| s.estimate.pessimistic_first_token() <= self.group.first_token_target;
        let best = scored.iter().min_by(by_score).ok_or(Refusal::NoUpstream)?;
        let spill = || scored.iter().filter(meets_target).min_by(by_score);
        match best {
            best if meets_target(&best) => Ok(best),
            best if mean_fill < SPILL_FILL => spill().map_or_else(|| self.admit(best, scored), Ok),
            best => self.admit(best, scored),
        }
    }

    /// Returns `best`, which would miss the latency target, for calls of plain services and for
    /// resumed streams.
    ///
    /// # Errors
    /// Returns [`Refusal::Overloaded`] for all other requests.
    fn admit<'a>(
        &self,
        best: &'a Scored<'a>,
        scored: &[Scored<'_>],
    ) -> Result<&'a Scored<'a>, Refusal> {
        if self.group.kind == Kind::Plain || self.request.resumed {
            return Ok(best);
        }
        let times = scored.iter().map(|s| s.estimate.pessimistic_first_token());
        let earliest = times.fold(f64::INFINITY, f64::min);
        let backlog = bounded(earliest - self.group.first_token_target);
        Err(Refusal::Overloaded {
            retry_after: backlog.max(MIN_RETRY_AFTER),
        })
    }

    /// Returns the candidates nearest to the key and up to as many random ones.
    fn sample<'a>(
        &self,
        candidates: &'a [Arc<Candidate>],
        key: Option<BlockHash>,
    ) -> Vec<&'a Arc<Candidate>> {
        let random = affinity::weight(self.number, self.settings.seed);
        let nearest = nearest(candidates, key.unwrap_or(random));
        let mut sample: Vec<&Arc<Candidate>> =
            nearest.iter().map(|index| &candidates[*index]).collect();
        for n in 0..NEAREST_CANDIDATES as u64 {
            let index = affinity::weight(random, n) as usize % candidates.len();
            if !nearest.contains(&index) {
                sample.push(&candidates[index]);
            }
        }
        sample
    }

    fn is_usable(&self, candidate: &Candidate) -> bool {
        let excluded = self.request.exclude.contains(&candidate.upstream);
        self.now < candidate.expires
            && !excluded
            && candidate.serves(self.request.phase)
            && candidate.runs(self.request.software)
    }

    /// Returns the score of a candidate in seconds; the lowest score is the best.
    fn score(&self, scored: &Scored<'_>, home: Option<u64>, mean_fill: f64) -> f64 {
        let Scored {
            candidate,
            estimate,
            ..
        } = scored;
        let weights = self.group.weights;
        let full_prefill = self.request.prompt_tokens as f64
            / candidate.capacity.prefill_tokens_per_second.max(1.0);
        let home_bonus = match home {
            Some(home) if home == candidate.hash => weights.home_bonus * full_prefill,
            _ => 0.0,
        };
        let tie_hash = affinity::weight(self.number ^ self.settings.seed, candidate.hash);
        estimate.queue
            + estimate.round_trip
            + estimate.prefill * weights.prefill * (1.0 + mean_fill * LOAD_WEIGHT)
            + candidate.price * weights.price
            + affinity::fraction(tie_hash) * MAX_JITTER
            - home_bonus
    }

    fn build_choice(&self, best: &Scored<'_>, home: Option<u64>, considered: usize) -> Choice {
        let candidate = best.candidate;
        let estimate = &best.estimate;
        let uncached = self.request.prompt_tokens - estimate.cached_tokens;
        Choice {
            upstream: candidate.upstream.clone(),
            software: candidate.software.clone(),
            address: candidate.address,
            expected_first_token: bounded(estimate.first_token()),
            cached_tokens: estimate.cached_tokens,
            considered,
            reason: reason(best, home),
            ticket: Ticket::new(Arc::clone(&candidate.tracker), uncached as u64),
        }
    }
}

/// Returns the indices of the candidates with the largest weights for `key`.
fn nearest(candidates: &[Arc<Candidate>], key: BlockHash) -> [usize; NEAREST_CANDIDATES] {
    let mut best = [(0, 0); NEAREST_CANDIDATES];
    for (index, candidate) in candidates.iter().enumerate() {
        let mut next = (affinity::weight(key, candidate.hash), index);
        if next > best[NEAREST_CANDIDATES - 1] {
            for slot in &mut best {
                if next > *slot {
                    std::mem::swap(slot, &mut next);
                }
            }
        }
    }
    best.map(|(_, index)| index)
}

/// Returns the hash of the upstream with the largest weight for `key` among those whose fill is
/// within the bound.
fn home(scored: &[Scored<'_>], key: BlockHash, mean_fill: f64) -> Option<u64> {
    let bound = mean_fill * HOME_FILL_FACTOR + HOME_FILL_SLACK;
    let eligible = scored.iter().filter(|s| s.estimate.fill <= bound);
    eligible
        .map(|s| s.candidate.hash)
        .max_by_key(|hash| affinity::weight(key, *hash))
}

/// Describes the chosen candidate for the log.
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
        (estimate.round_trip * 1e6).round() as u64,
        estimate.cached_tokens,
        candidate.data_centre,
        candidate.class.name(),
    )
}
