//! `chervilloft explain`: prints the log lines about a request or an order.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use errors::{Error, Peer, Result, Step};
use logging::excerpt::{Excerpt, Line};

use super::files;
use crate::{cli, messages};

/// Collects the lines from the log files and prints them, oldest first.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let paths: Vec<&PathBuf> = matches.get_many("log").into_iter().flatten().collect();
    let mut logs = Vec::new();
    for path in paths {
        logs.push((path.display().to_string(), files::read(path)?));
    }
    let borrowed = logs.iter().map(|(name, log)| (name.as_str(), log.as_str()));
    let excerpt = Excerpt::collect(&id, borrowed);
    match (excerpt.lines.is_empty(), cli::wants_json(matches)) {
        (true, _) => return Err(not_found(&id, &logs)),
        (false, true) => messages::print_json(&excerpt),
        (false, false) => excerpt.lines.iter().for_each(print),
    }
    Ok(ExitCode::SUCCESS)
}

fn print(line: &Line) {
    let fields = line
        .fields
        .iter()
        .map(|(name, value)| format!("    {name}: {value}"));
    messages::print_line(&format!("{} {}", line.time, line.message));
    fields.for_each(|field| messages::print_line(&field));
}

fn not_found(id: &str, logs: &[(String, String)]) -> Error {
    let names: Vec<&str> = logs.iter().map(|(name, _)| name.as_str()).collect();
    let message = format!(
        "no line of {} has a field with this request or order id",
        names.join(", ")
    );
    Error::Invalid(Step::Load, Peer::Name(id.into()), message)
}
