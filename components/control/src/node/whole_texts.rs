//! Leases that carry a whole text, for entries of releases that fetch none.
//!
//! All entries ask at the same moment. Answered at once, the copies would fill the leader's link, and
//! heartbeats and other leases would wait behind them.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId};
use indexmap::IndexMap;

/// Texts that are under way at one time.
const MAX_UNDER_WAY: usize = 8;
/// Bytes that an entry receives in a second: those of a link of 10 Mbit/s.
const ENTRY_BYTES_PER_SECOND: f64 = 1_250_000.0;
/// Smallest text that takes a turn.
pub(super) const MIN_BYTES: usize = 16 * 1_024;
/// Longest wait of a request for its turn; entries give up after a second.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(800);

/// Texts that are under way with leases.
#[derive(Debug, Default)]
pub(super) struct WholeTexts {
    /// Processes that receive a text, and until when.
    under_way: IndexMap<(NodeId, Incarnation), Instant>,
}

impl WholeTexts {
    /// Reports whether a text of `bytes` may be sent to a process now, and counts it as under way. A
    /// process has one under way at a time, also if it asks through several control processes.
    pub(super) fn begin(
        &mut self,
        process: (NodeId, Incarnation),
        bytes: usize,
        now: Instant,
    ) -> bool {
        self.under_way.retain(|_, until| *until > now);
        if self.under_way.len() >= MAX_UNDER_WAY || self.under_way.contains_key(&process) {
            return false;
        }
        let time = Duration::from_secs_f64(bytes as f64 / ENTRY_BYTES_PER_SECOND);
        self.under_way.insert(process, now + time);
        true
    }
}
