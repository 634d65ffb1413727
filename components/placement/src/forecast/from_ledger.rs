//! Forecasts of a running system from its ledger.

use config::Text;
use config::ids::ServiceId;
use indexmap::IndexMap;

use super::trend::Trend;
use super::{Assumptions, Forecast, Line, Range};
use crate::ledger::{Day, Row};
use crate::{Ledger, Slot};

/// Number of most recent days of the ledger that are used.
const HISTORY_DAYS: Day = 28;
/// Number of most recent days from which prices are taken.
const PRICE_DAYS: Day = 7;
/// Standard deviations between the mean and the 90th percentile of a normal distribution,
/// which is the high value of a [`Range`].
const DECILE_DEVIATIONS: f64 = 1.28;
/// Minimum of the relative standard deviation from which a [`Range`] is computed.
const MIN_SPREAD: f64 = 0.05;

/// Returns the forecast of the days that follow the last day of the ledger.
///
/// The instance hours follow the trend of each service and are divided among data centres and
/// classes as on the recent days. Services and data centres that are not in the text are left out.
pub fn from_ledger(ledger: &Ledger, text: &Text, assumptions: &Assumptions) -> Forecast {
    let Some((first, end)) = ledger.days() else {
        return Forecast {
            days: assumptions.days,
            lines: Vec::new(),
        };
    };
    let start = first.max(end.saturating_sub(HISTORY_DAYS));
    let rows: Vec<&Row> = ledger.rows.iter().filter(|r| r.day >= start).collect();
    let mut groups: IndexMap<(&Slot, &ServiceId), Vec<&Row>> = IndexMap::new();
    for row in &rows {
        let key = (&row.slot, &row.service);
        groups.entry(key).or_default().push(row);
    }
    let is_in_text = |slot: &Slot, service: &ServiceId| {
        text.services.contains_key(service) && text.data_centres.contains_key(&slot.data_centre)
    };
    groups.retain(|(slot, service), _| is_in_text(slot, service));
    let trends: IndexMap<&ServiceId, Trend> = text
        .services
        .keys()
        .map(|service| (service, trend(&rows, service, start, end)))
        .collect();
    let mut lines: Vec<Line> = groups
        .into_iter()
        .map(|((slot, service), rows)| {
            let days = Days {
                past: (end - start) as usize,
                end,
                ahead: assumptions.days,
            };
            line(slot, service, &rows, &trends[service], days, assumptions)
        })
        .collect();
    lines.sort_by(|a, b| {
        let key = |l: &Line| (l.slot.data_centre.clone(), l.slot.class, l.service.clone());
        key(a).cmp(&key(b))
    });
    Forecast {
        days: assumptions.days,
        lines,
    }
}

/// The days from which and for which a forecast is made.
#[derive(Clone, Copy)]
struct Days {
    /// Number of days of the ledger that are used.
    past: usize,
    /// The day after the last one of the ledger.
    end: Day,
    /// Number of days in the forecast.
    ahead: u32,
}

/// Returns the trend of the daily instance hours of a service.
fn trend(rows: &[&Row], service: &ServiceId, start: Day, end: Day) -> Trend {
    let mut values = vec![0.0; (end - start) as usize];
    for row in rows.iter().filter(|row| row.service == *service) {
        values[(row.day - start) as usize] += row.hours;
    }
    Trend::new(&values)
}

/// Returns the forecast of one service in one slot from its rows.
fn line(
    slot: &Slot,
    service: &ServiceId,
    rows: &[&Row],
    trend: &Trend,
    days: Days,
    assumptions: &Assumptions,
) -> Line {
    let total_hours: f64 = rows.iter().map(|row| row.hours).sum();
    let per_day = total_hours / days.past as f64;
    let factor = trend.mean_ahead(days.past, days.ahead) / trend.level.max(f64::MIN_POSITIVE);
    let middle = per_day * factor * f64::from(days.ahead);
    let spread = (trend.spread.max(MIN_SPREAD) * DECILE_DEVIATIONS).min(1.0);
    let price = price(rows, days.end);
    let hours = Range {
        low: middle * (1.0 - spread),
        middle,
        high: middle * (1.0 + spread),
    };
    let reclaims: u32 = rows.iter().map(|row| row.reclaims).sum();
    let lost_share =
        f64::from(reclaims) * assumptions.replacement_hours / total_hours.max(f64::MIN_POSITIVE);
    Line {
        slot: slot.clone(),
        service: service.clone(),
        hours,
        price,
        spend: hours * price,
        reclaim_losses: middle * lost_share.min(1.0) * price,
        growth: per_day * (factor - 1.0) * f64::from(days.ahead) * price,
    }
}

/// Returns the mean price per instance hour of the last days, or of all rows if nothing ran in
/// those days.
fn price(rows: &[&Row], end: Day) -> f64 {
    let mean_price = |from: Day| {
        let recent = || rows.iter().filter(move |row| row.day >= from);
        let hours: f64 = recent().map(|row| row.hours).sum();
        let spend: f64 = recent().map(|row| row.spend).sum();
        (hours > 0.0).then(|| spend / hours)
    };
    let recent = mean_price(end.saturating_sub(PRICE_DAYS));
    recent.or_else(|| mean_price(0)).unwrap_or(0.0)
}
