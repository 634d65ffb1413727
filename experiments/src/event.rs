//! Events of a simulation.

use std::cmp::Ordering;

use upstream::Announcement;

use crate::Micros;
use crate::job::Job;

/// Event at a time; events at the same time are ordered by number.
pub(crate) struct Event {
    pub(crate) at: Micros,
    pub(crate) number: u64,
    pub(crate) kind: Kind,
}

/// Kind of an event, with indices of arrivals or engines.
pub(crate) enum Kind {
    /// A request arrives.
    Arrive(usize),
    /// A job that an engine refused is dispatched again.
    Retry(Job),
    /// An engine ends its step.
    EndStep(usize),
    /// Engines send announcements.
    Announce,
    /// Announcements reach the entries.
    Deliver(Vec<Announcement>),
    /// Entries read cache events.
    Poll,
    /// The planner decides on starts.
    Plan,
    /// Engines receive the notice of a reclaim.
    Notice,
    /// The engines that received the notice are killed.
    Kill,
    /// A started engine serves.
    Ready(usize),
    /// The warm-up ends, and requests are counted from here.
    EndWarmUp,
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}
