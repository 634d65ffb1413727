//! What follows from the newest statements of all upstreams, in a short form.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use performance::Moment;
use serde::{Deserialize, Serialize};

use crate::speed_table::hash;

/// Unit of a logarithm in a row.
const LOG_UNITS: f64 = 100.0;
/// Age from which on a statement is left out: it has less than a tenth of its weight.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Smallest logarithm that is told to entries. Most upstreams are near their average speed most of the
/// time, and their rows would take most of the leader's link.
const MIN_TOLD_LOG: f64 = 0.2;

/// Moments by process of an upstream: a hash of its name and incarnation, the logarithm of the factor by
/// which its speed deviates in hundredths, and the age of the statement in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MomentTable(Vec<(u32, i32, u32)>);

impl MomentTable {
    /// Creates the table of the moments by name and incarnation.
    pub fn new<'a>(
        moments: impl IntoIterator<Item = ((&'a str, u64), Moment)>,
        now: Instant,
    ) -> Self {
        let moments = moments.into_iter();
        MomentTable::of_rows(
            moments.map(|(process, moment)| (hash(process), moment)),
            now,
        )
    }

    /// Returns the table to be told to entries: the newest moment of each process in `tables`, which were
    /// received at the given times, where its speed deviates notably.
    pub fn newest<'a>(
        tables: impl IntoIterator<Item = (&'a MomentTable, Instant)>,
        now: Instant,
    ) -> Self {
        let mut newest: IndexMap<u32, Moment> = IndexMap::new();
        let rows = tables.into_iter().flat_map(|(table, at)| table.rows(at));
        for (hash, moment) in rows {
            let known = newest.entry(hash).or_insert(moment);
            if moment.at > known.at {
                *known = moment;
            }
        }
        newest.retain(|_, moment| moment.log.abs() >= MIN_TOLD_LOG);
        MomentTable::of_rows(newest, now)
    }

    /// Returns the moment of each of `upstreams`, in their order, where the table was made at `at`.
    pub fn of<'a>(
        &self,
        upstreams: impl IntoIterator<Item = (&'a str, u64)>,
        at: Instant,
    ) -> impl Iterator<Item = Option<Moment>> {
        let rows: IndexMap<u32, Moment> = self.rows(at).collect();
        let found = upstreams.into_iter();
        found.map(move |process| rows.get(&hash(process)).copied())
    }

    /// Reports whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn of_rows(moments: impl IntoIterator<Item = (u32, Moment)>, now: Instant) -> Self {
        let rows = moments.into_iter().filter_map(|(hash, moment)| {
            let age = now.saturating_duration_since(moment.at);
            let age_ms = u32::try_from(age.as_millis()).ok()?;
            let log = (moment.log * LOG_UNITS).round() as i32;
            (age < MAX_AGE).then_some((hash, log, age_ms))
        });
        MomentTable(rows.collect())
    }

    fn rows(&self, at: Instant) -> impl Iterator<Item = (u32, Moment)> {
        self.0.iter().map(move |(hash, log, age_ms)| {
            let age = Duration::from_millis(u64::from(*age_ms));
            let moment = Moment {
                log: f64::from(*log) / LOG_UNITS,
                at: at.checked_sub(age).unwrap_or(at),
            };
            (*hash, moment)
        })
    }
}
