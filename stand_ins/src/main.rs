//! The `stand-ins` command.

use std::process::ExitCode;

mod cli;
mod cmd;

fn main() -> ExitCode {
    cmd::run(&cli::command().get_matches())
}
