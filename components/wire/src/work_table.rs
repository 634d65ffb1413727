//! The work in progress at all upstreams, in a short form.

use std::iter::repeat;

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
        WorkTable::with_work_ms(work).0
    }

    /// Creates the same, and [`Work::work_ms`] of each row: 0 for none, and no rows if none has one.
    /// It is apart from the rows, since older releases read rows of three figures only.
    pub fn with_work_ms<'a>(work: impl IntoIterator<Item = (&'a str, Work)>) -> (Self, Vec<u32>) {
        let mut sums: IndexMap<u32, Work> = IndexMap::new();
        for (upstream, work) in work {
            let sum = sums.entry(hash(upstream)).or_default();
            *sum = sum.with(work);
        }
        let mut work_ms: Vec<u32> = sums
            .values()
            .map(|work| work.work_ms.unwrap_or_default())
            .collect();
        if work_ms.iter().all(|ms| *ms == 0) {
            work_ms.clear();
        }
        let rows = sums.into_iter();
        let rows = rows.map(|(hash, work)| (hash, work.requests, work.prefill_tokens));
        (WorkTable(rows.collect()), work_ms)
    }

    /// Returns the work at those of `upstreams` that the table has.
    pub fn of<'a, T>(&self, upstreams: impl IntoIterator<Item = (&'a str, T)>) -> Vec<(T, Work)> {
        self.with(&[], upstreams)
    }

    /// Returns the same with `work_ms` of each row.
    pub fn with<'a, T>(
        &self,
        work_ms: &[u32],
        upstreams: impl IntoIterator<Item = (&'a str, T)>,
    ) -> Vec<(T, Work)> {
        let work_ms = work_ms.iter().chain(repeat(&0));
        let rows = self.0.iter().zip(work_ms);
        let rows = rows.map(|((hash, requests, prefill_tokens), work_ms)| {
            let work = Work {
                requests: *requests,
                prefill_tokens: *prefill_tokens,
                work_ms: (*work_ms > 0).then_some(*work_ms),
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
