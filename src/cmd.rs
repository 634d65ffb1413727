//! A module for each command.

mod check;
#[expect(dead_code, reason = "the command line does not offer it yet")]
mod control;
mod explain;
mod files;
#[expect(dead_code, reason = "the command line does not offer it yet")]
mod runtime;
#[expect(dead_code, reason = "the command line does not offer it yet")]
mod status;
#[expect(dead_code, reason = "the command line does not offer it yet")]
mod submit;

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
