//! The log lines of a request, and a search for them in a log.
//!
//! The message of each line starts with [`ROUTING`] or [`REQUEST`], and the field `request` holds
//! the request's identifier. `chervilloft explain REQUEST` prints the lines in order.

use std::time::Duration;

use compact_str::CompactString;
use routing::Choice;

use crate::cause::Cause;
use crate::outcome::Outcome;

/// Prefix of messages about a routing decision.
pub const ROUTING: &str = "routing: ";
/// Prefix of messages about the lifecycle of a request.
pub const REQUEST: &str = "request: ";

/// The request that log lines are about.
#[derive(Clone, Debug, Default)]
pub struct Subject {
    /// Identifier of the request.
    pub request: CompactString,
    /// The client account.
    pub account: CompactString,
    /// The service; empty before it is known.
    pub service: CompactString,
}

impl Subject {
    /// Logs which upstream was chosen.
    pub fn log_routed(&self, choice: &Choice, attempt: u32) {
        tracing::info!(
            request = %self.request,
            account = %self.account,
            service = %self.service,
            upstream = %choice.upstream,
            considered = choice.considered,
            why = choice.reason.as_str(),
            expected_first_token_ms = choice.expected_first_token.as_millis() as u64,
            cached_tokens = choice.cached_tokens,
            attempt,
            "routing: chose an upstream"
        );
    }

    /// Logs that the request was not sent: no upstream was chosen, or the chosen one was not
    /// reached.
    pub fn log_not_routed(&self, why: &str) {
        tracing::info!(
            request = %self.request,
            account = %self.account,
            service = %self.service,
            why,
            "routing: not sent to an upstream"
        );
    }

    /// Logs that the answer is moved away from the upstream `from`.
    pub fn log_move(&self, from: &str, cause: Cause, detail: &str, tokens: usize) {
        tracing::info!(
            request = %self.request,
            service = %self.service,
            from,
            cause = cause.name(),
            detail,
            tokens,
            "request: moving to another upstream"
        );
    }

    /// Logs how many tokens were recomputed after a move.
    pub fn log_recomputed(&self, upstream: &str, cause: Cause, tokens: u64) {
        tracing::info!(
            request = %self.request,
            upstream,
            cause = cause.name(),
            tokens,
            "request: recomputed tokens"
        );
    }

    /// Logs the end of the request.
    pub fn log_end(&self, outcome: Outcome, status: u16, why: &str, elapsed: Duration) {
        tracing::info!(
            request = %self.request,
            account = %self.account,
            service = %self.service,
            outcome = outcome.name(),
            status,
            why,
            elapsed_ms = elapsed.as_millis() as u64,
            "request: ended"
        );
    }
}

/// Returns the lines of `log` that are about `request`, in order.
pub fn lines<'a>(log: &'a str, request: &'a str) -> impl Iterator<Item = &'a str> {
    log.lines().filter(move |line| {
        let prefixed = line.contains(ROUTING) || line.contains(REQUEST);
        prefixed && mentions(line, request)
    })
}

/// Reports whether a text or JSON line has the field `request` with exactly this value.
fn mentions(line: &str, request: &str) -> bool {
    let ends = |rest: &str| !rest.starts_with(|c: char| c.is_ascii_alphanumeric() || c == '-');
    let holds = |mark: &str| {
        line.match_indices(mark)
            .filter_map(|(at, _)| line[at + mark.len()..].strip_prefix(request))
            .any(ends)
    };
    !request.is_empty() && (holds("request=") || holds("\"request\":\""))
}
