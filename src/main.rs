//! The `chervilloft` command.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

/// Version of the program, and the commit that it was built from.
const BUILD: &str = concat!(env!("CARGO_PKG_VERSION"), "-", env!("CHERVILLOFT_COMMIT"));

fn main() -> ExitCode {
    config::release::set_build(BUILD);
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(code) => code,
        Err(error) => {
            messages::print_error(&error);
            ExitCode::from(messages::exit::FAILED)
        }
    }
}
