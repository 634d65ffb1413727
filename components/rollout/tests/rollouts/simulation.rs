//! Entries, a leader and the upstreams of one service during a roll-out, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rollout::{Evidence, Progress, Report, Version, next, share};
use state::rollouts::Phase;

/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Time between two reports of an entry.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Age from which on an overview counts as stale.
const STALE: Duration = Duration::from_secs(2);
/// Bad answers after which a version may be sent requests for a limited time only.
const BAD_ANSWERS: usize = 50;
/// That time.
const GRACE: Duration = Duration::from_secs(5);

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) fails: bool,
    pub(crate) slower: f64,
}

pub(crate) const WELL: Answer = Answer {
    fails: false,
    slower: 1.0,
};

/// A request at the new version.
pub(crate) struct Sent<'a> {
    pub(crate) at: Duration,
    pub(crate) route: &'a str,
    /// Requests of the new version in the last second.
    pub(crate) per_second: usize,
    /// Random number from 0 to 1.
    pub(crate) draw: f64,
}

pub(crate) struct Settings {
    pub(crate) seed: u64,
    pub(crate) duration: Duration,
    pub(crate) entries: usize,
    /// Requests a second, by route.
    pub(crate) rates: Vec<(&'static str, f64)>,
    /// Average time of a request.
    pub(crate) time: Duration,
    pub(crate) behaviour: fn(&Sent<'_>) -> Answer,
    /// Share of the requests that fail at the old version.
    pub(crate) old_failures: f64,
    /// Entries that are cut off from this time on, and their number.
    pub(crate) cut_off: Option<(Duration, usize)>,
    /// When a leader is lost; each next one leads `election` later.
    pub(crate) kills: Vec<Duration>,
    /// Whether a leader is also lost right after it recorded each phase.
    pub(crate) kill_after_phases: bool,
    pub(crate) election: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            seed: 1,
            duration: Duration::from_secs(12),
            entries: 20,
            rates: vec![("small", 60.0), ("large", 30.0), ("rare", 10.0)],
            time: Duration::from_millis(80),
            behaviour: |_| WELL,
            old_failures: 0.002,
            cut_off: None,
            kills: Vec::new(),
            kill_after_phases: false,
            election: Duration::from_millis(1_500),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Result {
    pub(crate) phase: Phase,
    pub(crate) ended: Duration,
    pub(crate) reason: String,
    pub(crate) phases: Vec<Phase>,
    pub(crate) requests: usize,
    pub(crate) new: usize,
    /// Requests at the new version that were sent later than allowed after too many bad answers.
    pub(crate) too_late: usize,
    /// Requests at the old version when it stopped.
    pub(crate) cut: usize,
    /// Requests that entries which were cut off sent to the new version.
    pub(crate) by_cut_off: usize,
}

impl Result {
    /// Requests that a bad version may get.
    pub(crate) fn bound(&self) -> usize {
        self.requests / 10 + 50
    }
}

#[derive(Default)]
struct Entry {
    report: Report,
    known: Option<(Phase, f64, Duration)>,
}

struct Leader {
    evidence: Evidence,
    phase: Phase,
    phase_at: Duration,
    down_until: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct End {
    at: Duration,
    entry: usize,
    is_new: bool,
    route: &'static str,
    took: Duration,
    fails: bool,
}

/// Plays a roll-out from its order to its deadline.
pub(crate) fn play(settings: &Settings) -> Result {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut entries: Vec<Entry> = (0..settings.entries).map(|_| Entry::default()).collect();
    let mut leader = Leader {
        evidence: Evidence::new(1, start),
        phase: Phase::Canary,
        phase_at: Duration::ZERO,
        down_until: Duration::ZERO,
    };
    let mut ends: BinaryHeap<Reverse<End>> = BinaryHeap::new();
    let mut kills = settings.kills.iter().peekable();
    let mut bad_answers = 0;
    let mut forbidden_from = None;
    let mut new_sends: Vec<Duration> = Vec::new();
    let mut result = Result {
        phase: Phase::Canary,
        ended: settings.duration,
        reason: String::new(),
        phases: Vec::new(),
        requests: 0,
        new: 0,
        too_late: 0,
        cut: 0,
        by_cut_off: 0,
    };
    let mut now = Duration::ZERO;
    while now < settings.duration {
        while ends.peek().is_some_and(|Reverse(end)| end.at <= now) {
            let Some(Reverse(end)) = ends.pop() else {
                break;
            };
            let report = &mut entries[end.entry].report;
            let version = version(report, end.is_new);
            version.running -= 1;
            let counts = version.route_mut(end.route).expect("there are few routes");
            counts.record(end.took, end.fails);
            let is_bad = end.is_new && (end.fails || end.took > settings.time * 4);
            bad_answers += usize::from(is_bad);
            if bad_answers >= BAD_ANSWERS && forbidden_from.is_none() {
                forbidden_from = Some(end.at + GRACE);
            }
        }
        for (route, rate) in &settings.rates {
            if !rng.random_bool(rate * STEP.as_secs_f64()) {
                continue;
            }
            let entry = rng.random_range(0..entries.len());
            let draw: f64 = rng.random();
            let known = entries[entry].known;
            let is_new = match known {
                None | Some((Phase::Canary | Phase::RolledBack, _, _)) if is_stale(known, now) => {
                    false
                }
                Some((Phase::Moving | Phase::Moved, _, _)) if is_stale(known, now) => true,
                Some((_, share, _)) => draw < share,
                None => false,
            };
            result.requests += 1;
            let answer = if is_new {
                result.new += 1;
                let is_cut_off = settings
                    .cut_off
                    .is_some_and(|(from, count)| entry < count && now >= from + STALE);
                result.by_cut_off += usize::from(is_cut_off);
                result.too_late += usize::from(forbidden_from.is_some_and(|from| now > from));
                new_sends.push(now);
                let from = now.saturating_sub(Duration::from_secs(1));
                let recent = new_sends.iter().rev().take_while(|at| **at >= from);
                (settings.behaviour)(&Sent {
                    at: now,
                    route,
                    per_second: recent.count(),
                    draw: rng.random(),
                })
            } else {
                Answer {
                    fails: rng.random_bool(settings.old_failures),
                    slower: 1.0,
                }
            };
            // Upstreams differ in speed, and are slowed down from time to time.
            let speed = rng.random_range(0.55..1.2);
            let slowed = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
            let took = settings.time.mul_f64(answer.slower * slowed / speed);
            let version = version(&mut entries[entry].report, is_new);
            version.running += 1;
            version.route_mut(route).expect("there are few routes").sent += 1;
            ends.push(Reverse(End {
                at: now + took,
                entry,
                is_new,
                route,
                took,
                fails: answer.fails,
            }));
        }
        if kills.next_if(|at| **at <= now).is_some() {
            leader.down_until = now + settings.election;
        }
        let is_up = now >= leader.down_until;
        if is_up && leader.down_until > Duration::ZERO {
            leader.evidence = Evidence::new(1, start + now);
            leader.down_until = Duration::ZERO;
        }
        for (index, entry) in entries.iter_mut().enumerate() {
            let is_cut_off = settings
                .cut_off
                .is_some_and(|(from, count)| index < count && now >= from);
            let offset = REPORT_PERIOD * u32::try_from(index).unwrap_or(0)
                / u32::try_from(settings.entries).unwrap_or(1);
            let since = (now + offset).as_millis() % REPORT_PERIOD.as_millis();
            if !is_up || is_cut_off || since >= STEP.as_millis() {
                continue;
            }
            entry.report.number = 1;
            entry.report.phase = entry.known.map(|(phase, _, _)| phase);
            let name = (format!("entry-{index}").as_str().into(), 1);
            leader
                .evidence
                .record(name, entry.report.clone(), start + now);
            let share = share(&leader.evidence, leader.phase, start + now);
            entry.known = Some((leader.phase, share, now));
        }
        if is_up && now.as_millis().is_multiple_of(50) {
            let progress = Progress {
                phase: leader.phase,
                elapsed: now,
                in_phase: now - leader.phase_at,
                duration: settings.duration,
            };
            if let Some(next) = next(&mut leader.evidence, &progress, start + now) {
                leader.phase = next.phase;
                leader.phase_at = now;
                result.phase = next.phase;
                result.phases.push(next.phase);
                result.reason = next.reason.to_string();
                if next.phase.is_final() {
                    result.ended = now;
                }
                if next.phase == Phase::Completed {
                    let running = entries.iter().map(|entry| entry.report.old.running);
                    result.cut = running.sum::<u32>() as usize;
                }
                if settings.kill_after_phases {
                    leader.down_until = now + settings.election;
                }
            }
        }
        now += STEP;
    }
    result
}

fn version(report: &mut Report, is_new: bool) -> &mut Version {
    match is_new {
        true => &mut report.new,
        false => &mut report.old,
    }
}

fn is_stale(known: Option<(Phase, f64, Duration)>, now: Duration) -> bool {
    known.is_none_or(|(_, _, at)| now.saturating_sub(at) > STALE)
}
