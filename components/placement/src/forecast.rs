//! Forecasts of the spend of the coming month by data centre, class and service.

mod assumptions;
mod comparison;
mod from_ledger;
mod from_text;
mod line;
mod plot;
mod range;
mod table;
mod trend;

pub use assumptions::Assumptions;
pub use comparison::{Change, Comparison};
pub use from_ledger::from_ledger;
pub use from_text::from_text;
pub use line::Line;
pub use plot::{Failure, plot};
pub use range::Range;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Slot;

/// The expected spend of the coming month.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Forecast {
    /// Number of days in the month.
    pub days: u32,
    /// Lines by data centre, class and service.
    pub lines: Vec<Line>,
}

impl Forecast {
    /// Returns the spend by data centre and class.
    pub fn by_slot(&self) -> IndexMap<Slot, Range> {
        let mut sums: IndexMap<Slot, Range> = IndexMap::new();
        for line in &self.lines {
            *sums.entry(line.slot.clone()).or_default() += line.spend;
        }
        sums
    }

    /// Returns the total spend of all lines.
    pub fn total(&self) -> Range {
        let spends = self.lines.iter().map(|line| line.spend);
        spends.fold(Range::default(), |sum, spend| sum + spend)
    }
}
