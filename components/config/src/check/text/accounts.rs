//! Checks of client accounts.

use crate::Text;
use crate::check::report::Report;
use crate::text::Account;

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    for (name, account) in &text.accounts {
        report.error_if(
            !super::is_valid_name(name),
            &["accounts", name],
            format!("account name \"{name}\" is not usable"),
            super::NAME_HELP,
        );
        check_limits(report, name, account);
    }
}

fn check_limits(report: &mut Report<'_, '_>, name: &str, account: &Account) {
    let positive = [
        ("requests-per-second", account.requests_per_second),
        ("tokens-per-second", account.tokens_per_second),
        ("weight", account.weight),
    ];
    for (key, value) in positive {
        report.error_if(
            !value.is_finite() || value <= 0.0,
            &["accounts", name, key],
            format!("{key} = {value} of account \"{name}\" lets nothing through"),
            "give a number above 0, or take the account out to refuse its callers",
        );
    }
    report.error_if(
        account.max_in_progress == 0,
        &["accounts", name, "max-in-progress"],
        format!("account \"{name}\" may have no request in progress"),
        "give a number above 0, or take the account out to refuse its callers",
    );
}
