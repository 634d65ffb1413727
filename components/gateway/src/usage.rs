//! Counts of the requests that began to run, by wall-clock window and account.

use std::time::{Duration, Instant};

use config::ids::AccountId;
use indexmap::IndexMap;
use state::usage::Window;

/// Number of windows that are reported repeatedly, so that a newly elected leader receives them.
const MAX_WINDOWS: usize = 5;

/// Counts of one entry process.
#[derive(Debug)]
pub struct Usage {
    window: Duration,
    /// A reference instant, and its time in milliseconds since the Unix epoch.
    clock: (Instant, u64),
    counts: IndexMap<Window, IndexMap<AccountId, u64>>,
}

impl Usage {
    /// Creates counts in windows of length `window`, with `unix_ms` as the current time. A length
    /// of 0 disables the counts.
    pub fn new(window: Duration, unix_ms: u64, now: Instant) -> Self {
        Usage {
            window,
            clock: (now, unix_ms),
            counts: IndexMap::new(),
        }
    }

    /// Sets the clock to the time received from the leader.
    pub fn set_clock(&mut self, unix_ms: u64, now: Instant) {
        self.clock = (now, unix_ms);
    }

    /// Counts a request that began to run at `now`.
    pub fn record(&mut self, account: &AccountId, now: Instant) {
        if self.window.is_zero() {
            return;
        }
        let window = self.window_at(now);
        let counts = self.counts.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        self.counts.sort_unstable_keys();
        while self.counts.len() > MAX_WINDOWS {
            self.counts.shift_remove_index(0);
        }
    }

    /// Returns the counts of the newest windows, for a report to the leader.
    pub fn report(&self) -> Vec<(Window, AccountId, u64)> {
        let rows = |(window, counts): (&Window, &IndexMap<AccountId, u64>)| {
            let window = *window;
            let rows = |(account, count): (&AccountId, &u64)| (window, account.clone(), *count);
            counts.iter().map(rows).collect::<Vec<_>>()
        };
        self.counts.iter().flat_map(rows).collect()
    }

    fn window_at(&self, now: Instant) -> Window {
        let (at, unix_ms) = self.clock;
        let passed = now.saturating_duration_since(at).as_millis();
        let unix_ms = u128::from(unix_ms) + passed;
        let window = unix_ms / self.window.as_millis().max(1);
        Window::try_from(window).unwrap_or(Window::MAX)
    }
}
