//! Checks of routes by host and path, and of the keys of accounts.

use crate::Text;
use crate::check::report::Report;

const HELP: &str = "give each route a place of its own, known services with a weight, a timeout, \
                    and each account keys of its own";

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    for fault in text.ingress.validate(&text.services, &text.accounts) {
        let at = fault.route().map(|route| route.to_string());
        match &at {
            Some(at) => report.error_if(true, &["ingress", "routes", at], fault.to_string(), HELP),
            None => report.error_if(true, &["accounts"], fault.to_string(), HELP),
        }
    }
}
