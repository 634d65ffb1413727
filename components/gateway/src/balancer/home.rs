//! The home of a prompt: the engine to which all entries send what shares its parts.

use config::ids::UpstreamId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::pick::Wish;
use super::upstream::Upstream;
use crate::Prompt;
use crate::call::PartId;

/// Returns the part that decides the home: the last one that is shared.
fn key(prompt: &Prompt) -> Option<PartId> {
    let (_own, shared) = prompt.parts.split_last()?;
    shared.last().map(|part| part.id)
}

/// Returns the home among the usable upstreams, by rendezvous hashing.
pub(super) fn of(wish: &Wish<'_>, usable: &[(&UpstreamId, &Upstream)]) -> Option<UpstreamId> {
    let key = key(wish.prompt?)?;
    let weight = |name: &UpstreamId| xxh3_64_with_seed(name.as_bytes(), key);
    let home = usable.iter().max_by_key(|(name, _)| weight(name));
    home.map(|(name, _)| (*name).clone())
}
