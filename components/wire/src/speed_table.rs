//! The evidence of the speeds of all upstreams, in a short form.

use indexmap::IndexMap;
use performance::Evidence;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Units of an answer and of a logarithm in a row.
const WEIGHT_UNITS: f64 = 10.0;
const LOG_UNITS: f64 = 100.0;

/// Evidence of speeds by process of an upstream: a hash of its name and incarnation, the number of
/// answers in tenths, and the logarithm of the speed in hundredths. Processes whose hashes are equal
/// count as one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SpeedTable(Vec<(u32, u32, i32)>);

impl SpeedTable {
    /// Creates the table of the evidence by name and incarnation. What is less than a tenth of an
    /// answer is left out.
    pub fn new<'a>(evidence: impl IntoIterator<Item = ((&'a str, u64), Evidence)>) -> Self {
        let rows = evidence.into_iter();
        SpeedTable::of_rows(rows.map(|(process, evidence)| (hash(process), evidence)))
    }

    /// Returns the table of what `tables` have in all.
    pub fn sum<'a>(tables: impl IntoIterator<Item = &'a SpeedTable>) -> Self {
        let mut sums: IndexMap<u32, Evidence> = IndexMap::new();
        for (hash, evidence) in tables.into_iter().flat_map(SpeedTable::rows) {
            let sum = sums.entry(hash).or_default();
            *sum = sum.with(evidence);
        }
        SpeedTable::of_rows(sums)
    }

    /// Returns the evidence of each of `upstreams`, in their order; none for those that the table
    /// doesn't have.
    pub fn of<'a>(
        &self,
        upstreams: impl IntoIterator<Item = (&'a str, u64)>,
    ) -> impl Iterator<Item = Evidence> {
        let rows: IndexMap<u32, Evidence> = self.rows().collect();
        let found = upstreams.into_iter();
        found.map(move |process| rows.get(&hash(process)).copied().unwrap_or_default())
    }

    /// Reports whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn of_rows(evidence: impl IntoIterator<Item = (u32, Evidence)>) -> Self {
        let rows = evidence.into_iter().map(|(hash, evidence)| {
            let weight = (evidence.weight * WEIGHT_UNITS).round() as u32;
            let log = (evidence.average() * LOG_UNITS).round() as i32;
            (hash, weight, log)
        });
        SpeedTable(rows.filter(|(_, weight, _)| *weight > 0).collect())
    }

    fn rows(&self) -> impl Iterator<Item = (u32, Evidence)> {
        self.0.iter().map(|(hash, weight, log)| {
            let (weight, log) = (f64::from(*weight), f64::from(*log));
            let evidence = Evidence::new(weight / WEIGHT_UNITS, log / LOG_UNITS);
            (*hash, evidence)
        })
    }
}

/// Returns the lower half of a 64-bit hash of a process.
pub(crate) fn hash((upstream, incarnation): (&str, u64)) -> u32 {
    xxh3_64_with_seed(upstream.as_bytes(), incarnation) as u32
}
