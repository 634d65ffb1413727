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

/// Largest difference, in seconds, by which entries break near ties differently.
const JITTER: f64 = 0.004;
/// Share of a prompt's computing time for which a key's home may be preferred.
const HOME_SHARE: f64 = 0.3;
/// Fill above the mean at which a key's home is no longer preferred.
const HOME_BOUND: f64 = 1.25;
/// Fill that is added to the bound, so that an idle fleet has homes.
const HOME_SLACK: f64 = 0.25;
/// Seconds that each second beyond the latency target counts as.
const LATE_WEIGHT: f64 = 4.0;
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
        let sample = self.sample(candidates, key);
        let hint = self.seen.depth(self.request.blocks, 0);
        let usable = || sample.iter().copied().filter(|c| self.is_usable(c));
        let estimates: Vec<(&Arc<Candidate>, Estimate)> = usable()
            .map(|c| {
                (
                    c,
                    Estimate::new(c, self.group, self.request, hint, self.now),
                )
            })
            .collect();
        let count = estimates.len().max(1) as f64;
        let mean_fill = estimates.iter().map(|(_, e)| e.fill).sum::<f64>() / count;
        let home = key.and_then(|key| home(&estimates, key, mean_fill));
        let scored = estimates.into_iter().map(|(candidate, estimate)| Scored {
            candidate,
            estimate,
            score: self.score(candidate, &estimate, home),
        });
        let best = scored
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .ok_or(Refusal::NoUpstream)?;
        self.refuse_late(&best.estimate)?;
        Ok(self.choice(&best, home, count as usize))
    }

    /// Returns the candidates to score: all of them, or the key's nearest and a few at random.
    fn sample<'a>(
        &self,
        candidates: &'a [Arc<Candidate>],
        key: Option<BlockHash>,
    ) -> Vec<&'a Arc<Candidate>> {
        let size = self.settings.sample.max(2);
        if candidates.len() <= size {
            return candidates.iter().collect();
        }
        let draw = affinity::weight(self.turn, self.settings.seed);
        let by_weight = |key: u64, count: usize, from: &mut Vec<&'a Arc<Candidate>>| {
            let rank = |c: &&Arc<Candidate>| std::cmp::Reverse(affinity::weight(key, c.hash));
            from.select_nth_unstable_by_key(count, rank);
            from.drain(..count).collect::<Vec<_>>()
        };
        let mut rest: Vec<&Arc<Candidate>> = candidates.iter().collect();
        let mut sample = by_weight(key.unwrap_or(draw), size / 2, &mut rest);
        sample.extend((0..size - size / 2).map(|n| {
            let at = affinity::weight(draw, n as u64) as usize % rest.len();
            rest.swap_remove(at)
        }));
        sample
    }

    fn is_usable(&self, candidate: &Candidate) -> bool {
        let excluded = self.request.exclude.contains(&candidate.upstream);
        self.now < candidate.expires && !excluded && candidate.takes(self.request.phase)
    }

    fn score(&self, candidate: &Candidate, estimate: &Estimate, home: Option<u64>) -> f64 {
        let weights = self.group.weights;
        let beyond = (estimate.first_token() - self.group.target).max(0.0);
        let full = self.request.prompt_tokens as f64
            / candidate.capacity.prefill_tokens_per_second.max(1.0);
        let at_home = match home {
            Some(home) if home == candidate.hash => HOME_SHARE * full,
            _ => 0.0,
        };
        let tie = affinity::weight(self.turn ^ self.settings.seed, candidate.hash);
        estimate.queue
            + estimate.network
            + estimate.prefill * weights.prefill
            + candidate.price * weights.price
            + beyond * LATE_WEIGHT
            + affinity::fraction(tie) * JITTER
            - at_home
    }

    fn refuse_late(&self, best: &Estimate) -> Result<(), Refusal> {
        let late = best.first_token() - self.group.target;
        match self.group.kind {
            Kind::Model if late > 0.0 && !self.request.resumed => {
                let backlog = Duration::from_secs_f64(late);
                Err(Refusal::Overloaded {
                    retry_after: backlog.max(MIN_RETRY_AFTER),
                })
            }
            _ => Ok(()),
        }
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

/// Returns the upstream nearest to `key` whose fill is within the bound.
fn home(estimates: &[(&Arc<Candidate>, Estimate)], key: BlockHash, mean_fill: f64) -> Option<u64> {
    let bound = mean_fill * HOME_BOUND + HOME_SLACK;
    let open = estimates.iter().filter(|(_, e)| e.fill <= bound);
    open.map(|(c, _)| c.hash)
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
