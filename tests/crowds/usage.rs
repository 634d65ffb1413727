//! Memory and descriptors of a process, as proc(5) reports them.

use std::fs;
use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Time for which descriptors are counted: the process may still be accepting connections.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Pause between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the resident memory, in bytes.
pub(crate) fn resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmRSS:")
}

/// Returns the largest resident memory since the start, in bytes.
pub(crate) fn peak_resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmHWM:")
}

/// Returns the largest number of open descriptors within [`COUNT_TIME`].
pub(crate) async fn peak_descriptors(pid: u32) -> usize {
    let end = Instant::now() + COUNT_TIME;
    let mut peak = 0;
    while Instant::now() < end {
        peak = peak.max(open_descriptors(pid));
        sleep(COUNT_INTERVAL).await;
    }
    peak
}

/// Returns the number of open descriptors; 0 if the process has ended.
fn open_descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns a field of the process's status; 0 if the process has ended.
fn status_bytes(pid: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
