//! `chervilloft rollout`: orders a roll-out, or shows how far the roll-outs are.

use std::process::ExitCode;

use clap::ArgMatches;
use config::duration;
use control::client::{Client, Document, Ordered};
use errors::{Error, Peer, Result, Step};
use serde_json::Value;
use state::rollouts::Order;

use super::{operator, runtime};
use crate::cli;
use crate::messages::{self, exit};

/// Runs the subcommand.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("begin", matches)) => begin(matches),
        Some(("show", matches)) => show(matches),
        _ => Ok(ExitCode::from(exit::FAILED)),
    }
}

fn begin(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |id: &str| matches.get_one::<String>(id).cloned().unwrap_or_default();
    let parsed = duration::parse(&text("duration"));
    let duration = parsed.map_err(|reason| {
        let message = format!("--duration: {reason}");
        Error::Invalid(Step::Load, Peer::Local, message)
    })?;
    let order = Order {
        service: text("service").into(),
        to: text("to").into(),
        duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
    };
    let client: Client = operator::client(matches)?;
    let ordered = runtime::single_threaded()?.block_on(client.begin_rollout(&order))?;
    match (cli::wants_json(matches), &ordered) {
        (true, ordered) => messages::print_json(ordered),
        (false, Ordered::Begun) => {
            let Order { service, to, .. } = &order;
            messages::print_line(&format!("The roll-out of {service} to {to} is recorded."));
        }
        (false, Ordered::InProgress { message }) => {
            eprintln!("Nothing was changed: {message}.");
        }
        (false, Ordered::Refused { message }) => eprintln!("Refused: {message}."),
    }
    Ok(ExitCode::from(match ordered {
        Ordered::Begun => exit::DONE,
        Ordered::InProgress { .. } => exit::CONFLICT,
        Ordered::Refused { .. } => exit::FAILED,
    }))
}

fn show(matches: &ArgMatches) -> Result<ExitCode> {
    let client = operator::client(matches)?;
    let document = runtime::single_threaded()?.block_on(client.read(Document::Rollouts))?;
    match cli::wants_json(matches) {
        true => messages::print_json(&document),
        false => print(&document),
    }
    Ok(ExitCode::SUCCESS)
}

fn print(document: &Value) {
    let services = document["services"].as_object();
    let Some(services) = services.filter(|services| !services.is_empty()) else {
        messages::print_line("There was no roll-out.");
        return;
    };
    for (service, rollout) in services {
        let text = |field: &str| rollout[field].as_str().unwrap_or_default().to_owned();
        let (to, phase, reason) = (text("to"), text("phase"), text("reason"));
        let reason = match reason.is_empty() {
            true => String::new(),
            false => format!(": {reason}"),
        };
        messages::print_line(&format!("{service} to {to}: {phase}{reason}"));
    }
}
