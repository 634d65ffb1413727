//! The bound on a frame's age. Pure: time comes in with each call.
//!
//! A frame echoes the number of the last envelope that its sender had received. It can't have
//! been written before that envelope was sent, so its age is at most the time since then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Envelopes whose time of sending is kept. Later ones count as sent with the last that is kept,
/// which can only overstate an age.
const KEPT: usize = 4_096;

/// When this end sent the envelopes that the other end may still echo.
#[derive(Clone, Debug)]
pub struct Window {
    floor: (u64, Instant),
    sent: VecDeque<(u64, Instant)>,
    last: u64,
}

impl Window {
    /// Starts with nothing sent at `now`.
    pub fn new(now: Instant) -> Self {
        Window {
            floor: (0, now),
            sent: VecDeque::new(),
            last: 0,
        }
    }

    /// Takes in that envelope `number` is about to be written at `now`.
    pub fn sent(&mut self, number: u64, now: Instant) {
        self.last = number;
        if self.sent.len() < KEPT {
            self.sent.push_back((number, now));
        }
    }

    /// Returns the greatest age at `now` of a frame that echoes `echo`; `None` when the echo goes
    /// back or names an envelope that was never sent.
    pub fn age(&mut self, echo: u64, now: Instant) -> Option<Duration> {
        while let Some(first) = self.sent.front().filter(|(number, _)| *number <= echo) {
            self.floor = *first;
            self.sent.pop_front();
        }
        let (oldest, at) = self.floor;
        (oldest..=self.last)
            .contains(&echo)
            .then(|| now.saturating_duration_since(at))
    }
}
