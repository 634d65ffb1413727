//! The times of a roll-out, all since its order.

use std::time::Duration;

/// Part of the time to the deadline that is left for moving the traffic.
const MOVE_SHARE: f64 = 0.25;
/// Shortest time for moving the traffic. Most requests of the old versions end within it.
const MIN_MOVE_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for moving the traffic; most requests have deadlines of 10 s at most.
const MAX_MOVE_TIME: Duration = Duration::from_secs(12);
/// Part of the time for moving during which the new version gets only a part of the traffic.
const STEP_SHARE: f64 = 0.2;
/// Time before the deadline at which the old versions may stop at the latest. The order may have
/// reached the log some time after the operator sent it.
const COMPLETION_MARGIN: Duration = Duration::from_millis(500);
/// Time before the deadline from which on the traffic no longer moves.
const VERDICT_MARGIN: Duration = Duration::from_millis(900);

/// The times of a roll-out, all since its order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    duration: Duration,
}

impl Schedule {
    /// Creates the schedule of a roll-out whose deadline is `duration` after its order.
    pub fn new(duration: Duration) -> Self {
        Schedule { duration }
    }

    /// Returns the deadline.
    pub fn deadline(&self) -> Duration {
        self.duration
    }

    /// Returns the time left for moving the traffic.
    pub fn move_time(&self) -> Duration {
        let usual = self.duration.mul_f64(MOVE_SHARE);
        let bounded = usual.clamp(MIN_MOVE_TIME, MAX_MOVE_TIME);
        bounded.min(self.duration / 2)
    }

    /// Returns when the canary ends if its version is good: as late as the move allows, since a
    /// version may turn bad at any time.
    pub fn verdict(&self) -> Duration {
        self.duration - self.move_time()
    }

    /// Returns when the canary ends in any case: a later move would not end before the deadline.
    pub fn latest_verdict(&self) -> Duration {
        self.duration - VERDICT_MARGIN.min(self.move_time() / 2)
    }

    /// Returns how long the new version gets only a part of the traffic.
    pub fn step(&self) -> Duration {
        self.move_time().mul_f64(STEP_SHARE)
    }

    /// Returns when the roll-out is completed, whether or not requests still run at the old
    /// versions.
    pub fn completion(&self) -> Duration {
        self.duration - COMPLETION_MARGIN.min(self.move_time() / 4)
    }
}
