//! Checks of the operators' text.

mod accounts;
mod capacity;
mod data_centres;
mod dependencies;
mod ingress;
mod services;

use super::report::Report;
use crate::document::Document;
use crate::{Diagnostic, Text};

pub(super) fn check(document: &Document<'_>, text: &Text) -> Vec<Diagnostic> {
    let mut report = Report::new(document);
    check_required_parts(&mut report, text);
    data_centres::check(&mut report, text);
    services::check(&mut report, text);
    dependencies::check(&mut report, text);
    accounts::check(&mut report, text);
    ingress::check(&mut report, text);
    capacity::check(&mut report, text);
    report.into_diagnostics()
}

fn check_required_parts(report: &mut Report<'_, '_>, text: &Text) {
    let missing = |part: &str| format!("the text names no {part}");
    report.error_if(
        text.name.trim().is_empty(),
        &["name"],
        "the deployment has no name".into(),
        "set name = \"...\"",
    );
    report.error_if(
        text.services.is_empty(),
        &["services"],
        missing("service"),
        "add a table [services.NAME]",
    );
    report.error_if(
        text.accounts.is_empty(),
        &["accounts"],
        missing("client account"),
        "add a table [accounts.NAME]; without one, no caller is let in",
    );
    report.error_if(
        text.latency.first_token.is_zero() || text.latency.between_tokens.is_zero(),
        &["latency"],
        "a latency target of 0 can't be met".into(),
        "give a duration such as \"1.2s\" or \"40ms\"",
    );
}

/// Reports whether `name` can be used in a URL path and in a log line without escaping.
fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    !name.is_empty() && name.len() <= 63 && name.chars().all(allowed)
}

const NAME_HELP: &str = "use at most 63 lower-case letters, digits, \"-\" and \".\"";
