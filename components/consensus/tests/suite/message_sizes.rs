//! Sizes of messages, before which heartbeats wait.

use std::time::Duration;

use consensus::Settings;
use googletest::prelude::*;

/// Bandwidth of a small control instance, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 12_500_000.0;
/// Shortest interval between heartbeats that deployments use.
const HEARTBEAT: Duration = Duration::from_millis(100);

#[gtest]
fn delays_no_heartbeat_for_longer_than_their_interval_behind_entries_or_a_snapshot() {
    let settings = Settings::default();
    let entries = settings.max_append_bytes * settings.max_inflight;
    let most = entries.max(settings.max_chunk_bytes);
    // Two members may lag at the same time.
    let delay = 2.0 * most as f64 / LINK_BYTES_PER_SECOND;
    expect_that!(delay, lt(HEARTBEAT.as_secs_f64()));
}
