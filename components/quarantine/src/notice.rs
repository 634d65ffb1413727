//! What the leader tells entries.

use serde::{Deserialize, Serialize};

use crate::SubjectId;

/// The leader's answer to a [`Report`](crate::Report).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Number that grows with each subject that comes under suspicion.
    pub number: u64,
    /// Parts of which the entry states when an answer last began well.
    pub watched: Vec<SubjectId>,
    /// Parts in quarantine.
    pub quarantined: Vec<SubjectId>,
    /// Subjects in quarantine with which the entry lets one request through.
    pub trials: Vec<SubjectId>,
}
