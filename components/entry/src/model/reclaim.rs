//! Whether a stream should be moved away from an upstream that is being reclaimed.

use std::time::{Duration, Instant};

use upstream::{Availability, Routes};

/// A stream stays if it is expected to end within this share of the time left.
const SAFE_SHARE: f64 = 0.7;
/// Shortest time left in which an export and an import of the state are attempted.
pub(super) const MIN_TRANSFER_TIME: Duration = Duration::from_millis(300);

/// The progress of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Tokens generated in this attempt.
    pub(super) tokens: usize,
    /// Time since its first token.
    pub(super) elapsed: Duration,
    /// Largest number of tokens that are still to be generated.
    pub(super) remaining: usize,
}

/// Returns when `upstream` stops, if it is being reclaimed.
pub(super) fn stops_at(routes: &Routes, service: &str, upstream: &str) -> Option<Instant> {
    let route = routes
        .for_service(service)
        .find(|route| route.announcement.upstream == upstream)?;
    match route.announcement.availability {
        Availability::Reclaimed { in_ms } => Some(route.announced + Duration::from_millis(in_ms)),
        Availability::Leaving | Availability::Serving => None,
    }
}

/// Reports whether the answer is expected to end well before the upstream stops, at the pace of the
/// tokens so far.
pub(super) fn finishes_in_time(progress: Progress, time_left: Duration) -> bool {
    let per_token = match progress.tokens {
        0 | 1 => return false,
        tokens => progress.elapsed / u32::try_from(tokens - 1).unwrap_or(u32::MAX),
    };
    let remaining = u32::try_from(progress.remaining).unwrap_or(u32::MAX);
    per_token.saturating_mul(remaining) < time_left.mul_f64(SAFE_SHARE)
}
