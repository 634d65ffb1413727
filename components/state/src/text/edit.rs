//! A replacement that is stored as what it changes.

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::Version;
use serde::{Deserialize, Serialize};

use super::Replacement;

/// A [`Replacement`] as a patch of the newest text, so that its size follows what changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Version that the operator gave it.
    pub version: Version,
    /// Operator who submits.
    pub operator: CompactString,
    /// Version of the text that the patch changes; 0 for an empty text.
    pub base: Version,
    /// Patch of that text.
    pub patch: Bytes,
}

impl Edit {
    /// Encodes a replacement relative to the text `base`.
    ///
    /// # Errors
    /// If the text can't be encoded.
    pub fn new(replacement: &Replacement, base: (Version, &str)) -> Result<Self, patch::Fault> {
        let (base, base_text) = base;
        Ok(Edit {
            version: replacement.version,
            operator: replacement.operator.clone(),
            base,
            patch: patch::encode(base_text, &replacement.source)?,
        })
    }
}
