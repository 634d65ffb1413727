//! When a phase ends, and what the new version gets in each.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use state::rollouts::Phase;

use crate::{Evidence, Schedule, Verdict, comparison};

/// Share of the requests that the new version gets as a canary.
pub const CANARY_SHARE: f64 = 0.07;
/// Share of the requests that it gets in the first step of the move.
pub const MOVING_SHARE: f64 = 0.3;
/// Time after a take-over until the entries' evidence counts as complete; entries report every
/// 250 ms.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Shortest time for which the old versions get no new requests before they may stop. Entries learn
/// of a phase with their next report.
const MIN_MOVED_TIME: Duration = Duration::from_millis(600);
/// The same if the deadline is near.
const MIN_MOVED_TIME_AT_END: Duration = Duration::from_millis(300);
/// Share of all requests from which on the canary gets nothing.
const BUDGET_SHARE: f64 = 0.085;
/// Requests beyond that share that it may get.
const BUDGET_REQUESTS: f64 = 25.0;

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Current phase.
    pub phase: Phase,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the phase began.
    pub in_phase: Duration,
    /// Time from the order to the deadline.
    pub duration: Duration,
}

/// The next phase, and why it begins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Next {
    /// The phase.
    pub phase: Phase,
    /// The evidence.
    pub reason: CompactString,
}

/// Returns the phase that begins now, if the current one ends.
pub fn next(evidence: &mut Evidence, progress: &Progress, now: Instant) -> Option<Next> {
    let phase = progress.phase;
    if phase.is_final() {
        return None;
    }
    evidence.observe(now);
    let schedule = Schedule::new(progress.duration);
    let verdict = comparison::compare(evidence, phase, now);
    if let Verdict::Bad(reason) = verdict {
        return roll_back(reason);
    }
    match phase {
        Phase::Canary => after_canary(evidence, progress, &schedule, verdict, now),
        Phase::Moving if progress.in_phase >= schedule.step() => {
            let (Verdict::Bad(reason) | Verdict::Open(reason) | Verdict::Good(reason)) = verdict;
            Some(Next {
                phase: Phase::Moved,
                reason,
            })
        }
        Phase::Moved => after_move(evidence, progress, &schedule, now),
        Phase::Moving | Phase::Completed | Phase::RolledBack => None,
    }
}

fn roll_back(reason: CompactString) -> Option<Next> {
    Some(Next {
        phase: Phase::RolledBack,
        reason,
    })
}

fn after_canary(
    evidence: &Evidence,
    progress: &Progress,
    schedule: &Schedule,
    verdict: Verdict,
    now: Instant,
) -> Option<Next> {
    let is_settled = evidence.age(now) >= SETTLING_TIME;
    let time_left = schedule.deadline().saturating_sub(progress.elapsed);
    match verdict {
        Verdict::Bad(reason) | Verdict::Open(reason) | Verdict::Good(reason)
            if progress.elapsed >= schedule.latest_verdict() =>
        {
            roll_back(format_compact!("no verdict in time: {reason}"))
        }
        Verdict::Good(reason) if is_settled && progress.elapsed >= schedule.verdict() => {
            Some(Next {
                // Late, as after a change of leader, the requests of the old versions need all of
                // the time that is left.
                phase: match time_left < schedule.move_time() / 2 {
                    true => Phase::Moved,
                    false => Phase::Moving,
                },
                reason,
            })
        }
        _ => None,
    }
}

fn after_move(
    evidence: &Evidence,
    progress: &Progress,
    schedule: &Schedule,
    now: Instant,
) -> Option<Next> {
    let is_late = progress.elapsed >= schedule.completion();
    let has_ended = evidence.age(now) >= SETTLING_TIME && evidence.has_moved(now);
    let reason = match (is_late, has_ended) {
        (_, true) if progress.in_phase >= MIN_MOVED_TIME => "no request runs at the old versions",
        (true, _) if progress.in_phase >= MIN_MOVED_TIME_AT_END => "the deadline is near",
        _ => return None,
    };
    Some(Next {
        phase: Phase::Completed,
        reason: reason.into(),
    })
}

/// Returns the share of the requests that the new version gets now. It gets nothing as a canary
/// while the evidence of a new leader is incomplete, or once its budget is spent.
pub fn share(evidence: &Evidence, phase: Phase, now: Instant) -> f64 {
    match phase {
        Phase::Canary if evidence.age(now) < SETTLING_TIME => 0.0,
        Phase::Canary => {
            let (new, all) = evidence.sent();
            let budget = all as f64 * BUDGET_SHARE + BUDGET_REQUESTS;
            match (new as f64) < budget {
                true => CANARY_SHARE,
                false => 0.0,
            }
        }
        Phase::Moving => MOVING_SHARE,
        Phase::Moved | Phase::Completed => 1.0,
        Phase::RolledBack => 0.0,
    }
}
