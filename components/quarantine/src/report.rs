//! What an entry tells the leader.

use serde::{Deserialize, Serialize};

use crate::{Crash, SubjectId};

/// An entry's statement about crashes and subjects.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Number of the newest notice that the entry has applied.
    pub notice: u64,
    /// Recent crashes; each is repeated for some seconds, in case a report is lost.
    pub crashes: Vec<Crash>,
    /// Watched subjects with which an answer began well, and how long ago, in milliseconds.
    pub begun_well: Vec<(SubjectId, u64)>,
    /// Subjects of requests that were refused lately.
    pub refused: Vec<SubjectId>,
}
