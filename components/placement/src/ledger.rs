//! The ledger of instance hours and spend by day, slot and service.

use config::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Slot;

/// Number of a day, counted from 1 January 1970.
pub type Day = u32;

/// Instance hours, spend and reclaims by day, slot and service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    /// Rows, at most one for each day, slot and service.
    pub rows: Vec<Row>,
}

/// One day of one slot and service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The day.
    pub day: Day,
    /// The slot.
    #[serde(flatten)]
    pub slot: Slot,
    /// The service.
    pub service: ServiceId,
    /// Instance hours.
    pub hours: f64,
    /// Spend in currency units.
    pub spend: f64,
    /// Instances taken back by the cloud.
    pub reclaims: u32,
}

impl Ledger {
    /// Adds the hours, spend and reclaims of `row` to its day, slot and service.
    pub fn add(&mut self, row: Row) {
        let has_same_key =
            |r: &&mut Row| r.day == row.day && r.slot == row.slot && r.service == row.service;
        match self.rows.iter_mut().rev().find(has_same_key) {
            Some(existing) => {
                existing.hours += row.hours;
                existing.spend += row.spend;
                existing.reclaims += row.reclaims;
            }
            None => self.rows.push(row),
        }
    }

    /// Returns the spend by slot on the days `from..to`.
    pub fn spend(&self, from: Day, to: Day) -> IndexMap<Slot, f64> {
        let mut spend = IndexMap::new();
        for row in self.rows.iter().filter(|r| (from..to).contains(&r.day)) {
            *spend.entry(row.slot.clone()).or_default() += row.spend;
        }
        spend
    }

    /// Returns the first day and the day after the last one, or `None` if there are no rows.
    pub fn days(&self) -> Option<(Day, Day)> {
        let days = || self.rows.iter().map(|row| row.day);
        days().min().zip(days().max().map(|last| last + 1))
    }
}
