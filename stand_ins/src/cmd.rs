//! What each subcommand does.

mod engine;
mod plain;
mod upstream;

use std::io;
use std::process::ExitCode;

use clap::ArgMatches;

/// Runs the subcommand, and returns 0, or 1 when it could not start.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .without_time()
        .init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return failed(&cause),
    };
    let outcome = match matches.subcommand() {
        Some(("engine", matches)) => runtime.block_on(engine::run(matches)),
        Some(("plain", matches)) => runtime.block_on(plain::run(matches)),
        _ => Ok(()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => failed(&cause),
    }
}

fn failed(cause: &io::Error) -> ExitCode {
    eprintln!("stand-ins: {cause}");
    ExitCode::FAILURE
}
