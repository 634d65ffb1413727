//! Whether a stream should leave an upstream that is being reclaimed.

use std::time::{Duration, Instant};

use upstream::{Availability, Routes};

/// Share of the time left within which an answer must be expected to end to stay.
const SAFE_SHARE: f64 = 0.7;
/// Shortest time left in which an export and an import are tried.
pub(super) const MIN_TRANSFER: Duration = Duration::from_millis(300);

/// How far an attempt has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Tokens of this attempt.
    pub(super) tokens: usize,
    /// Time since its first token.
    pub(super) elapsed: Duration,
    /// Tokens that may still come.
    pub(super) remaining: usize,
}

/// Returns when `upstream` stops, if it is being reclaimed.
pub(super) fn stops_at(routes: &Routes, service: &str, upstream: &str) -> Option<Instant> {
    let route = routes
        .of(service)
        .find(|route| route.announcement.upstream == upstream)?;
    match route.announcement.availability {
        Availability::Reclaimed { in_ms } => Some(route.received + Duration::from_millis(in_ms)),
        Availability::Leaving | Availability::Serving => None,
    }
}

/// Reports whether the answer is expected to end well before the upstream stops.
pub(super) fn ends_in_time(pace: Pace, left: Duration) -> bool {
    let per_token = match pace.tokens {
        0 | 1 => return false,
        tokens => pace.elapsed / u32::try_from(tokens - 1).unwrap_or(u32::MAX),
    };
    let remaining = u32::try_from(pace.remaining).unwrap_or(u32::MAX);
    per_token.saturating_mul(remaining) < left.mul_f64(SAFE_SHARE)
}
