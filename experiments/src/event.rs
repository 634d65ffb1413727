//! Events of a run.

use std::cmp::Ordering;

use upstream::Announcement;

use crate::Micros;
use crate::job::Job;

/// Something that happens at a time.
pub(crate) struct Event {
    pub(crate) at: Micros,
    pub(crate) number: u64,
    pub(crate) what: What,
}

/// What happens.
pub(crate) enum What {
    Arrive(usize),
    /// A job looks for an engine again, after an engine refused or died.
    Again(Job),
    EndStep(usize),
    Report,
    Deliver(Vec<Announcement>),
    Poll,
    Plan,
    Notice,
    Die,
    Ready(usize),
    /// The warm-up ends.
    Count,
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
