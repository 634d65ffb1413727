//! What an entry reports of the demand for one service.

use serde::{Deserialize, Serialize};

use crate::{Class, Demand, MAX_RANK};

/// Totals of one class since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Number of requests.
    pub requests: u64,
    /// Time in which a usual engine computes their prompts, in milliseconds.
    pub compute_ms: u64,
    /// Time for which they take places in the batches of usual engines, in milliseconds.
    pub place_ms: u64,
}

impl Totals {
    /// Returns the rise since `before`.
    pub(crate) fn since(&self, before: &Totals) -> Demand {
        let rise = |before: u64, after: u64| after.saturating_sub(before) as f64;
        Demand {
            requests: rise(before.requests, self.requests),
            compute_ms: rise(before.compute_ms, self.compute_ms),
            place_ms: rise(before.place_ms, self.place_ms),
        }
    }
}

/// Totals of one class. Encoded as a list: rank, key of the account, requests, and the two times.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u8, u32, u64, u64, u64)", into = "(u8, u32, u64, u64, u64)")]
pub struct Row {
    /// The class.
    pub class: Class,
    /// Its totals.
    pub totals: Totals,
}

impl From<(u8, u32, u64, u64, u64)> for Row {
    fn from((rank, account, requests, compute_ms, place_ms): (u8, u32, u64, u64, u64)) -> Self {
        let rank = rank.min(MAX_RANK);
        Row {
            class: Class { rank, account },
            totals: Totals {
                requests,
                compute_ms,
                place_ms,
            },
        }
    }
}

impl From<Row> for (u8, u32, u64, u64, u64) {
    fn from(Row { class, totals }: Row) -> Self {
        let Totals {
            requests,
            compute_ms,
            place_ms,
        } = totals;
        (class.rank, class.account, requests, compute_ms, place_ms)
    }
}

/// What an entry reports of the demand for one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Whether `rows` holds all classes. Otherwise it holds those that have changed since the last
    /// report which the leader answered.
    pub is_whole: bool,
    /// Totals by class.
    pub rows: Vec<Row>,
    /// Answers that have begun since the process started.
    pub begun: u64,
    /// Those of them that began later than their route's target.
    pub late: u64,
}
