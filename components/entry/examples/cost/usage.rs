//! Processor time and memory of another process, and the clock that callers and upstream share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Clock ticks per second of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns nanoseconds since the Unix epoch.
pub(crate) fn now_nanos() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_nanos()).unwrap_or(u64::MAX)
}

/// Returns the processor time that a process has used.
pub(crate) fn processor_time(pid: u64) -> Duration {
    let stat = read(pid, "stat");
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn memory(pid: u64) -> u64 {
    let status = read(pid, "status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0) * 1_024
}

fn read(pid: u64, name: &str) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default()
}
