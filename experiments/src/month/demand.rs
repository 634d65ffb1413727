//! Demand of the simulated days.

use config::Text;
use placement::forecast::Assumptions;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::User;

/// Growth of the demand per day, relative to the first day.
const DAILY_GROWTH: f64 = 0.002;
/// Demand on the last two days of a week, relative to the others.
const WEEKEND_FACTOR: f64 = 0.7;
/// Largest random deviation of a day's demand, as a share.
const MAX_DEMAND_NOISE: f64 = 0.08;

/// Returns the operators' text of a user's fleet, with the expected peak demand.
pub(super) fn text(user: User) -> Text {
    let mut text = user.text(1);
    let service = &mut text.services["engines"];
    service.expected_requests_per_second = 60.0;
    service.requests_per_second_per_instance = 5.0;
    text
}

/// Returns the factor of a day's demand: weekend, growth and noise.
pub(super) fn day_factor(day: u32, rng: &mut StdRng) -> f64 {
    let weekend = if day % 7 >= 5 { WEEKEND_FACTOR } else { 1.0 };
    let noise = 1.0 + rng.random_range(-MAX_DEMAND_NOISE..MAX_DEMAND_NOISE);
    weekend * noise * (1.0 + DAILY_GROWTH * f64::from(day))
}

/// Returns the requests per second at an hour of the day, interpolated between the forecast's
/// hourly shares of `peak`.
pub(super) fn rate(peak: f64, hour: f64, factor: f64) -> f64 {
    let daily = Assumptions::default().daily;
    let index = hour as usize;
    let next = daily[(index + 1) % daily.len()];
    let share = daily[index] + (next - daily[index]) * hour.fract();
    peak * share * factor
}
