//! How well a limit was held.

use std::time::Duration;

use crate::arrivals::LENGTH;

/// Window in which admissions beyond the limit are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Figures of one run.
pub(crate) struct Score {
    /// Messages per second at the leader, questions and answers.
    pub(crate) messages: f64,
    /// Greatest count of admissions in a window beyond the limit, as a part of the limit.
    pub(crate) over: f64,
    /// Admissions that were missing, as a part of what the limit and the load allowed.
    pub(crate) under: f64,
}

impl Score {
    pub(crate) fn new(rate: f64, offered: usize, admitted: &[Duration], messages: usize) -> Score {
        let seconds = LENGTH.as_secs_f64();
        let allowed = (rate * WINDOW.as_secs_f64()).max(1.0);
        let mut start = 0;
        let mut most = 0;
        for (end, at) in admitted.iter().enumerate() {
            while *at - admitted[start] > WINDOW {
                start += 1;
            }
            most = most.max(end + 1 - start);
        }
        let possible = (rate * seconds).min(offered as f64);
        Score {
            messages: messages as f64 / seconds,
            over: (most as f64 / allowed - 1.0).max(0.0),
            under: (1.0 - admitted.len() as f64 / possible).max(0.0),
        }
    }
}
