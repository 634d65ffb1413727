//! What people read on the terminal.

use std::error::Error;
use std::io::{self, Write};

use config::Diagnostic;
use config::diagnostic;

/// Exit codes, as `--help` lists them.
pub(crate) mod exit {
    /// Something failed.
    pub(crate) const FAILED: u8 = 1;
    /// A file has errors.
    pub(crate) const INVALID: u8 = 3;
}

/// Prints an error and its causes, outermost first.
pub(crate) fn print_error(error: &dyn Error) {
    let mut shown = error.to_string();
    eprintln!("error: {shown}");
    let mut cause = error.source();
    while let Some(error) = cause {
        let text = error.to_string();
        if !shown.contains(&text) {
            eprintln!("  caused by: {text}");
        }
        shown = text;
        cause = error.source();
    }
}

/// Prints findings, and a summary as the last line.
pub(crate) fn print_findings(file: &str, findings: &[Diagnostic]) {
    for finding in findings {
        eprintln!("{finding}");
    }
    match (diagnostic::has_errors(findings), findings.len()) {
        (true, _) => eprintln!("{file} has errors and was not taken."),
        (false, 0) => print_line(&format!("{file} is right.")),
        (false, 1) => print_line(&format!("{file} is usable, with 1 warning.")),
        (false, count) => print_line(&format!("{file} is usable, with {count} warnings.")),
    }
}

/// Prints one line. A reader that has gone away is no error.
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
