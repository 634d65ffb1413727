//! Whether this entry knows all upstreams that others know.
//!
//! An entry that stood still, or that was cut off from the control processes, has not heard of the
//! upstreams that joined meanwhile, and does not notice it by itself.

use std::time::{Duration, Instant};

/// Longest time between two checks of an entry that runs.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Time within which an entry that is in contact has heard of all upstreams.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The contact of an entry with the control processes, checked several times a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    checked: Option<Instant>,
    /// When the entry has heard of all upstreams since it was last out of contact.
    settled_from: Option<Instant>,
}

impl Contact {
    /// Records a check. `is_fresh` is whether the control processes vouch for what is known.
    pub fn record(&mut self, is_fresh: bool, now: Instant) {
        if !is_fresh || !self.runs(now) || self.settled_from.is_none() {
            self.settled_from = Some(now + SETTLING_TIME);
        }
        self.checked = Some(now);
    }

    /// Reports whether the entry has heard of all upstreams that joined some time ago.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.runs(now) && self.settled_from.is_some_and(|from| now >= from)
    }

    /// Reports whether the last check was recent, so that the process did not stand still.
    fn runs(&self, now: Instant) -> bool {
        self.checked
            .is_some_and(|checked| now.saturating_duration_since(checked) <= MAX_GAP)
    }
}
