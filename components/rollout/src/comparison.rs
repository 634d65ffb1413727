//! Comparison of the new version with the old ones.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use state::rollouts::Phase;

use crate::evidence::Sums;
use crate::statistics::binomial_tail;
use crate::{Counts, Evidence};

/// Times over which the versions are compared, besides the whole roll-out. What a version did well
/// for long does not outweigh what it does now.
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(5),
    Duration::from_secs(15),
];
/// Probability below which a difference is not taken for chance. Some hundred comparisons are made
/// in one roll-out.
const BAD_CHANCE: f64 = 2e-4;
/// Probability below which a version is not found good yet.
const DOUBTFUL_CHANCE: f64 = 5e-3;
/// Share of failures that every version may have.
const USUAL_FAILURES: f64 = 0.01;
/// Factor of failures of the old versions that is taken for a usual difference.
const FAILURE_FACTOR: f64 = 1.5;
/// Fewest failures of a bad version.
const MIN_FAILURES: u64 = 3;
/// Part of the times of the old versions above which times may be slow.
const SLOW_QUANTILE: f64 = 0.9;
/// Slots above that quantile from which on a time is slow; two slots are a factor of 2.
const SLOW_SLOTS: usize = 1;
/// Smallest share of slow times that is assumed of the old versions.
const USUAL_SLOW: f64 = 0.1;
/// Factor of the average time from which on a version may be slow. Upstreams of one version differ
/// by as much as 2, of which the average over several takes away a part.
const SLOW_FACTOR: f64 = 1.7;
/// The same once the new version gets the traffic, and with it the load.
const SLOW_FACTOR_MOVED: f64 = 2.2;
/// Fewest answers of the old versions with which times are compared.
const MIN_OLD_TIMES: u64 = 20;
/// Fewest answers of the new version for a verdict.
const MIN_ANSWERS: u64 = 10;
/// Fewest of them on a busy route.
const MIN_ROUTE_ANSWERS: u64 = 3;
/// Answers of the old versions from which on a route is busy.
const BUSY_ROUTE: u64 = 200;

/// What the evidence says of the new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It fails or is slow; with the evidence.
    Bad(CompactString),
    /// There is too little evidence, or it may be bad; with the evidence.
    Open(CompactString),
    /// It does as well as the old ones; with the evidence.
    Good(CompactString),
}

/// How unlikely an observation is if the new version is like the old ones.
struct Finding {
    chance: f64,
    text: CompactString,
}

/// Compares the new version with the old ones over each window.
pub(crate) fn compare(evidence: &Evidence, phase: Phase, now: Instant) -> Verdict {
    let sums = evidence.sums();
    let recent = WINDOWS.iter().filter_map(|window| {
        let earlier = evidence.sums_before(*window, now)?;
        Some(sums.since(earlier))
    });
    let windows: Vec<Sums> = recent.chain([sums.clone()]).collect();
    let findings = windows
        .iter()
        .flat_map(|window| findings(window, &sums, phase));
    let worst = findings.min_by(|a, b| a.chance.total_cmp(&b.chance));
    match worst {
        Some(worst) if worst.chance < BAD_CHANCE => Verdict::Bad(worst.text),
        Some(worst) if worst.chance < DOUBTFUL_CHANCE => {
            Verdict::Open(format_compact!("in doubt: {}", worst.text))
        }
        _ => enough(&sums),
    }
}

/// Returns whether there is enough evidence to call a version good that shows no fault.
fn enough(sums: &Sums) -> Verdict {
    let (new, old) = sums.totals();
    let text = format_compact!(
        "{} of {} answers failed, of the old versions {} of {}",
        new.failed,
        new.ended,
        old.failed,
        old.ended
    );
    let is_missing = |route: &&CompactString| {
        let answers = |counts: Option<&Counts>| counts.map_or(0, |counts| counts.ended);
        answers(sums.old.get(*route)) >= BUSY_ROUTE
            && answers(sums.new.get(*route)) < MIN_ROUTE_ANSWERS
    };
    match sums.routes().into_iter().find(|route| is_missing(route)) {
        _ if new.ended < MIN_ANSWERS => Verdict::Open(format_compact!("too few answers: {text}")),
        Some(route) => Verdict::Open(format_compact!("too few answers on route {route}: {text}")),
        None => Verdict::Good(text),
    }
}

/// Returns the findings about each route, and about all together, in a window.
fn findings(window: &Sums, all: &Sums, phase: Phase) -> Vec<Finding> {
    let none = Counts::default();
    let mut findings = Vec::new();
    for route in window.routes() {
        let new = window.new.get(route).unwrap_or(&none);
        let recent = window.old.get(route).unwrap_or(&none);
        let old = match recent.ended {
            MIN_OLD_TIMES.. => recent,
            _ => all.old.get(route).unwrap_or(&none),
        };
        findings.extend(failures(route, new, old));
        findings.extend(slowness(route, new, old, phase));
    }
    let (new, recent) = window.totals();
    let (_, old) = all.totals();
    let old = match recent.ended {
        MIN_OLD_TIMES.. => recent,
        _ => old,
    };
    findings.extend(failures("all", &new, &old));
    findings
}

fn failures(route: &str, new: &Counts, old: &Counts) -> Option<Finding> {
    let expected = (old.failed as f64 / old.ended.max(1) as f64) * FAILURE_FACTOR;
    let expected = expected.clamp(USUAL_FAILURES, 1.0);
    let chance = binomial_tail(new.ended, new.failed, expected);
    // A version is not found bad by one or two failures, as by one upstream that crashes.
    let chance = match new.failed {
        MIN_FAILURES.. => chance,
        _ => chance.max(BAD_CHANCE),
    };
    (chance < DOUBTFUL_CHANCE).then(|| Finding {
        chance,
        text: format_compact!(
            "route {route}: {} of {} answers failed, of the old versions {} of {}",
            new.failed,
            new.ended,
            old.failed,
            old.ended
        ),
    })
}

fn slowness(route: &str, new: &Counts, old: &Counts, phase: Phase) -> Option<Finding> {
    if old.timed() < MIN_OLD_TIMES || new.ended == 0 {
        return None;
    }
    let factor = match phase {
        Phase::Canary => SLOW_FACTOR,
        _ => SLOW_FACTOR_MOVED,
    };
    let average = |counts: &Counts| counts.sum_ms as f64 / counts.ended.max(1) as f64;
    let (new_ms, old_ms) = (average(new), average(old));
    // Times below a millisecond are counted as 0.
    if new_ms < (old_ms + 1.0) * factor {
        return None;
    }
    let slow_from = old.quantile_slot(SLOW_QUANTILE) + SLOW_SLOTS;
    let usual = (old.above(slow_from) as f64 / old.timed() as f64) * 2.0;
    let slow = new.above(slow_from);
    let chance = binomial_tail(new.timed(), slow, usual.clamp(USUAL_SLOW, 1.0));
    (chance < DOUBTFUL_CHANCE).then(|| Finding {
        chance,
        text: format_compact!(
            "route {route}: {slow} of {} answers slow, {new_ms:.0} ms on average, of the old \
             versions {old_ms:.0} ms",
            new.ended
        ),
    })
}
