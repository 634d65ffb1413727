//! The ledger: instance time and spend by day, data centre, class and service.

use config::ids::{DataCentreId, ServiceId};
use config::text::Class;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Milliseconds in a day of Coordinated Universal Time.
pub const DAY_MS: u64 = 86_400_000;
/// Milliseconds in an hour, the unit of prices.
const HOUR_MS: u128 = 3_600_000;
/// Days kept in the ledger; the oldest is removed first.
pub const MAX_DAYS: usize = 400;

/// Instances that ran in a period of time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Start of the period.
    pub from: Millis,
    /// End of the period, exclusive.
    pub to: Millis,
    /// Instances that are counted for the whole period.
    pub lines: Vec<Line>,
}

/// Count and price of the instances of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Where the instances ran, and for which service.
    pub item: Item,
    /// Number of instances.
    pub instances: u32,
    /// Price of one instance, in millionths of a currency unit per hour.
    pub price_micros: u64,
}

/// An item of the ledger, by which time and spend are summed up.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Item {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Class of the instances.
    pub class: Class,
    /// Service that they served.
    pub service: ServiceId,
}

/// Sums of one item on one day.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Running time of all instances together, in milliseconds.
    pub instance_ms: u64,
    /// Spend in millionths of a currency unit.
    pub spend_micros: u64,
}

/// Sums by day and item.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Ledger {
    accounted_until: Millis,
    days: IndexMap<u64, IndexMap<Item, Total>>,
}

impl Ledger {
    /// Returns the time up to which usage has been added.
    pub fn accounted_until(&self) -> Millis {
        self.accounted_until
    }

    /// Returns the sums by item of each day. Days are numbered from the Unix epoch.
    pub fn days(&self) -> impl Iterator<Item = (u64, &IndexMap<Item, Total>)> {
        self.days.iter().map(|(day, items)| (*day, items))
    }

    /// Adds the part of a period that is not in the ledger yet, so that a period that two leaders
    /// report counts once.
    pub(crate) fn add(&mut self, usage: &Usage) {
        let mut from = usage.from.max(self.accounted_until);
        while from < usage.to {
            let day = from / DAY_MS;
            let to = usage.to.min((day + 1) * DAY_MS);
            for line in &usage.lines {
                self.add_line(day, to - from, line);
            }
            from = to;
        }
        self.accounted_until = self.accounted_until.max(usage.to);
        while self.days.len() > MAX_DAYS {
            self.days.shift_remove_index(0);
        }
    }

    fn add_line(&mut self, day: u64, period_ms: u64, line: &Line) {
        let items = self.days.entry(day).or_default();
        let total = items.entry(line.item.clone()).or_default();
        let instance_ms = period_ms.saturating_mul(u64::from(line.instances));
        let spend = u128::from(instance_ms) * u128::from(line.price_micros) / HOUR_MS;
        total.instance_ms = total.instance_ms.saturating_add(instance_ms);
        let spend = u64::try_from(spend).unwrap_or(u64::MAX);
        total.spend_micros = total.spend_micros.saturating_add(spend);
    }
}
