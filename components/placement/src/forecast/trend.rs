//! The trend of a daily series.

/// Days of a week, the period of the demand.
const WEEK_DAYS: usize = 7;
/// Smallest number of days from which a slope is estimated.
const MIN_SLOPE_DAYS: usize = 14;

/// Level and slope of a series of daily values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Trend {
    /// Mean of the series.
    pub(super) level: f64,
    /// Change per day.
    pub(super) slope: f64,
    /// Standard deviation of the weekly means around the trend, relative to the level.
    pub(super) spread: f64,
}

impl Trend {
    /// Estimates the trend of `values`, one for each day, oldest first.
    pub(super) fn new(values: &[f64]) -> Self {
        let level = mean(values);
        let slope = match values.len() {
            days if days < MIN_SLOPE_DAYS => 0.0,
            _ => slope(values),
        };
        let centre = (values.len() as f64 - 1.0) / 2.0;
        let weeks: Vec<f64> = values
            .chunks(WEEK_DAYS)
            .enumerate()
            .filter(|(_, week)| week.len() == WEEK_DAYS)
            .map(|(n, week)| mean(week) - slope * ((n * WEEK_DAYS + WEEK_DAYS / 2) as f64 - centre))
            .collect();
        let squares = weeks.iter().map(|week| (week - level).powi(2)).sum::<f64>();
        let spread = match weeks.len() {
            0 | 1 => 0.0,
            count => (squares / (count - 1) as f64).sqrt() / level.max(f64::MIN_POSITIVE),
        };
        Trend {
            level,
            slope,
            spread,
        }
    }

    /// Returns the expected mean of the `days` that follow a series of `past` days.
    pub(super) fn mean_ahead(&self, past: usize, days: u32) -> f64 {
        let offset = (past as f64 + f64::from(days)) / 2.0;
        (self.level + self.slope * offset).max(0.0)
    }
}

/// Returns the least-squares slope around the mean of each weekday, so that the weekly cycle does
/// not count as a trend.
fn slope(values: &[f64]) -> f64 {
    let (mut covariance, mut variance) = (0.0, 0.0);
    for weekday in 0..WEEK_DAYS {
        let days = || values.iter().enumerate().skip(weekday).step_by(WEEK_DAYS);
        let count = days().count() as f64;
        let day = days().map(|(day, _)| day as f64).sum::<f64>() / count;
        let value = days().map(|(_, value)| value).sum::<f64>() / count;
        covariance += days()
            .map(|(d, v)| (d as f64 - day) * (v - value))
            .sum::<f64>();
        variance += days().map(|(d, _)| (d as f64 - day).powi(2)).sum::<f64>();
    }
    covariance / variance
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
