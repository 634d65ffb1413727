//! Attempts that another entry makes, while this one reaches no upstream of the service.

use std::sync::Arc;
use std::time::Instant;

use tracing::warn;
use wire::Forwarder;

use super::{Answer, Attempts, Failed, refusal, retry_refused};
use crate::call::Call;
use crate::core::{Core, lock};
use crate::forward;
use crate::request_log::RequestLog;

/// Entries that are asked for an attempt before the request is refused: as many as the leader names.
const MAX_FORWARDERS_TRIED: usize = 6;

/// Returns the entry that is to be asked next; `None` if enough were, or none is known.
pub(super) fn next(core: &Core, attempts: &Attempts) -> Option<Forwarder> {
    match attempts.forwarders.len() {
        MAX_FORWARDERS_TRIED.. => None,
        _ => lock(&core.forwarders).next(&attempts.forwarders, Instant::now()),
    }
}

/// Returns the same before the first one was asked, and leaves it the next one.
pub(super) fn peek(core: &Core, attempts: &Attempts) -> Option<Forwarder> {
    lock(&core.forwarders).peek(&attempts.forwarders, Instant::now())
}

/// Lets `forwarder` make an attempt.
pub(super) async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    forwarder: &Forwarder,
    resume_after: Option<u64>,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Result<Answer, Failed> {
    let now = Instant::now();
    if retry_refused(core, call, attempts, now) {
        return Err(Failed::Refused(attempts.shed()));
    }
    let mut excluded = attempts.excluded.clone();
    // The other entry may not have heard it from them.
    excluded.extend(lock(&core.balancer).leaving(&call.service));
    let message = forward::Attempt {
        software: attempts.software.clone(),
        excluded,
        resume_after: resume_after.or(call.resume_after),
        is_last: attempts.is_last(call),
        ..forward::Attempt::new(core, call, now)
    };
    request_log.set_via(&forwarder.node);
    let result = forward::attempt(core, call, forwarder, &message).await;
    core.metrics.record_forwarded(&call.service, result.is_ok());
    let failed = match result {
        Ok(answer) => {
            request_log.record_dispatch(answer.ticket.choice());
            return Ok(answer);
        }
        Err(failed) => failed,
    };
    match failed {
        forward::Failed::Unable(reason) => {
            warn!(request = %call.id, entry = %forwarder.node, "forward: not taken: {reason}");
            lock(&core.forwarders).pass_over(&forwarder.node, now);
            attempts.forwarders.push(forwarder.node.clone());
            Err(Failed::NotTaken)
        }
        forward::Failed::Shortage(shortage) => Err(Failed::Refused(refusal(shortage, attempts))),
        forward::Failed::AtUpstream(Some(choice), failure) => {
            request_log.record_dispatch(&choice);
            attempts.excluded.push(choice.upstream.clone());
            failure.log(call, &choice);
            Err(Failed::Sent(failure))
        }
        forward::Failed::AtUpstream(None, failure) => {
            let name = failure.name();
            warn!(request = %call.id, entry = %forwarder.node, "forward: no answer: {name}");
            lock(&core.forwarders).pass_over(&forwarder.node, now);
            attempts.forwarders.push(forwarder.node.clone());
            Err(Failed::Sent(failure))
        }
    }
}
