//! Comparison of the forecasts before and after a change of the operators' text.

use std::fmt;

use config::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Forecast, Line, Range};
use crate::Slot;

/// Comparison of two forecasts, line by line.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// The lines that are in at least one of the forecasts.
    pub changes: Vec<Change>,
    /// Total spend before the change.
    pub before: Range,
    /// Total spend after the change.
    pub after: Range,
}

/// The spend of one service in one data centre and class, before and after the change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Data centre and class.
    #[serde(flatten)]
    pub slot: Slot,
    /// Service.
    pub service: ServiceId,
    /// Expected spend before the change.
    pub before: f64,
    /// Expected spend after the change.
    pub after: f64,
}

impl Comparison {
    /// Compares the forecasts before and after a change.
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
        let header = [
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
            header[0], header[1], header[2], header[3], header[4], header[5]
        )?;
        let mut row = |labels: [&str; 3], before: f64, after: f64| {
            let change = after - before;
            writeln!(
                f,
                "{:<14} {:<12} {:<16} {before:>10.2} {after:>10.2} {change:>+10.2}",
                labels[0], labels[1], labels[2]
            )
        };
        for change in &self.changes {
            let class = change.slot.class.name();
            let labels = [change.slot.data_centre.as_str(), class, &change.service];
            row(labels, change.before, change.after)?;
        }
        row(["total", "", ""], self.before.middle, self.after.middle)
    }
}
