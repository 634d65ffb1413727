//! Diagnostics of a check, with their positions.

mod position;
mod severity;

pub use position::Position;
pub use severity::Severity;

use std::fmt;

use serde::Serialize;

/// A fault of a file, or a probable mistake in it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Diagnostic {
    /// Whether the file is rejected.
    pub severity: Severity,
    /// File name, as given to the check.
    pub file: String,
    /// Position in the file.
    pub position: Position,
    /// What is wrong.
    #[serde(rename = "what")]
    pub message: String,
    /// How to fix it.
    pub help: Option<String>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic {
            severity,
            file,
            position,
            message,
            help,
        } = self;
        write!(f, "{file}:{position}: {severity}: {message}")?;
        match help {
            Some(help) => write!(f, "\n  help: {help}"),
            None => Ok(()),
        }
    }
}

/// Reports whether any of the diagnostics is an error.
pub fn has_errors(diagnostics: &[Diagnostic]) -> bool {
    diagnostics
        .iter()
        .any(|diagnostic| diagnostic.severity == Severity::Error)
}
