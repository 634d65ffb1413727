//! Unix time, from the wall clock and from a clock that is never set back.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the Unix epoch by the wall clock, which may be set.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the milliseconds since the Unix epoch: the wall clock at the first call, advanced by the
/// boot-time clock since then. Changes of the wall clock have no effect; time in which the machine
/// was suspended counts.
pub fn monotonic_unix_ms() -> u64 {
    static ORIGIN: OnceLock<(u64, Duration)> = OnceLock::new();
    let (unix_at, boot_at) = *ORIGIN.get_or_init(|| (unix_ms(), since_boot()));
    let elapsed = since_boot().saturating_sub(boot_at);
    unix_at + u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(at.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(at.tv_nsec).unwrap_or(0))
}
