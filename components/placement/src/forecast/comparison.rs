//! What a change of the text costs.

use std::fmt;

use config::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Forecast, Line, Range};
use crate::Slot;

/// Two forecasts, line by line.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// Lines of either forecast.
    pub changes: Vec<Change>,
    /// Whole spend before.
    pub before: Range,
    /// Whole spend after.
    pub after: Range,
}

/// The spend of one service in one data centre and class, before and after.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Data centre and class.
    #[serde(flatten)]
    pub slot: Slot,
    /// Service.
    pub service: ServiceId,
    /// Middle spend before.
    pub before: f64,
    /// Middle spend after.
    pub after: f64,
}

impl Comparison {
    /// Compares two forecasts.
    pub fn new(before: &Forecast, after: &Forecast) -> Self {
        let mut changes: IndexMap<(&Slot, &ServiceId), (f64, f64)> = IndexMap::new();
        let middle = |line: &Line| line.spend.middle;
        for line in &before.lines {
            changes.entry((&line.slot, &line.service)).or_default().0 += middle(line);
        }
        for line in &after.lines {
            changes.entry((&line.slot, &line.service)).or_default().1 += middle(line);
        }
        changes.sort_by(|a, _, b, _| {
            let key = |(slot, service): &(&Slot, &ServiceId)| {
                (slot.data_centre.clone(), slot.class, (*service).clone())
            };
            key(a).cmp(&key(b))
        });
        let changes = changes
            .into_iter()
            .map(|((slot, service), (before, after))| Change {
                slot: slot.clone(),
                service: service.clone(),
                before,
                after,
            });
        Comparison {
            changes: changes.collect(),
            before: before.total(),
            after: after.total(),
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = [
            "data centre",
            "class",
            "service",
            "before",
            "after",
            "change",
        ];
        writeln!(
            f,
            "{:<14} {:<12} {:<16} {:>10} {:>10} {:>10}",
            head[0], head[1], head[2], head[3], head[4], head[5]
        )?;
        let mut row = |place: [&str; 3], before: f64, after: f64| {
            let change = after - before;
            writeln!(
                f,
                "{:<14} {:<12} {:<16} {before:>10.2} {after:>10.2} {change:>+10.2}",
                place[0], place[1], place[2]
            )
        };
        for change in &self.changes {
            let class = change.slot.class.name();
            let place = [change.slot.data_centre.as_str(), class, &change.service];
            row(place, change.before, change.after)?;
        }
        row(["total", "", ""], self.before.middle, self.after.middle)
    }
}
