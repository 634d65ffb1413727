//! The demand of the months.

use config::Text;
use placement::forecast::Assumptions;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::User;

/// Growth of the demand per day.
const GROWTH: f64 = 0.002;
/// Demand on the last two days of a week, relative to the others.
const WEEKEND: f64 = 0.7;
/// Largest share by which one day's demand is off.
const NOISE: f64 = 0.08;

/// Returns the text of a user with its expected peak.
pub(super) fn text(user: User) -> Text {
    let mut text = user.text(1);
    let service = &mut text.services["engines"];
    service.expected_requests_per_second = 60.0;
    service.requests_per_second_per_instance = 5.0;
    text
}

/// Returns the factor of a day, which noise moves.
pub(super) fn day(day: u32, rng: &mut StdRng) -> f64 {
    let weekend = if day % 7 >= 5 { WEEKEND } else { 1.0 };
    let noise = 1.0 + rng.random_range(-NOISE..NOISE);
    weekend * noise * (1.0 + GROWTH * f64::from(day))
}

/// Returns the requests per second at an hour of the day.
pub(super) fn rate(peak: f64, hour: f64, factor: f64) -> f64 {
    let daily = Assumptions::default().daily;
    let at = hour as usize;
    let next = daily[(at + 1) % daily.len()];
    let share = daily[at] + (next - daily[at]) * hour.fract();
    peak * share * factor
}
