//! Admission control: bounds the expected time to the first event of a generation.
//!
//! This protects against a load that exceeds the capacity of the engines for some seconds. Without
//! a bound, every admitted generation delays all later ones, and soon none is answered in time.
//! With a bound, admitted generations meet their target, and the others are refused at once with a
//! time after which to retry. Engines run urgent generations first, so that these wait for only a
//! part of the queue and get a higher bound.

use std::time::Duration;

use crate::call::Call;

/// Longest expected time to the first event by rank, relative to the target; the last value holds
/// for all later ranks. From rank 1 on, the values are below 1, because other entries add work that
/// this entry does not know of yet.
const MAX_WAIT_PER_TARGET: [f64; 3] = [1.5, 0.7, 0.5];

/// The same for services that are balanced by work. Requests of all ranks are late from the target on,
/// and the leader's plan admits more urgent ones first.
const MAX_WAIT_PER_TARGET_BY_WORK: [f64; 3] = [0.9, 0.7, 0.5];
/// Part of its own target that a request may always wait, however strict the targets of more urgent
/// ones are.
const MIN_WAIT_PER_TARGET: f64 = 0.25;

/// Returns the longest expected time to the first event with which `call` is sent to an upstream.
/// Calls without a prompt have no limit, and neither have those that take up a stream: its first
/// event came earlier, and fewer upstreams may continue it than begin others.
pub fn max_wait(call: &Call) -> Duration {
    match call.prompt {
        Some(_) if !call.takes_up() => max_wait_for_rank(call.route.target, call.rank()),
        _ => Duration::MAX,
    }
}

/// The same for a service that is balanced by work. `more_urgent` is the strictest target of the ranks
/// before that of the call: a queue that makes these late is too long for the call as well, or they
/// would be refused more often than it.
pub fn max_wait_by_work(call: &Call, more_urgent: Option<Duration>) -> Duration {
    match call.prompt {
        Some(_) if !call.takes_up() => {
            let ranks = MAX_WAIT_PER_TARGET_BY_WORK;
            let factor = ranks[usize::from(call.rank()).min(ranks.len() - 1)];
            let own = call.route.target;
            let strictest = more_urgent.map_or(own, |other| own.min(other));
            let wait = strictest.mul_f64(factor);
            wait.max(own.mul_f64(MIN_WAIT_PER_TARGET))
        }
        _ => Duration::MAX,
    }
}

/// Returns the longest expected time to the first event for a latency target and a rank.
pub fn max_wait_for_rank(target: Duration, rank: u8) -> Duration {
    let index = usize::from(rank).min(MAX_WAIT_PER_TARGET.len() - 1);
    target.mul_f64(MAX_WAIT_PER_TARGET[index])
}
