//! The level and slope of a daily series.

/// Days of a week, after which demand repeats itself.
const WEEK: usize = 7;
/// Least days from which a slope is read.
const MIN_DAYS: usize = 14;

/// Level and slope of a series of daily values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Trend {
    /// Mean of the days known.
    pub(super) level: f64,
    /// Change per day.
    pub(super) slope: f64,
    /// Standard deviation of the weeks around the trend, relative to the level.
    pub(super) spread: f64,
}

impl Trend {
    /// Reads the trend of `values`, oldest first, one for each day.
    pub(super) fn of(values: &[f64]) -> Self {
        let level = mean(values);
        let slope = match values.len() {
            days if days < MIN_DAYS => 0.0,
            _ => slope(values),
        };
        let centre = (values.len() as f64 - 1.0) / 2.0;
        let weeks: Vec<f64> = values
            .chunks(WEEK)
            .enumerate()
            .filter(|(_, week)| week.len() == WEEK)
            .map(|(n, week)| mean(week) - slope * ((n * WEEK + WEEK / 2) as f64 - centre))
            .collect();
        let off = weeks.iter().map(|week| (week - level).powi(2)).sum::<f64>();
        let spread = match weeks.len() {
            0 | 1 => 0.0,
            count => (off / (count - 1) as f64).sqrt() / level.max(f64::MIN_POSITIVE),
        };
        Trend {
            level,
            slope,
            spread,
        }
    }

    /// Returns the mean of the `days` that follow `known` days.
    pub(super) fn ahead(&self, known: usize, days: u32) -> f64 {
        let offset = (known as f64 + f64::from(days)) / 2.0;
        (self.level + self.slope * offset).max(0.0)
    }
}

/// Returns the least-squares slope within weekdays, so that a week's round is no trend.
fn slope(values: &[f64]) -> f64 {
    let (mut up, mut across) = (0.0, 0.0);
    for weekday in 0..WEEK {
        let days = || values.iter().enumerate().skip(weekday).step_by(WEEK);
        let count = days().count() as f64;
        let day = days().map(|(day, _)| day as f64).sum::<f64>() / count;
        let value = days().map(|(_, value)| value).sum::<f64>() / count;
        up += days()
            .map(|(d, v)| (d as f64 - day) * (v - value))
            .sum::<f64>();
        across += days().map(|(d, _)| (d as f64 - day).powi(2)).sum::<f64>();
    }
    up / across
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
