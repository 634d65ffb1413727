//! The choice of an engine by what is known of the engines' caches, for services balanced by work.
//!
//! All entries derive from the same announcements which engine is the home of a prompt, which one was it
//! before and which one is its second place, so that they agree without messages. What this entry sent
//! itself adds to that.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::ids::{DataCentreId, UpstreamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::choice::{Choice, Criteria, Selection, Shortage, Warm};
use super::estimate::{Affinity, Basis, Estimate, Expectation};
use super::holders::{Holder, Holders};
use super::upstream::Upstream;
use super::{Balancer, home, prefixes, tenure};
use crate::Prompt;
use crate::call::PartId;

/// Longest time that a prompt may be late at the second place, compared with the best engine.
const MAX_SECOND_PLACE_DELAY: Duration = Duration::from_millis(50);

/// A prompt, and where its shared parts are expected.
struct Parts<'c> {
    prompt: &'c Prompt,
    key: PartId,
    shared_tokens: u32,
    holders: Holders,
    /// Whether this entry has sent the parts to an engine lately, so that they are used much.
    is_used_much: bool,
}

/// Usable engines in the order in which a prompt's engine is looked for.
type Ranked<'u> = Vec<(&'u UpstreamId, &'u Upstream)>;

impl Balancer {
    /// Returns the prompt of a request whose engine is chosen by what is known of the caches.
    pub(super) fn warm_prompt<'c>(&self, criteria: &Criteria<'c>) -> Option<&'c Prompt> {
        let prompt = criteria.prompt?;
        let is_by_work = self.is_balanced_by_work(criteria.service);
        (is_by_work && !prompt.parts.is_empty()).then_some(prompt)
    }

    /// Selects the engine of a prompt, and counts nothing.
    pub(super) fn select_warm(
        &self,
        criteria: &Criteria<'_>,
        prompt: &Prompt,
        now: Instant,
    ) -> Result<Selection, Shortage> {
        let Some(parts) = self.parts(criteria, prompt, now) else {
            return Err(Shortage::NoUpstream);
        };
        let usable = self.usable(criteria, now);
        let ranked = self.ranked(&parts, usable, now);
        let home = ranked.first().map(|(name, _)| (*name).clone());
        let Some((name, estimate, is_second)) = self.best_warm(&ranked, &parts, criteria, now)
        else {
            return Err(self.shortage(criteria, now));
        };
        self.check_limit(criteria, &estimate)?;
        let source = self.source(&parts, &name, now);
        let cold_tokens = cold_tokens(&parts, &estimate);
        let upstream = self.upstreams.get(&name).ok_or(Shortage::NoUpstream)?;
        let choice = upstream.choice(&name, &estimate, home.as_deref(), now);
        Ok(Selection {
            choice: Choice {
                fetch_from: source.map(|(_, address)| address),
                reason: reason(&choice.reason, is_second, &source, cold_tokens),
                ..choice
            },
            estimate,
            warm: Some(Warm {
                source,
                is_second_place: is_second,
                cold_tokens,
            }),
        })
    }

    /// Returns the usable engines in the order in which a prompt's engine is looked for, with what is
    /// expected of each.
    pub(super) fn estimates_warm(
        &self,
        criteria: &Criteria<'_>,
        prompt: &Prompt,
        now: Instant,
    ) -> Vec<(&UpstreamId, Estimate)> {
        let Some(parts) = self.parts(criteria, prompt, now) else {
            return Vec::new();
        };
        let ranked = self.ranked(&parts, self.usable(criteria, now), now);
        let Some(home) = ranked.first().map(|(name, _)| *name) else {
            return Vec::new();
        };
        let rates = self.rates(criteria.service);
        let by = self.basis(criteria, &rates);
        let estimate = |engine: &(&'_ UpstreamId, &Upstream)| {
            self.estimate_warm(*engine, home, &parts, criteria, &by, now)
        };
        let estimates = ranked.iter().map(|engine| (engine.0, estimate(engine)));
        estimates.collect()
    }

    /// Returns where the shared parts of a prompt are expected; `None` for a prompt without parts.
    fn parts<'c>(
        &self,
        criteria: &Criteria<'_>,
        prompt: &'c Prompt,
        now: Instant,
    ) -> Option<Parts<'c>> {
        let key = home::key(prompt)?;
        let is_same_place = |a: &DataCentreId, b: &DataCentreId| self.is_same_place(a, b);
        let mut holders = Holders::of_key(&self.upstreams, criteria, key, is_same_place, now);
        let mut is_used_much = false;
        for place in self.residence.places(prompt, now) {
            is_used_much = true;
            match self.upstreams.get_full(&place.upstream) {
                Some((index, _, upstream)) if upstream.incarnation == place.incarnation => {
                    holders.add(index, 1.0, true);
                }
                _ => {}
            }
        }
        Some(Parts {
            prompt,
            key,
            shared_tokens: prefixes::shared(prompt).map(|(_, tokens)| tokens).sum(),
            holders,
            is_used_much,
        })
    }

    /// Reports whether a second place in data centre `b` is none for a home in `a`.
    fn is_same_place(&self, a: &DataCentreId, b: &DataCentreId) -> bool {
        match self.settings.remote_fetch_is_dear {
            true => a != b,
            false => a == b,
        }
    }

    /// Ranks the usable engines by rendezvous hashing. The first one is the home and the next one the second
    /// place: the highest of those whose data centre is the right one for it.
    fn ranked<'u>(&self, parts: &Parts<'_>, usable: Ranked<'u>, now: Instant) -> Ranked<'u> {
        let rank = |(name, upstream): (&'u UpstreamId, &'u Upstream)| {
            let hash = xxh3_64_with_seed(name.as_bytes(), parts.key);
            (tenure::rank(upstream, hash, now), (name, upstream))
        };
        let mut ranked: Vec<_> = usable.into_iter().map(rank).collect();
        ranked.sort_unstable_by(|(a, _), (b, _)| b.partial_cmp(a).unwrap_or(Ordering::Equal));
        let mut ranked: Ranked<'u> = ranked.into_iter().map(|(_, upstream)| upstream).collect();
        if let Some((home, others)) = ranked.split_first_mut() {
            let is_apart =
                |(_, u): &(_, &Upstream)| !self.is_same_place(&home.1.data_centre, &u.data_centre);
            if let Some(second) = others.iter().position(is_apart) {
                others[..=second].rotate_right(1);
            }
        }
        ranked
    }

    /// Returns the engine with the lowest score: among the home and its substitutes if one of them is in
    /// time, otherwise among more of them; for a small part of the prompts that are used much, the second
    /// place unless it is busier. Reports whether it was taken as the second place.
    fn best_warm(
        &self,
        ranked: &Ranked<'_>,
        parts: &Parts<'_>,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<(UpstreamId, Estimate, bool)> {
        let is_in_time =
            |(_, best): &(UpstreamId, Estimate)| best.first_event <= criteria.limit(best.at_rest);
        let home = ranked.first()?.0;
        let lowest = |size: usize| self.lowest_warm(&ranked[..size], home, parts, criteria, now);
        let in_time = home::groups(ranked.len())
            .filter_map(lowest)
            .find(is_in_time);
        let best = in_time.or_else(|| lowest(ranked.len()));
        let (best, estimate) = best?;
        if parts.is_for_second_place(self.settings.second_place_interval) && ranked.len() > 1 {
            let latest = estimate.first_event + MAX_SECOND_PLACE_DELAY;
            let second = self.lowest_warm(&ranked[1..2], ranked[1].0, parts, criteria, now);
            let is_soon = |(_, second): &(UpstreamId, Estimate)| second.first_event <= latest;
            if let Some((name, estimate)) = second.filter(is_in_time).filter(is_soon) {
                return Some((name, estimate, true));
            }
        }
        Some((best, estimate, false))
    }

    /// Returns the engine with the lowest score, and what is expected of it.
    fn lowest_warm(
        &self,
        engines: &[(&UpstreamId, &Upstream)],
        preferred: &UpstreamId,
        parts: &Parts<'_>,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<(UpstreamId, Estimate)> {
        let rates = self.rates(criteria.service);
        let by = self.basis(criteria, &rates);
        let estimated = engines.iter().map(|engine| {
            let estimate = self.estimate_warm(*engine, preferred, parts, criteria, &by, now);
            (engine.0, estimate)
        });
        let lowest = estimated.min_by(|a, b| a.1.score.total_cmp(&b.1.score));
        lowest.map(|(name, estimate)| (name.clone(), estimate))
    }

    /// Returns what is expected of an engine.
    fn estimate_warm(
        &self,
        (name, upstream): (&UpstreamId, &Upstream),
        preferred: &UpstreamId,
        parts: &Parts<'_>,
        criteria: &Criteria<'_>,
        by: &Basis<'_>,
        now: Instant,
    ) -> Estimate {
        let expectation = self.expectation((name, upstream), preferred, parts, now);
        let affinity = Affinity::Expected(expectation);
        Estimate::new(upstream, criteria, affinity, by, now)
    }

    /// Returns what is expected of an engine's cache for a prompt.
    fn expectation(
        &self,
        (name, upstream): (&UpstreamId, &Upstream),
        preferred: &UpstreamId,
        parts: &Parts<'_>,
        now: Instant,
    ) -> Expectation {
        let index = self.upstreams.get_index_of(name);
        let index = index.unwrap_or(usize::MAX);
        let shared = f64::from(parts.shared_tokens);
        let process = (name.as_str(), upstream.incarnation);
        let sent = self.residence.tokens_at(parts.prompt, process, now);
        let sent = match sent >= parts.shared_tokens {
            true => sent.max(upstream.prefixes.cached_tokens(parts.prompt)),
            false => sent,
        };
        let cached = sent.max((shared * parts.holders.share_at(index)) as u32);
        let source = parts.holders.source_for(index, |i| self.is_source(i, now));
        let at_source = source.map_or(0, |source| (shared * source.share) as u32);
        let fetched = at_source.saturating_sub(cached);
        let is_preferred = name == preferred;
        let missing = parts.shared_tokens.saturating_sub(cached + fetched);
        Expectation {
            cached,
            fetched,
            repeated: if is_preferred { 0 } else { missing },
            cold: missing,
            is_preferred,
        }
    }

    /// Returns the engine from which the chosen one may fetch what it lacks, and its address.
    fn source(
        &self,
        parts: &Parts<'_>,
        chosen: &UpstreamId,
        now: Instant,
    ) -> Option<(Holder, SocketAddr)> {
        if parts.shared_tokens == 0 {
            return None;
        }
        let index = self.upstreams.get_index_of(chosen)?;
        let source = parts
            .holders
            .source_for(index, |i| self.is_source(i, now))?;
        Some((source, self.upstreams[source.index].address))
    }

    /// Reports whether other engines may fetch from an engine. One that is leaving still sends its parts
    /// until it is gone.
    fn is_source(&self, index: usize, now: Instant) -> bool {
        let upstream = self.upstreams.get_index(index);
        upstream.is_some_and(|(_, upstream)| {
            now < upstream.expires
                && !upstream.superseded
                && !upstream.health.is_ejected(now)
                && !upstream.limit.is_named()
                && !upstream.tenure.is_gone(now)
        })
    }
}

impl Parts<'_> {
    /// Reports whether the prompt is one of those that keep the second place of its parts warm. All
    /// entries derive it from the prompt's own part, so that a second attempt goes there as well.
    fn is_for_second_place(&self, interval: u64) -> bool {
        let own = self.prompt.parts.last().map_or(0, |own| own.id);
        let hash = xxh3_64_with_seed(&own.to_le_bytes(), self.key);
        self.shared_tokens > 0 && self.is_used_much && hash.checked_rem(interval) == Some(0)
    }
}

/// Returns the reason for a choice with what was expected of the caches, for the log.
fn reason(
    reason: &str,
    is_second_place: bool,
    source: &Option<(Holder, SocketAddr)>,
    cold_tokens: u32,
) -> CompactString {
    let place = if is_second_place {
        " as the second place"
    } else {
        ""
    };
    match source {
        Some((holder, address)) => {
            let known = if holder.is_known { "known" } else { "assumed" };
            format_compact!(
                "{reason}{place}, {cold_tokens} shared tokens cold, source {address} {known}"
            )
        }
        None => format_compact!("{reason}{place}, {cold_tokens} shared tokens cold, no source"),
    }
}

/// Returns the shared tokens of a prompt that are expected to be computed.
fn cold_tokens(parts: &Parts<'_>, estimate: &Estimate) -> u32 {
    let own = parts
        .prompt
        .input_tokens
        .saturating_sub(parts.shared_tokens);
    estimate.uncached_tokens.saturating_sub(own)
}
