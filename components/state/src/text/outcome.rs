//! The result of a submission.

use config::ids::Version;
use serde::{Deserialize, Serialize};

/// The result of a submission or replacement. A resent submission gets the first outcome again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The text is committed.
    Accepted {
        /// Version given to the text.
        version: Version,
    },
    /// The base is not the newest version; nothing changed.
    Conflict {
        /// Version that was the newest when the submission was first seen.
        newest: Version,
    },
    /// Another text with the same or a higher version is in force; nothing changed.
    Superseded {
        /// The version in force.
        newest: Version,
    },
    /// The submission id was used before with another base or text; nothing changed.
    Reused,
    /// The text is larger than [`super::MAX_TEXT_BYTES`], or that of a replacement is larger than
    /// [`super::MAX_REPLACEMENT_BYTES`]; nothing changed.
    TooLarge,
}
