//! What the head of an answer says of its upstream.

use std::time::Instant;

use tracing::info;

use crate::Reply;
use crate::balancer::Choice;
use crate::call::Call;
use crate::core::{Core, lock};

/// Reports whether an answer names another request: one that was sent earlier, or once more.
pub(crate) fn is_stray(reply: &Reply, call: &Call) -> bool {
    reply.id.as_ref().is_some_and(|id| *id != call.id)
}

/// Records what an answer says of its upstream, unless it is one to another request: what that says
/// may be long over.
pub(super) fn record(core: &Core, call: &Call, choice: &Choice, reply: &Reply, sent_at: Instant) {
    if is_stray(reply, call) {
        return;
    }
    let is_own = reply.id.is_some();
    if let Some(load) = &reply.load {
        lock(&core.balancer).record_statement(choice, load, Instant::now());
    }
    // A process that took over the address speaks for itself only.
    if reply.leaving && !reply.other_upstream && lock(&core.balancer).record_leaving(choice) {
        info!(upstream = %choice.upstream, "leaving: said by the upstream in an answer");
    }
    if let Some(pause) = reply.pause.filter(|_| !reply.other_upstream) {
        info!(upstream = %choice.upstream, "pause: the upstream takes no requests for {pause:?}");
        lock(&core.balancer).record_pause(choice, pause, Instant::now());
    }
    if reply.brittle.is_some() || is_own {
        record_brittle(core, choice, reply.brittle, sent_at);
    }
    if reply.limit.is_some() || is_own {
        record_limit(core, choice, reply.limit, sent_at);
    }
}

/// Records how many refusals the upstream bears according to its answer.
fn record_brittle(core: &Core, choice: &Choice, refusals: Option<u32>, sent_at: Instant) {
    let now = Instant::now();
    let is_change = lock(&core.balancer).record_brittle(choice, refusals, sent_at, now);
    if !is_change {
        return;
    }
    core.report_now.notify_one();
    match refusals {
        Some(refusals) => {
            info!(upstream = %choice.upstream, refusals, "brittle: said by the upstream");
        }
        None => info!(upstream = %choice.upstream, "brittle: no longer said by the upstream"),
    }
}

/// Records the limit that an answer names, or that it names none.
fn record_limit(core: &Core, choice: &Choice, limit: Option<f64>, sent_at: Instant) {
    let now = Instant::now();
    let is_change = lock(&core.balancer).record_limit(choice, limit, sent_at, now);
    if is_change {
        core.report_now.notify_one();
    }
    match limit {
        _ if !is_change => {}
        Some(rate) => info!(upstream = %choice.upstream, rate, "limit: named by the upstream"),
        None => info!(upstream = %choice.upstream, "limit: no longer named by the upstream"),
    }
}
