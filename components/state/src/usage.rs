//! Number of requests that ran in each window of the wall clock, which is reported to the cloud.

use config::ids::AccountId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of a window: window `k` begins `k` window lengths after the Unix epoch.
pub type Window = u64;
/// Number of requests that ran, by account.
pub type Counts = IndexMap<AccountId, u64>;

/// Windows kept at one time. Reports of older ones are no longer sent.
pub const MAX_WINDOWS: usize = 64;

/// The newest closed windows, whose counts are final.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Windows {
    closed: IndexMap<Window, Counts>,
    reported: Window,
}

impl Windows {
    /// Returns the counts of a window that is closed.
    pub fn get(&self, window: Window) -> Option<&Counts> {
        self.closed.get(&window)
    }

    /// Returns the closed windows whose reports the cloud has not accepted yet, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = (Window, &Counts)> {
        let is_unreported = |window: &Window| *window > self.reported;
        self.closed
            .iter()
            .filter(move |(window, _)| is_unreported(window))
            .map(|(window, counts)| (*window, counts))
    }

    /// Returns the newest closed window; 0 before the first.
    pub fn newest(&self) -> Window {
        self.closed.keys().copied().max().unwrap_or(0)
    }

    /// Closes a window. Later counts of a closed window are ignored.
    pub(crate) fn close(&mut self, window: Window, counts: Counts) {
        while self.closed.len() >= MAX_WINDOWS {
            self.closed.shift_remove_index(0);
        }
        self.closed.entry(window).or_insert(counts);
    }

    /// Marks the reports of all windows up to this one as accepted.
    pub(crate) fn mark_reported(&mut self, window: Window) {
        self.reported = self.reported.max(window);
    }
}
