//! Checks operators' texts and settings, and reports diagnostics with their positions.

mod report;
mod settings;
pub(crate) mod suggestion;
mod text;

use crate::document::Document;
use crate::{Diagnostic, Settings, Text, diagnostic};

/// Parses and checks the operators' text in `source`. Returns the text if it has no errors, and all
/// diagnostics in the order of their positions. `file` is the file name shown in diagnostics.
pub fn text(file: &str, source: &str) -> (Option<Text>, Vec<Diagnostic>) {
    let document = match Document::parse(file, source) {
        Ok(document) => document,
        Err(diagnostics) => return (None, diagnostics),
    };
    let (text, mut diagnostics) = document.deserialize::<Text>();
    if let Some(text) = &text {
        diagnostics.extend(text::check(&document, text));
    }
    finish(text, diagnostics)
}

/// Parses and checks the operators' text in TOML. This is the [`crate::text::Parser`] for
/// Chervilloft's own protocols ([`Interface::Own`](crate::settings::Interface::Own)).
///
/// # Errors
/// Returns all diagnostics, one per line.
pub fn parse(source: &str) -> Result<Text, String> {
    let (text, diagnostics) = text("text", source);
    text.ok_or_else(|| {
        let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

/// Parses and checks the settings of a process in `source`; the parameters and the result are as in
/// [`text`].
pub fn settings(file: &str, source: &str) -> (Option<Settings>, Vec<Diagnostic>) {
    let document = match Document::parse(file, source) {
        Ok(document) => document,
        Err(diagnostics) => return (None, diagnostics),
    };
    let (settings, mut diagnostics) = document.deserialize::<Settings>();
    if let Some(settings) = &settings {
        diagnostics.extend(settings::check(&document, settings));
    }
    finish(settings, diagnostics)
}

fn finish<T>(value: Option<T>, mut diagnostics: Vec<Diagnostic>) -> (Option<T>, Vec<Diagnostic>) {
    diagnostics.sort_by_key(|diagnostic| diagnostic.position);
    let accepted = value.filter(|_| !diagnostic::has_errors(&diagnostics));
    (accepted, diagnostics)
}
