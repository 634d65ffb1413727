//! Sends a request to upstreams one after the other until one answers.

mod attempt;
mod attempts;
mod preview;
mod reply;
mod through;

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::UpstreamId;
use tracing::info;
use upstream::Software;
use wire::Forwarder;

pub(crate) use attempt::{Answer, Failure, attempt, check, head_timeout};
pub(crate) use attempts::Attempts;
pub(crate) use preview::{Course, Preview, preview};
pub(crate) use reply::is_stray;

use crate::balancer::{Choice, Criteria, Outcome, Shortage};
use crate::call::Call;
use crate::core::{Core, lock};
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{Refusal, admission, permits, retries};

/// Number of failed connections after which a request goes through another entry, or is refused.
pub(crate) const MAX_CONNECT_FAILURES: u32 = 3;
/// The same while the service is out of reach and no other entry takes the request.
const MAX_CONNECT_FAILURES_OUT_OF_REACH: u32 = 1;
/// Shortest time to the deadline with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Time after which callers should retry if no upstream takes work.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest time after which callers should retry if upstreams are overloaded or refused the
/// request.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Permits that are drawn for one attempt. Another request may use up one that was drawn.
const MAX_DRAWS: u32 = 2;

/// Why an attempt brought no answer.
enum Failed {
    /// No attempt may follow.
    Refused(Refusal),
    /// Another entry did not take the request, and nothing was sent.
    NotTaken,
    /// It failed at an upstream, or on the way there.
    Sent(Failure),
}

/// How a request gets to an upstream.
enum Way {
    Direct,
    /// Through another entry.
    Through(Forwarder),
    /// There is none.
    Closed,
}

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
        if let Some(refusal) = refusal_before_attempt(core, call, attempts) {
            return fallback(server_error, refusal);
        }
        let tried = match way(core, call, attempts, through::next) {
            Way::Direct => direct(core, call, resume_after, attempts, request_log).await,
            Way::Through(other) => {
                through::attempt(core, call, &other, resume_after, attempts, request_log).await
            }
            Way::Closed => {
                let refusal = Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER);
                Err(Failed::Refused(attempts.truthful(refusal)))
            }
        };
        let failure = match tried {
            Ok(answer) => return Ok(answer),
            Err(Failed::Refused(refusal)) => return fallback(server_error, refusal),
            Err(Failed::NotTaken) => continue,
            Err(Failed::Sent(failure)) => failure,
        };
        core.metrics.record_attempt(&call.service, failure.name());
        let is_last = attempts.is_last(call);
        attempts.record_failure(&failure);
        match failure {
            Failure::ServerError(answer) => server_error = Some(answer),
            Failure::NotRun if is_last => return fallback(server_error, attempts.shed()),
            Failure::Unsent(_) | Failure::Withdrawn | Failure::NotRun => {}
            _ if is_last || !call.is_idempotent() => {
                let refusal = attempts.unknown_outcome.take();
                return fallback(server_error, refusal.unwrap_or(Refusal::TimedOut));
            }
            _ => {}
        }
    }
}

/// Returns the refusal of a request for which no further attempt is allowed.
fn refusal_before_attempt(core: &Core, call: &Call, attempts: &mut Attempts) -> Option<Refusal> {
    if call.time_left(Instant::now()) < MIN_TIME_LEFT {
        return Some(attempts.truthful(Refusal::TooLate));
    }
    if attempts.sends >= call.route.attempts {
        return Some(attempts.shed());
    }
    match attempts.sends {
        0 => None,
        _ => refusal_to_repeat(core, call, attempts),
    }
}

/// Returns how the request gets to an upstream. `next` returns the next entry to be asked.
fn way(
    core: &Core,
    call: &Call,
    attempts: &Attempts,
    next: fn(&Core, &Attempts) -> Option<Forwarder>,
) -> Way {
    let is_lost = lock(&core.reach).is_lost(&call.service);
    let failures = attempts.connect_failures;
    let limit = match is_lost {
        true => MAX_CONNECT_FAILURES_OUT_OF_REACH,
        false => MAX_CONNECT_FAILURES,
    };
    let has_no_place = lock(&core.balancer).has_no_place(&call.service, Instant::now());
    let forwarder = match is_lost || has_no_place || failures >= limit {
        true => next(core, attempts),
        false => None,
    };
    match forwarder {
        Some(forwarder) => Way::Through(forwarder),
        None if failures < limit => Way::Direct,
        None => Way::Closed,
    }
}

/// Sends a request to an upstream that this entry chooses.
async fn direct(
    core: &Arc<Core>,
    call: &Arc<Call>,
    resume_after: Option<u64>,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Result<Answer, Failed> {
    let software = attempts.software.as_ref();
    let criteria = criteria(core, call, &attempts.excluded, software, resume_after);
    let chosen = choose(core, call, &criteria).await;
    let choice = chosen.map_err(|shortage| Failed::Refused(refusal(shortage, attempts)))?;
    let mut ticket = Ticket::new(core, choice.clone());
    if retry_refused(core, call, attempts, Instant::now()) {
        ticket.finish(Outcome::Unsent);
        return Err(Failed::Refused(attempts.shed()));
    }
    request_log.record_dispatch(&choice);
    let is_last = attempts.is_last(call);
    let sent = attempt(core, call, ticket, resume_after, is_last).await;
    sent.map_err(|failure| {
        attempts.excluded.push(choice.upstream.clone());
        failure.log(call, &choice);
        Failed::Sent(failure)
    })
}

/// Returns the criteria for the upstream of a call, which goes on after the event `resume_after` if
/// that is set.
pub(crate) fn criteria<'a>(
    core: &Core,
    call: &'a Call,
    excluded: &'a [UpstreamId],
    software: Option<&'a Software>,
    resume_after: Option<u64>,
) -> Criteria<'a> {
    let time_left = call.time_left(Instant::now());
    Criteria {
        service: &call.service,
        prompt: call.prompt.as_ref(),
        excluded,
        software,
        hash: call.hash,
        time_left,
        max_wait: match resume_after {
            Some(_) => time_left,
            None => max_wait(core, call),
        },
        work_ms: lock(&core.balancer).work_ms(&call.kind(), call.prompt.as_ref()),
    }
}

/// Returns the longest expected time to the first event with which `call` is sent to an upstream.
fn max_wait(core: &Core, call: &Call) -> Duration {
    let is_by_work = lock(&core.balancer).is_planned_by_work(&call.service);
    match is_by_work {
        true => {
            let more_urgent = core.table.load().target_before(&call.service, call.rank());
            admission::max_wait_by_work(call, more_urgent)
        }
        false => admission::max_wait(call),
    }
}

/// Chooses an upstream. If none may take the request without it, draws a permit under the limit of
/// one that names a limit.
pub(crate) async fn choose(
    core: &Core,
    call: &Call,
    criteria: &Criteria<'_>,
) -> Result<Choice, Shortage> {
    for _ in 0..MAX_DRAWS {
        let now = Instant::now();
        let (chosen, limited) = {
            let mut balancer = lock(&core.balancer);
            let chosen = balancer.choose(criteria, now);
            let limited = balancer.limited(criteria, now);
            let tally = balancer.take_tally();
            drop(balancer);
            core.metrics.record_tally(&call.service, &tally);
            (chosen, limited)
        };
        let shortage = match chosen {
            Ok(choice) => return Ok(choice),
            Err(shortage) if limited.is_empty() => return Err(shortage),
            Err(shortage) => shortage,
        };
        if let Err(wait) = permits::draw(core, &call.service, limited).await {
            return Err(or_wait(shortage, wait));
        }
    }
    lock(&core.balancer).choose(criteria, Instant::now())
}

/// Returns the shortage of a request for which there is no permit before `wait` is over.
fn or_wait(shortage: Shortage, wait: Duration) -> Shortage {
    match shortage {
        Shortage::NoUpstream => Shortage::Overloaded(wait),
        Shortage::Overloaded(excess) => Shortage::Overloaded(excess.min(wait)),
    }
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
        None => Some(attempts.truthful(Refusal::Lost("two upstreams broke it off".into()))),
    }
}

/// Takes a retry of `call` from the budget if its next attempt needs one, and reports whether it was
/// refused. One that was taken for an attempt that was not made holds for the next one.
fn retry_refused(core: &Core, call: &Call, attempts: &mut Attempts, now: Instant) -> bool {
    if attempts.sends == 0 || attempts.holds_retry {
        return false;
    }
    let since_start = retries::elapsed(core.started, now);
    let mut retries = lock(&core.retries);
    attempts.holds_retry = retries.take(&call.service, since_start);
    if !attempts.holds_retry {
        let budget = retries.budget(&call.service, since_start);
        info!(request = %call.id, service = %call.service, "retry: refused, {budget}");
    }
    core.metrics
        .record_retry(&call.service, attempts.holds_retry);
    !attempts.holds_retry
}

/// Returns the last server error of an upstream if there was one, otherwise the refusal.
fn fallback(server_error: Option<Box<Answer>>, refusal: Refusal) -> Result<Answer, Refusal> {
    server_error.map(|answer| *answer).ok_or(refusal)
}

/// Returns the refusal of a request for which no upstream was found.
fn refusal(shortage: Shortage, attempts: &mut Attempts) -> Refusal {
    let refusal = match shortage {
        Shortage::NoUpstream if attempts.sends > 0 => Refusal::Shed(SHED_RETRY_AFTER),
        Shortage::NoUpstream => Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER),
        Shortage::Overloaded(excess) => Refusal::Overloaded(excess.max(SHED_RETRY_AFTER)),
    };
    attempts.truthful(refusal)
}
