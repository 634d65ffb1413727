//! Reads the files given to commands.

use std::path::Path;

use config::{Diagnostic, Keys, Settings, Text, check};
use errors::{Error, Peer, Result, Step};

/// Reads a file as text.
pub(crate) fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|cause| Error::Io(Step::Load, Peer::File(path.to_owned()), cause))
}

/// Reads settings. Fails if the settings have errors; ignores warnings.
pub(crate) fn settings(path: &Path) -> Result<Settings> {
    let source = read(path)?;
    let (settings, diagnostics) = check::settings(&path.display().to_string(), &source);
    settings.ok_or_else(|| invalid(path, &diagnostics))
}

/// Reads an operators' text and returns it with its source. Fails if the text has errors; ignores
/// warnings.
pub(crate) fn text(path: &Path) -> Result<(Text, String)> {
    let source = read(path)?;
    let (text, diagnostics) = check::text(&path.display().to_string(), &source);
    match text {
        Some(text) => Ok((text, source)),
        None => Err(invalid(path, &diagnostics)),
    }
}

/// Reads the keys file that `settings` name.
pub(crate) fn keys(settings: &Settings) -> Result<Keys> {
    let path = &settings.keys_file;
    Keys::parse(&read(path)?)
        .map_err(|message| Error::Invalid(Step::Load, Peer::File(path.clone()), message))
}

fn invalid(path: &Path, diagnostics: &[Diagnostic]) -> Error {
    let listing: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    let message = format!("has errors and was not accepted\n{}", listing.join("\n"));
    Error::Invalid(Step::Load, Peer::File(path.to_owned()), message)
}
