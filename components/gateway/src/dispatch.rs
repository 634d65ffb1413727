//! Sends a request to upstreams one after the other until one answers.

mod attempt;
mod attempts;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::info;

pub(crate) use attempt::Answer;
pub(crate) use attempts::Attempts;

use crate::balancer::{Choice, Criteria, Outcome, Shortage};
use crate::call::Call;
use crate::core::{Core, lock};
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{Refusal, admission, permits, retries};
use attempt::{Failure, attempt};

/// Number of failed connections after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Shortest time to the deadline with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Time after which callers should retry if no upstream takes work.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest time after which callers should retry if upstreams are overloaded or refused the
/// request.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Permits that are drawn for one attempt. Another request may use up one that was drawn.
const MAX_DRAWS: u32 = 2;

/// Sends a request to upstreams until one answers. `resume_after` is the last event received of an
/// earlier run.
///
/// # Errors
/// Returns a [`Refusal`] if no upstream answers before the deadline or within the allowed attempts.
pub(crate) async fn dispatch(
    core: &Arc<Core>,
    call: &Arc<Call>,
    resume_after: Option<u64>,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Result<Answer, Refusal> {
    let mut server_error = None;
    loop {
        let now = Instant::now();
        if call.time_left(now) < MIN_TIME_LEFT {
            return fallback(
                server_error,
                attempts.unknown_outcome.take().unwrap_or(Refusal::TooLate),
            );
        }
        if attempts.sends >= call.route.attempts {
            let refusal = attempts.unknown_outcome.take();
            return fallback(
                server_error,
                refusal.unwrap_or(Refusal::Shed(SHED_RETRY_AFTER)),
            );
        }
        if attempts.sends > 0
            && let Some(refusal) = refusal_to_repeat(core, call, attempts)
        {
            return fallback(server_error, refusal);
        }
        let criteria = Criteria {
            service: &call.service,
            prompt: call.prompt.as_ref(),
            excluded: &attempts.excluded,
            software: attempts.software.as_ref(),
            time_left: call.time_left(now),
            max_wait: match resume_after {
                Some(_) => call.time_left(now),
                None => admission::max_wait(call),
            },
        };
        let choice = match choose(core, call, &criteria).await {
            Ok(choice) => choice,
            Err(shortage) => {
                let refusal = attempts
                    .unknown_outcome
                    .take()
                    .unwrap_or(refusal(shortage, attempts));
                return fallback(server_error, refusal);
            }
        };
        let now = Instant::now();
        let mut ticket = Ticket::new(core, choice);
        if attempts.sends > 0 && !take_retry(core, call, now) {
            ticket.finish(Outcome::Unsent);
            let refusal = attempts
                .unknown_outcome
                .take()
                .unwrap_or(Refusal::Shed(SHED_RETRY_AFTER));
            return fallback(server_error, refusal);
        }
        request_log.record_dispatch(ticket.choice());
        let is_last = attempts.sends + 1 >= call.route.attempts;
        let choice = ticket.choice().clone();
        let failure = match attempt(core, call, ticket, resume_after, is_last).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        attempts.excluded.push(choice.upstream.clone());
        failure.log(call, &choice);
        core.metrics.record_attempt(&call.service, failure.name());
        attempts.broken += u32::from(matches!(failure, Failure::Broken(_)));
        match failure {
            Failure::Unsent(_) => {
                attempts.connect_failures += 1;
                if attempts.connect_failures >= MAX_CONNECT_FAILURES {
                    let refusal = Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER);
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(refusal),
                    );
                }
            }
            Failure::NotRun => {
                attempts.sends += 1;
                if is_last {
                    let refusal = Refusal::Shed(SHED_RETRY_AFTER);
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(refusal),
                    );
                }
            }
            Failure::Broken(detail) | Failure::Unknown(detail) => {
                attempts.sends += 1;
                attempts.unknown_outcome = Some(Refusal::Lost(detail));
                if is_last || !call.is_idempotent() {
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(Refusal::TimedOut),
                    );
                }
            }
            Failure::TimedOut => {
                attempts.sends += 1;
                attempts.unknown_outcome = Some(Refusal::TimedOut);
                if is_last || !call.is_idempotent() {
                    return fallback(server_error, Refusal::TimedOut);
                }
            }
            Failure::ServerError(answer) => {
                attempts.sends += 1;
                server_error = Some(answer);
            }
        }
    }
}

/// Chooses an upstream. If none may take the request without it, draws a permit under the limit of
/// one that names a limit.
async fn choose(core: &Core, call: &Call, criteria: &Criteria<'_>) -> Result<Choice, Shortage> {
    for _ in 0..MAX_DRAWS {
        let now = Instant::now();
        let (chosen, limited) = {
            let mut balancer = lock(&core.balancer);
            let chosen = balancer.choose(criteria, now);
            let limited = balancer.limited(criteria, now);
            (chosen, limited)
        };
        let shortage = match chosen {
            Ok(choice) => return Ok(choice),
            Err(shortage) if limited.is_empty() => return Err(shortage),
            Err(shortage) => shortage,
        };
        if let Err(wait) = permits::draw(core, &call.service, limited).await {
            return Err(match shortage {
                Shortage::NoUpstream => Shortage::Overloaded(wait),
                Shortage::Overloaded(excess) => Shortage::Overloaded(excess.min(wait)),
            });
        }
    }
    lock(&core.balancer).choose(criteria, Instant::now())
}

/// Returns why a request that was sent before must not be sent again, if it must not.
fn refusal_to_repeat(core: &Core, call: &Call, attempts: &mut Attempts) -> Option<Refusal> {
    let quarantined = lock(&core.quarantine).subject(call);
    match quarantined {
        Some(subject) => {
            let may_have_run = attempts.unknown_outcome.is_some() || attempts.broken > 0;
            Some(Refusal::Quarantined(subject, may_have_run))
        }
        None if attempts.may_crash_more(call) => None,
        None => {
            let refusal = attempts.unknown_outcome.take();
            Some(refusal.unwrap_or(Refusal::Lost("two upstreams broke it off".into())))
        }
    }
}

/// Takes a retry of `call` from the budget, and returns whether it was granted.
fn take_retry(core: &Core, call: &Call, now: Instant) -> bool {
    let since_start = retries::elapsed(core.started, now);
    let mut retries = lock(&core.retries);
    let granted = retries.take(&call.service, since_start);
    if !granted {
        let budget = retries.budget(&call.service, since_start);
        info!(request = %call.id, service = %call.service, "retry: refused, {budget}");
    }
    core.metrics.record_retry(&call.service, granted);
    granted
}

/// Returns the last server error of an upstream if there was one, otherwise the refusal.
fn fallback(server_error: Option<Box<Answer>>, refusal: Refusal) -> Result<Answer, Refusal> {
    server_error.map(|answer| *answer).ok_or(refusal)
}

fn refusal(shortage: Shortage, attempts: &Attempts) -> Refusal {
    match shortage {
        Shortage::NoUpstream if attempts.sends > 0 => Refusal::Shed(SHED_RETRY_AFTER),
        Shortage::NoUpstream => Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER),
        Shortage::Overloaded(excess) => Refusal::Overloaded(excess.max(SHED_RETRY_AFTER)),
    }
}
