//! `chervilloft submit`: submits an operators' text.

use std::process::ExitCode;

use clap::ArgMatches;
use control::client::{Outcome, Submission};
use errors::Result;

use super::{files, operator, runtime};
use crate::cli;
use crate::messages::{self, exit};

/// Submits the text and waits until it is in force everywhere. Prints the outcome, with the
/// processes at which the text is not yet in force.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = cli::path(matches, "file");
    let (_, text) = files::text(&path)?;
    let client = operator::client(matches)?;
    let given_id = matches.get_one::<String>("id").cloned();
    let id = given_id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let base = matches.get_one::<u64>("base").copied().unwrap_or_default();
    let submission = Submission {
        base,
        id,
        text,
        ..Submission::default()
    };
    let submitted = runtime::single_threaded()?.block_on(client.submit(&submission));
    let outcome = submitted.inspect_err(|_| messages::print_resend(&submission.id))?;
    match cli::wants_json(matches) {
        true => messages::print_json(&outcome),
        false => messages::print_submission(&path.display().to_string(), &outcome),
    }
    Ok(ExitCode::from(exit_code(&outcome)))
}

fn exit_code(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::InForce { .. } => exit::DONE,
        Outcome::Committed { .. } => exit::PENDING,
        Outcome::Conflict { .. } => exit::CONFLICT,
        Outcome::Refused { .. } => exit::INVALID,
    }
}
