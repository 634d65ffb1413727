//! A TOML document that locates diagnostics by line and column.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Deserializer};

use crate::Diagnostic;
use crate::check::suggestion;
use crate::diagnostic::{Position, Severity};

const MAX_DIAGNOSTICS: usize = 50;

/// A parsed TOML document with its source.
pub(crate) struct Document<'s> {
    file: &'s str,
    source: &'s str,
    root: Spanned<DeTable<'s>>,
}

impl<'s> Document<'s> {
    /// Parses `source`, or returns its syntax errors.
    pub(crate) fn parse(file: &'s str, source: &'s str) -> Result<Self, Vec<Diagnostic>> {
        let (root, errors) = DeTable::parse_recoverable(source);
        let document = Document { file, source, root };
        match errors.is_empty() {
            true => Ok(document),
            false => Err(document.syntax_diagnostics(&errors)),
        }
    }

    /// Deserializes the document as a `T`. Each unknown key is reported and removed, and the rest
    /// is deserialized again, so that one call reports all of them.
    pub(crate) fn deserialize<T: DeserializeOwned>(&self) -> (Option<T>, Vec<Diagnostic>) {
        let mut root = self.root.clone();
        let mut diagnostics = Vec::new();
        while diagnostics.len() < MAX_DIAGNOSTICS {
            match T::deserialize(Deserializer::from(root.clone())) {
                Ok(value) => return (Some(value), diagnostics),
                Err(error) => {
                    diagnostics.push(self.deserialize_diagnostic(&error));
                    let removed = error.message().starts_with("unknown field")
                        && error
                            .span()
                            .is_some_and(|span| remove_key(root.get_mut(), &span));
                    if !removed {
                        break;
                    }
                }
            }
        }
        (None, diagnostics)
    }

    /// Returns a diagnostic at the key `path`, or at its longest prefix that exists.
    pub(crate) fn diagnostic(
        &self,
        severity: Severity,
        path: &[&str],
        message: String,
        help: Option<String>,
    ) -> Diagnostic {
        let span = locate(self.root.get_ref(), path).unwrap_or(0..0);
        let diagnostic = self.error_at(Some(span), message, help);
        Diagnostic {
            severity,
            ..diagnostic
        }
    }

    fn syntax_diagnostics(&self, errors: &[toml::de::Error]) -> Vec<Diagnostic> {
        let diagnostic =
            |error: &toml::de::Error| self.error_at(error.span(), error.message().to_owned(), None);
        let mut diagnostics: Vec<Diagnostic> = errors
            .iter()
            .take(MAX_DIAGNOSTICS)
            .map(diagnostic)
            .collect();
        diagnostics.sort_by_key(|diagnostic| diagnostic.position);
        diagnostics
    }

    fn deserialize_diagnostic(&self, error: &toml::de::Error) -> Diagnostic {
        let (message, help) = suggestion::message_and_help(error.message());
        self.error_at(error.span(), message, help)
    }

    fn error_at(
        &self,
        span: Option<Range<usize>>,
        message: String,
        help: Option<String>,
    ) -> Diagnostic {
        Diagnostic {
            severity: Severity::Error,
            file: self.file.to_owned(),
            position: Position::at(self.source, span.map_or(0, |span| span.start)),
            message,
            help,
        }
    }
}

fn remove_key(table: &mut DeTable<'_>, span: &Range<usize>) -> bool {
    let key = table
        .keys()
        .find(|key| key.span() == *span)
        .map(|key| key.get_ref().clone());
    let removed_here = key.is_some_and(|key| table.remove(key.as_ref()).is_some());
    removed_here
        || table
            .iter_mut()
            .any(|(_, value)| remove_key_in(value.get_mut(), span))
}

fn remove_key_in(value: &mut DeValue<'_>, span: &Range<usize>) -> bool {
    match value {
        DeValue::Table(table) => remove_key(table, span),
        DeValue::Array(array) => array
            .iter_mut()
            .any(|item| remove_key_in(item.get_mut(), span)),
        _ => false,
    }
}

/// Returns the span of the last key of `path`, or of an array's item if `path` ends with its index.
fn locate(table: &DeTable<'_>, path: &[&str]) -> Option<Range<usize>> {
    let (first, rest) = path.split_first()?;
    let (key, value) = table.iter().find(|(key, _)| key.get_ref() == first)?;
    locate_in(value.get_ref(), rest).or(Some(key.span()))
}

fn locate_in(value: &DeValue<'_>, path: &[&str]) -> Option<Range<usize>> {
    match value {
        DeValue::Table(table) => locate(table, path),
        DeValue::Array(array) => {
            let (first, rest) = path.split_first()?;
            let item = array.get(first.parse::<usize>().ok()?)?;
            locate_in(item.get_ref(), rest).or(Some(item.span()))
        }
        _ => None,
    }
}
