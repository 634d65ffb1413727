//! A submitted text.

use compact_str::CompactString;
use config::ids::Version;
use serde::{Deserialize, Serialize};

/// Identifier of a submission, chosen by the operator and kept over resends.
pub type SubmissionId = CompactString;

/// A text that is to replace version `base`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Submission {
    /// Identifier, equal for resends of the same submission.
    pub id: SubmissionId,
    /// Version that the operator edited; 0 for the first text.
    pub base: Version,
    /// Operator who submits.
    pub operator: CompactString,
    /// The text, in TOML.
    pub source: String,
}
