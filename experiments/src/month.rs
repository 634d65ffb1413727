//! Accuracy of the forecast of a month's bill.
//!
//! The planner runs for 58 days against seeded demand, reclaims and refused starts. The forecast is
//! made from the ledger of the first 28 days and compared with the bill of the other 30.

mod cloud;
mod demand;

use std::fmt;

use indexmap::IndexMap;
use placement::forecast::{Assumptions, Forecast, Range, from_ledger, from_text};
use placement::{Ledger, Slot};

use crate::User;
use cloud::Cloud;

/// Days of the ledger from which the forecast is made.
const LEDGER_DAYS: u32 = 28;
/// Days that are forecast.
const FORECAST_DAYS: u32 = 30;

/// Forecast and actual spend for one user and seed.
#[derive(Clone, Debug)]
pub struct Score {
    /// User whose text and demand were simulated.
    pub user: User,
    /// Seed of demand, reclaims and refused starts.
    pub seed: u64,
    /// Actual and forecast spend by slot.
    pub slots: IndexMap<Slot, Spend>,
    /// Reclaims in the forecast days.
    pub reclaims: u32,
}

/// Spend of one slot in the forecast days.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spend {
    /// Actual spend.
    pub actual: f64,
    /// Forecast from the ledger of the days before.
    pub from_ledger: Range,
    /// Forecast from the text alone.
    pub from_text: f64,
}

/// Simulates the days of `user` and scores the forecasts.
pub fn simulate(user: User, seed: u64) -> Score {
    let text = demand::text(user);
    let mut cloud = Cloud::new(text.clone(), seed);
    let ledger = cloud.simulate(LEDGER_DAYS + FORECAST_DAYS);
    let mut ledger_before = ledger.clone();
    ledger_before.rows.retain(|row| row.day < LEDGER_DAYS);
    let assumptions = Assumptions {
        days: FORECAST_DAYS,
        ..Assumptions::default()
    };
    let from_ledger = from_ledger(&ledger_before, &text, &assumptions);
    let from_text = from_text(&text, &assumptions);
    score(user, seed, &ledger, &from_ledger, &from_text)
}

fn score(
    user: User,
    seed: u64,
    ledger: &Ledger,
    from_ledger: &Forecast,
    from_text: &Forecast,
) -> Score {
    let mut slots: IndexMap<Slot, Spend> = IndexMap::new();
    for (slot, spend) in ledger.spend(LEDGER_DAYS, LEDGER_DAYS + FORECAST_DAYS) {
        slots.entry(slot).or_default().actual = spend;
    }
    for (slot, spend) in from_ledger.by_slot() {
        slots.entry(slot).or_default().from_ledger = spend;
    }
    for (slot, spend) in from_text.by_slot() {
        slots.entry(slot).or_default().from_text = spend.middle;
    }
    slots.sort_by(|a, _, b, _| (&a.data_centre, a.class).cmp(&(&b.data_centre, b.class)));
    let forecast_rows = ledger.rows.iter().filter(|row| row.day >= LEDGER_DAYS);
    Score {
        user,
        seed,
        slots,
        reclaims: forecast_rows.map(|row| row.reclaims).sum(),
    }
}

impl Score {
    /// Returns the largest error of the ledger's forecast over all slots, relative to the actual
    /// spend.
    pub fn largest_slot_error(&self) -> f64 {
        let errors = self
            .slots
            .values()
            .map(|s| relative_error(s.from_ledger.middle, s.actual));
        errors.map(f64::abs).fold(0.0, f64::max)
    }

    /// Returns the number of slots whose actual spend lies between the low and high values of the
    /// ledger's forecast.
    pub fn slots_in_range(&self) -> usize {
        let in_range = |s: &&Spend| (s.from_ledger.low..=s.from_ledger.high).contains(&s.actual);
        self.slots.values().filter(in_range).count()
    }

    /// Returns the error of the ledger's forecast of the whole bill, relative to the actual bill;
    /// positive when the forecast was too high.
    pub fn bill_error(&self) -> f64 {
        let sum = |of: fn(&Spend) -> f64| self.slots.values().map(of).sum::<f64>();
        relative_error(sum(|s| s.from_ledger.middle), sum(|s| s.actual))
    }
}

fn relative_error(forecast: f64, actual: f64) -> f64 {
    (forecast - actual) / actual.max(1.0)
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (user, seed, reclaims) = (self.user.name(), self.seed, self.reclaims);
        let (slot_error, bill_error) =
            (self.largest_slot_error() * 100.0, self.bill_error() * 100.0);
        writeln!(
            f,
            "{user} seed {seed}: {reclaims} reclaims, worst slot {slot_error:.1} %, whole bill {bill_error:+.1} %, \
             {} of {} slots from low to high",
            self.slots_in_range(),
            self.slots.len()
        )?;
        for (slot, spend) in &self.slots {
            let Spend {
                actual,
                from_ledger,
                from_text,
            } = *spend;
            let from_ledger = from_ledger.middle;
            let ledger_error = relative_error(from_ledger, actual) * 100.0;
            let text_error = relative_error(from_text, actual) * 100.0;
            writeln!(
                f,
                "  {:<28} spent {actual:>9.1}, ledger {from_ledger:>9.1} ({ledger_error:+.1} %), \
                 text {from_text:>9.1} ({text_error:+.1} %)",
                slot.to_string()
            )?;
        }
        Ok(())
    }
}
