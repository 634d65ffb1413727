//! An upper bound on the age of received frames. The caller passes the time to each call.
//!
//! A frame echoes the number of the last envelope that its sender had received. It can't have
//! been written before that envelope was sent, so its age is at most the time since then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest number of recorded send times. Envelopes beyond it count as sent at the last recorded
/// time, which can overstate an age but never understate it.
const MAX_RECORDED: usize = 4_096;

/// Send times of the envelopes that the other end may still echo.
#[derive(Clone, Debug)]
pub struct SendTimes {
    newest_echoed: (u64, Instant),
    sent: VecDeque<(u64, Instant)>,
    last: u64,
}

impl SendTimes {
    /// Starts at `now` without sent envelopes.
    pub fn new(now: Instant) -> Self {
        SendTimes {
            newest_echoed: (0, now),
            sent: VecDeque::new(),
            last: 0,
        }
    }

    /// Records that envelope `number` is written at `now`. Call it before the write, so that the
    /// age is not understated.
    pub fn record(&mut self, number: u64, now: Instant) {
        self.last = number;
        if self.sent.len() < MAX_RECORDED {
            self.sent.push_back((number, now));
        }
    }

    /// Returns the greatest age that a frame which echoes `echo` can have at `now`; `None` if the
    /// echo is smaller than an earlier one or names an envelope that was never sent.
    pub fn max_age(&mut self, echo: u64, now: Instant) -> Option<Duration> {
        while let Some(first) = self.sent.front().filter(|(number, _)| *number <= echo) {
            self.newest_echoed = *first;
            self.sent.pop_front();
        }
        let (oldest, at) = self.newest_echoed;
        (oldest..=self.last)
            .contains(&echo)
            .then(|| now.saturating_duration_since(at))
    }
}
