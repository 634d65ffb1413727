//! Checks across the parts of the operators' text.

mod accounts;
mod capacity;
mod data_centres;
mod dependencies;
mod ingress;
mod services;

use super::finder::Finder;
use crate::document::Document;
use crate::{Diagnostic, Text};

pub(super) fn check(document: &Document<'_>, text: &Text) -> Vec<Diagnostic> {
    let mut finder = Finder::new(document);
    whole(&mut finder, text);
    data_centres::check(&mut finder, text);
    services::check(&mut finder, text);
    dependencies::check(&mut finder, text);
    accounts::check(&mut finder, text);
    ingress::check(&mut finder, text);
    capacity::check(&mut finder, text);
    finder.into_findings()
}

fn whole(finder: &mut Finder<'_, '_>, text: &Text) {
    let nothing = |part: &str| format!("the text names no {part}");
    finder.error_if(
        text.name.trim().is_empty(),
        &["name"],
        "the deployment has no name".into(),
        "set name = \"...\"",
    );
    finder.error_if(
        text.services.is_empty(),
        &["services"],
        nothing("service"),
        "add a table [services.NAME]",
    );
    finder.error_if(
        text.accounts.is_empty(),
        &["accounts"],
        nothing("client account"),
        "add a table [accounts.NAME]; without one, no caller is let in",
    );
    finder.error_if(
        text.latency.first_token.is_zero() || text.latency.between_tokens.is_zero(),
        &["latency"],
        "a latency target of 0 can't be met".into(),
        "give a duration such as \"1.2s\" or \"40ms\"",
    );
}

/// Reports whether `name` can stand in a URL path and in a log line as it is.
fn is_plain_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    !name.is_empty() && name.len() <= 63 && name.chars().all(allowed)
}

const NAME_HELP: &str = "use at most 63 lower-case letters, digits, \"-\" and \".\"";
