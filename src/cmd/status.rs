//! `chervilloft status` and `chervilloft show`: print the state of the control group.

use std::process::ExitCode;

use clap::ArgMatches;
use control::client::Document;
use errors::Result;
use serde_json::{Value, json};

use super::{operator, runtime};
use crate::{cli, messages};

/// Prints the control group, the entries, the upstreams and the calls with unknown outcome.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let client = operator::client(matches)?;
    let read = async {
        let status = client.read(Document::Status).await?;
        // The calls with unknown outcome can only be read with a quorum.
        let unknowns = match status["quorum"].as_bool() {
            Some(true) => client.read(Document::Unknowns).await?,
            _ => Value::Null,
        };
        Ok((status, unknowns))
    };
    let (status, unknowns): (Value, Value) = runtime::single_threaded()?.block_on(read)?;
    match cli::wants_json(matches) {
        true => messages::print_json(&json!({ "status": status, "unknowns": unknowns })),
        false => {
            messages::print_status(&status);
            if !unknowns.is_null() {
                messages::print_unknowns(&unknowns);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the operators' text in force.
pub(crate) fn show(matches: &ArgMatches) -> Result<ExitCode> {
    let client = operator::client(matches)?;
    let document = runtime::single_threaded()?.block_on(client.read(Document::Text))?;
    match cli::wants_json(matches) {
        true => messages::print_json(&document),
        false => messages::print_text(&document),
    }
    Ok(ExitCode::SUCCESS)
}
