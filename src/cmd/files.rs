//! Reads the files that commands are given.

use std::path::Path;

use config::{Diagnostic, Keys, Settings, Text, check};
use errors::{Error, Peer, Result, Step};

/// Reads a whole file.
pub(crate) fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|cause| Error::Io(Step::Load, Peer::File(path.to_owned()), cause))
}

/// Reads settings that must be right.
pub(crate) fn settings(path: &Path) -> Result<Settings> {
    let source = read(path)?;
    let (settings, findings) = check::settings(&path.display().to_string(), &source);
    settings.ok_or_else(|| refused(path, &findings))
}

/// Reads an operators' text that must be right, and returns it with its source.
pub(crate) fn text(path: &Path) -> Result<(Text, String)> {
    let source = read(path)?;
    let (text, findings) = check::text(&path.display().to_string(), &source);
    match text {
        Some(text) => Ok((text, source)),
        None => Err(refused(path, &findings)),
    }
}

/// Reads the keys that `settings` name.
pub(crate) fn keys(settings: &Settings) -> Result<Keys> {
    let path = &settings.keys_file;
    Keys::parse(&read(path)?)
        .map_err(|what| Error::Invalid(Step::Load, Peer::File(path.clone()), what))
}

fn refused(path: &Path, findings: &[Diagnostic]) -> Error {
    let listing: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let what = format!("has errors and was not taken\n{}", listing.join("\n"));
    Error::Invalid(Step::Load, Peer::File(path.to_owned()), what)
}
