//! A submitted text.

use compact_str::CompactString;
use config::ids::Version;
use serde::{Deserialize, Serialize};

/// Identifier of a submission, chosen by the operator; the same for all resends.
pub type SubmissionId = CompactString;

/// A text that is to replace version `base`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Submission {
    /// Identifier, equal for resends of the same submission.
    pub id: SubmissionId,
    /// Version that the operator edited; 0 if there is no text yet.
    pub base: Version,
    /// Operator who submits.
    pub operator: CompactString,
    /// The text, in TOML.
    pub source: String,
}
