//! Parts of prompts and requests in quarantine, recorded so that a new leader keeps them there.

use quarantine::Record;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// The newest record of what is in quarantine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdicts {
    at: Millis,
    records: Vec<Record>,
}

impl Verdicts {
    /// Returns the records as of the leader's wall clock `now`.
    pub fn as_of(&self, now: Millis) -> Vec<Record> {
        let elapsed = now.saturating_sub(self.at);
        let aged = |record: &Record| Record {
            age_ms: record.age_ms.saturating_add(elapsed),
            ..*record
        };
        self.records.iter().map(aged).collect()
    }

    /// Replaces the record.
    pub(crate) fn record(&mut self, at: Millis, records: Vec<Record>) {
        *self = Verdicts { at, records };
    }
}
