//! `chervilloft check`: checks a file and changes nothing.

use std::process::ExitCode;

use clap::ArgMatches;
use config::{Diagnostic, check, diagnostic};
use errors::Result;

use super::files;
use crate::{cli, messages};

/// Checks the file and prints the diagnostics.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = cli::path(matches, "file");
    let source = files::read(&path)?;
    let file = path.display().to_string();
    let diagnostics = diagnostics(&file, &source, matches.get_flag("as-settings"));
    match cli::wants_json(matches) {
        true => messages::print_json(&diagnostics),
        false => messages::print_diagnostics(&file, &diagnostics),
    }
    match diagnostic::has_errors(&diagnostics) {
        true => Ok(ExitCode::from(messages::exit::INVALID)),
        false => Ok(ExitCode::SUCCESS),
    }
}

fn diagnostics(file: &str, source: &str, as_settings: bool) -> Vec<Diagnostic> {
    match as_settings {
        true => check::settings(file, source).1,
        false => check::text(file, source).1,
    }
}
