//! The table of claimed idempotency keys.
//!
//! A claim is pending from its grant until the holder settles it. Every claim has a due time: a
//! pending claim turns unknown then, a settled or unknown one is removed. The due time of a pending
//! claim is brought forward when the holder's entry is lost.

mod record;
mod table;

pub use record::Unknown;
pub(crate) use record::{Holder, Outcome, Record};
pub use table::Claims;

use std::time::Duration;

/// Time after sending the claim within which the holder must dispatch the call.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(2);
/// Margin after the dispatch window of a lost entry, before its pending claims turn unknown.
pub const DISPATCH_MARGIN: Duration = Duration::from_secs(1);
/// Longest time for which a claim stays pending.
pub const PENDING_TIMEOUT: Duration = Duration::from_secs(15 * 60);
/// Time for which a withdrawal is kept. It prevents the grant of a claim that arrives after it.
pub const WITHDRAWAL_RETENTION: Duration = Duration::from_secs(60);
/// Claims kept at one time; further ones are refused.
pub const MAX_CLAIMS: usize = 100_000;
/// Largest body of a recorded answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;
/// Largest size of the bodies of all recorded answers together, in bytes.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// Withdrawals kept at one time; further ones are not recorded.
pub const MAX_WITHDRAWALS: usize = 10_000;

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
