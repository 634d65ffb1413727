//! The work in progress at all upstreams, in a short form.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Work;

/// Work in progress by upstream: a hash of its name, requests, and prompt tokens to compute. The leader
/// sends it to each entry several times per second, so that with hundreds of both, names would take most
/// of what its link carries. Upstreams whose hashes are equal count as one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkTable(Vec<(u32, u32, u32)>);

impl WorkTable {
    /// Creates the table of the work at upstreams by name.
    pub fn new<'a>(work: impl IntoIterator<Item = (&'a str, Work)>) -> Self {
        let mut sums: IndexMap<u32, Work> = IndexMap::new();
        for (upstream, work) in work {
            let sum = sums.entry(hash(upstream)).or_default();
            sum.requests = sum.requests.saturating_add(work.requests);
            sum.prefill_tokens = sum.prefill_tokens.saturating_add(work.prefill_tokens);
        }
        let rows = sums.into_iter();
        WorkTable(
            rows.map(|(hash, work)| (hash, work.requests, work.prefill_tokens))
                .collect(),
        )
    }

    /// Returns the work at those of `upstreams` that the table has.
    pub fn of<'a, T>(&self, upstreams: impl IntoIterator<Item = (&'a str, T)>) -> Vec<(T, Work)> {
        let rows = self.0.iter().map(|(hash, requests, prefill_tokens)| {
            let work = Work {
                requests: *requests,
                prefill_tokens: *prefill_tokens,
            };
            (*hash, work)
        });
        let works: IndexMap<u32, Work> = rows.collect();
        let found = upstreams.into_iter();
        found
            .filter_map(|(name, upstream)| Some((upstream, *works.get(&hash(name))?)))
            .collect()
    }
}

/// Returns the lower half of a 64-bit hash of a name.
fn hash(upstream: &str) -> u32 {
    xxh3_64(upstream.as_bytes()) as u32
}
