//! The commands, with a module for each.

mod check;
mod control;
mod entry;
mod explain;
mod explain_route;
mod files;
mod forecast;
mod operator;
mod rollout;
mod runtime;
mod status;
mod submit;

use std::process::ExitCode;

use clap::ArgMatches;
use errors::Result;

/// Runs the command given on the command line.
///
/// # Errors
/// Returns the failure, with its step and peer.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let success = |()| ExitCode::SUCCESS;
    match matches.subcommand() {
        Some(("entry", matches)) => entry::run(matches).map(success),
        Some(("control", matches)) => control::run(matches).map(success),
        Some(("check", matches)) => check::run(matches),
        Some(("submit", matches)) => submit::run(matches),
        Some(("show", matches)) => status::show(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("rollout", matches)) => rollout::run(matches),
        Some(("forecast", matches)) => forecast::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("explain-route", matches)) => explain_route::run(matches),
        _ => Ok(ExitCode::FAILURE),
    }
}
