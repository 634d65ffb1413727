//! The subcommands of the `stand-ins` command.

mod arguments;
mod cloud;
mod engine;
mod load;
mod plain;
mod ports;
mod relay;
mod weights;

use std::io;
use std::process::ExitCode;

use clap::ArgMatches;

/// Runs the subcommand and returns exit code 0, or 1 if it fails.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .without_time()
        .init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => return exit_with_error(&cause),
    };
    let outcome = match matches.subcommand() {
        Some(("engine", matches)) => runtime.block_on(engine::run(matches)),
        Some(("plain", matches)) => runtime.block_on(plain::run(matches)),
        Some(("cloud", matches)) => runtime.block_on(cloud::run(matches)),
        Some(("load", matches)) => runtime.block_on(load::run(matches)),
        Some(("weights", matches)) => runtime.block_on(weights::run(matches)),
        Some(("relay", matches)) => runtime.block_on(relay::run(matches)),
        Some(("ports", matches)) => ports::run(matches),
        _ => Ok(()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => exit_with_error(&cause),
    }
}

fn exit_with_error(cause: &io::Error) -> ExitCode {
    eprintln!("stand-ins: {cause}");
    ExitCode::FAILURE
}
