//! How well a scheme enforced a limit.

use std::time::Duration;

use crate::arrivals::LENGTH;

/// Window over which admissions are compared with the limit.
const WINDOW: Duration = Duration::from_secs(5);

/// Results of one run.
pub(crate) struct Score {
    /// Messages per second at the leader, requests and answers.
    pub(crate) messages: f64,
    /// Largest excess of admissions over the limit in any window, as a fraction of the limit.
    pub(crate) over: f64,
    /// Shortfall of admissions, as a fraction of what the limit and the load allowed.
    pub(crate) under: f64,
}

impl Score {
    pub(crate) fn new(rate: f64, offered: usize, admitted: &[Duration], messages: usize) -> Score {
        let seconds = LENGTH.as_secs_f64();
        let allowed = (rate * WINDOW.as_secs_f64()).max(1.0);
        let mut start = 0;
        let mut max_admitted = 0;
        for (end, at) in admitted.iter().enumerate() {
            while *at - admitted[start] > WINDOW {
                start += 1;
            }
            max_admitted = max_admitted.max(end + 1 - start);
        }
        let possible = (rate * seconds).min(offered as f64);
        Score {
            messages: messages as f64 / seconds,
            over: (max_admitted as f64 / allowed - 1.0).max(0.0),
            under: (1.0 - admitted.len() as f64 / possible).max(0.0),
        }
    }
}
