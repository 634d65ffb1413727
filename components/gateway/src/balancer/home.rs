//! The home of a prompt: the engine to which all entries send prompts with the same shared parts, and
//! the few engines that take its place while it is busy.
//!
//! The latter answer the load of many entries. All of them know the same engine as the least loaded
//! one until the next exchange of their work, so that it would get what all of them send in that time.
//! Substitutes differ from prompt to prompt, and as they stay the same for each prompt, its shared
//! parts are computed or fetched at few engines.

use std::cmp::Reverse;
use std::iter::{once, successors};
use std::time::{Duration, Instant};

use config::ids::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::choice::Criteria;
use super::upstream::Upstream;
use crate::Prompt;
use crate::call::PartId;

/// Time over which a new engine gradually becomes the home of its prompts. It has to compute the
/// shared parts of each prompt once, so that taking all of them at once would overload it.
pub(super) const RAMP_UP_TIME: Duration = Duration::from_secs(10);

/// Size of the first group: the home and its substitutes.
const FIRST_GROUP: usize = 4;
/// Ratio of the size of a group to that of the one before it.
const GROUP_GROWTH: usize = 4;

/// Returns the part that determines the home: the last shared part, or the only part.
pub(super) fn key(prompt: &Prompt) -> Option<PartId> {
    let (own, shared) = prompt.parts.split_last()?;
    Some(shared.last().unwrap_or(own).id)
}

/// Returns the usable upstreams in the order in which a prompt's engine is looked for, by rendezvous
/// hashing: the home is the first one. `None` for a prompt without parts.
pub(super) fn ranked<'u>(
    criteria: &Criteria<'_>,
    usable: &[(&'u UpstreamId, &'u Upstream)],
    now: Instant,
) -> Option<Vec<(&'u UpstreamId, &'u Upstream)>> {
    let key = key(criteria.prompt?)?;
    let rank = |(name, upstream): &(&UpstreamId, &Upstream)| {
        let weight = xxh3_64_with_seed(name.as_bytes(), key);
        // Those that are not eligible yet come last.
        Reverse((is_eligible(weight, upstream, now), weight))
    };
    let mut ranked = usable.to_vec();
    ranked.sort_by_cached_key(rank);
    Some(ranked)
}

/// Returns how many of `count` ranked upstreams are in each group. An upstream of a later group is
/// considered only if none of the groups before it is expected to begin the request in time.
pub(super) fn groups(count: usize) -> impl Iterator<Item = usize> {
    let sizes = successors(Some(FIRST_GROUP), |size| Some(size * GROUP_GROWTH));
    let partial = sizes.take_while(move |size| *size < count);
    partial.chain(once(count))
}

/// Returns the engine that most likely has the parts that the chosen engine lacks: the home, or the
/// engine that would be the home without the chosen one. The
/// returned engine may be leaving, as it can still send its cached parts.
pub(super) fn fetch_source<'a>(
    criteria: &Criteria<'_>,
    chosen: &UpstreamId,
    reachable: impl Iterator<Item = (&'a UpstreamId, &'a Upstream)>,
) -> Option<&'a Upstream> {
    let key = key(criteria.prompt?)?;
    let weight = |name: &UpstreamId| xxh3_64_with_seed(name.as_bytes(), key);
    let others = reachable.filter(|(name, _)| *name != chosen);
    let best = others.max_by_key(|(name, _)| weight(name));
    best.map(|(_, upstream)| upstream)
}

/// Reports whether an engine has been known for long enough to be the home of a key. The delay is
/// derived from the weight of the key at the engine. The weights of two keys are unrelated, so that
/// the keys of an engine are spread over [`RAMP_UP_TIME`].
fn is_eligible(weight: u64, upstream: &Upstream, now: Instant) -> bool {
    let delay = (weight & 0xffff) as f64 / f64::from(0xffff);
    now.saturating_duration_since(upstream.first_seen) >= RAMP_UP_TIME.mul_f64(delay)
}
