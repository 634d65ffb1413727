//! Whether the entry takes requests.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// State of the entry that its readiness follows from.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    stopping: OnceLock<Instant>,
    in_progress: AtomicUsize,
}

impl Drain {
    /// Begins the stop.
    pub(crate) fn stop(&self, now: Instant) {
        self.stopping.get_or_init(|| now);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Reports whether a request that is expected to take `expected` ends before the process does,
    /// which lives at most `limit` after the stop began.
    pub(crate) fn outlives(&self, expected: Duration, limit: Duration, now: Instant) -> bool {
        let stopping = self.stopping.get();
        stopping.is_none_or(|began| now + expected <= *began + limit)
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    pub(crate) fn began(&self) {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn ended(&self) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
