//! A module for each command.

mod check;
mod explain;
mod files;

use std::process::ExitCode;

use clap::ArgMatches;
use errors::Result;

/// Runs the command that was asked for.
///
/// # Errors
/// Returns what failed, with the step and the peer.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        _ => Ok(ExitCode::FAILURE),
    }
}
