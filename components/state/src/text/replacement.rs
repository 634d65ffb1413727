//! A text with a version given by its operator.

use compact_str::CompactString;
use config::ids::Version;
use serde::{Deserialize, Serialize};

/// A text with a version given by its operator. The highest version is in force.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Replacement {
    /// Version that the operator gave it.
    pub version: Version,
    /// Operator who submits.
    pub operator: CompactString,
    /// The text, in the operators' language.
    pub source: String,
}
