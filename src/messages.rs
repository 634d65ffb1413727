//! Output of the commands on the terminal.

use std::error::Error;
use std::io::{self, Write};

use config::Diagnostic;
use config::diagnostic;
use control::client::Outcome;
use placement::forecast::{Comparison, Forecast};
use serde_json::Value;

/// Exit codes, as `--help` lists them.
pub(crate) mod exit {
    /// Done.
    pub(crate) const DONE: u8 = 0;
    /// A step failed.
    pub(crate) const FAILED: u8 = 1;
    /// A file has errors.
    pub(crate) const INVALID: u8 = 3;
    /// Another change was made first.
    pub(crate) const CONFLICT: u8 = 4;
    /// The outcome is not known, or the text is not yet in force everywhere.
    pub(crate) const PENDING: u8 = 5;
}

/// Prints an error and its causes, outermost first. Omits a cause whose text is part of the
/// message printed before it.
pub(crate) fn print_error(error: &dyn Error) {
    let mut previous = error.to_string();
    eprintln!("error: {previous}");
    let mut cause = error.source();
    while let Some(error) = cause {
        let text = error.to_string();
        if !previous.contains(&text) {
            eprintln!("  caused by: {text}");
        }
        previous = text;
        cause = error.source();
    }
}

/// Prints diagnostics and a summary of one line.
pub(crate) fn print_diagnostics(file: &str, diagnostics: &[Diagnostic]) {
    for diagnostic in diagnostics {
        eprintln!("{diagnostic}");
    }
    match (diagnostic::has_errors(diagnostics), diagnostics.len()) {
        (true, _) => eprintln!("{file} has errors and was not accepted."),
        (false, 0) => print_line(&format!("{file} has no errors.")),
        (false, 1) => print_line(&format!("{file} is usable, with 1 warning.")),
        (false, count) => print_line(&format!("{file} is usable, with {count} warnings.")),
    }
}

/// Prints one line. Errors are ignored, such as a closed pipe.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(json) => print_line(&json),
        Err(error) => print_error(&error),
    }
}

/// Prints the outcome of a submission.
pub(crate) fn print_submission(file: &str, outcome: &Outcome) {
    match outcome {
        Outcome::InForce { version } => {
            print_line(&format!(
                "{file} is in force everywhere as version {version}."
            ));
        }
        Outcome::Committed { version, missing } => {
            let missing = missing.join(", ");
            print_line(&format!("{file} is accepted as version {version}."));
            print_line(&format!("Not yet in force at: {missing}"));
        }
        Outcome::Conflict { newest, difference } => {
            eprintln!("error: version {newest} came first; {file} was not accepted");
            eprintln!(
                "  help: edit the newest text (chervilloft show) and submit with --base {newest}"
            );
            eprintln!("{difference}");
        }
        Outcome::Refused { message } => eprintln!("error: {file} was refused: {message}"),
    }
}

/// Prints a forecast and, if there is one, its comparison with another.
pub(crate) fn print_forecast(forecast: &Forecast, comparison: Option<&Comparison>) {
    print_line(&format!(
        "Forecast for a month of {} days, in currency units.",
        forecast.days
    ));
    print_line(&forecast.to_string());
    print_line(
        "Low and high: one month in ten is expected beyond each. Reclaims: part of the middle",
    );
    print_line(
        "figure that lost instances and their replacements cost. Growth: part from the trend.",
    );
    if let Some(comparison) = comparison {
        print_line("\nChange of the middle figure:");
        print_line(&comparison.to_string());
    }
}

/// Prints how to send a submission again after its answer was lost.
pub(crate) fn print_resend(id: &str) {
    eprintln!(
        "The text may have been accepted or not. To find out, submit it again with --id {id}"
    );
}

/// Prints the status of the fleet.
pub(crate) fn print_status(status: &Value) {
    let text = |key: &str| to_text(&status[key]);
    let quorum = status["quorum"].as_bool().unwrap_or_default();
    let leader = status["leader"].as_str().unwrap_or("none");
    print_line(&format!("quorum:   {}", if quorum { "yes" } else { "NO" }));
    print_line(&format!("leader:   {leader}, term {}", text("term")));
    print_line(&format!("voters:   {}", list(&status["voters"])));
    print_line(&format!("learners: {}", list(&status["learners"])));
    print_line(&format!("version:  {}", text("version")));
    if let Some(meaning) = status["meaning"].as_str() {
        print_line(meaning);
    }
    print_line("entries:");
    for entry in status["entries"].as_array().into_iter().flatten() {
        let [name, version, lease] =
            ["entry", "version", "lease_ms"].map(|key| to_text(&entry[key]));
        print_line(&format!(
            "  {name}: version {version}, lease expires in {lease} ms"
        ));
    }
    print_line("upstreams:");
    for upstream in status["upstreams"].as_array().into_iter().flatten() {
        let keys = ["upstream", "service", "data_centre", "class", "state"];
        let [name, service, data_centre, class, state] = keys.map(|key| to_text(&upstream[key]));
        print_line(&format!(
            "  {name}: {service} in {data_centre}, {class}, {state}"
        ));
    }
}

/// Prints the calls whose outcome is unknown; an operator has to investigate them.
pub(crate) fn print_unknowns(document: &Value) {
    let unknowns = document["unknowns"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    print_line(&format!("calls with unknown outcome: {}", unknowns.len()));
    for unknown in unknowns {
        print_line(&format!("  {unknown}"));
    }
}

/// Prints the operators' text in force.
pub(crate) fn print_text(document: &Value) {
    match document["version"].as_u64() {
        Some(version) if version > 0 => {
            print_line(&format!("# version {version}"));
            print_line(document["source"].as_str().unwrap_or_default());
        }
        _ => print_line("# no text has been submitted; submit the first one with --base 0"),
    }
}

fn list(value: &Value) -> String {
    let names: Vec<String> = value
        .as_array()
        .into_iter()
        .flatten()
        .map(to_text)
        .collect();
    match names.is_empty() {
        true => "none".into(),
        false => names.join(", "),
    }
}

fn to_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
