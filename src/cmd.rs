//! A module for each command.

mod check;
mod control;
mod entry;
mod explain;
mod files;
mod forecast;
mod operator;
mod runtime;
mod status;
mod submit;

use std::process::ExitCode;

use clap::ArgMatches;
use errors::Result;

/// Runs the command that was asked for.
///
/// # Errors
/// Returns what failed, with the step and the peer.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let done = |()| ExitCode::SUCCESS;
    match matches.subcommand() {
        Some(("entry", matches)) => entry::run(matches).map(done),
        Some(("control", matches)) => control::run(matches).map(done),
        Some(("check", matches)) => check::run(matches),
        Some(("submit", matches)) => submit::run(matches),
        Some(("show", matches)) => status::show(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("forecast", matches)) => forecast::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        _ => Ok(ExitCode::FAILURE),
    }
}
