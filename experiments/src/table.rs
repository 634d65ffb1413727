//! Table of routing policies by user and case.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::{Case, Outcome, Policy, Run, User};

/// Share of requests that must be within both latency targets for a fleet to meet the target.
const TARGET_SHARE: f64 = 0.95;
/// Largest capacity that is tried for the cost at the target.
const MAX_CAPACITY: u32 = 40;

/// Settings of the table.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Users whose requests are simulated.
    pub users: Vec<User>,
    /// Conditions of the runs.
    pub cases: Vec<Case>,
    /// Policies that are compared.
    pub policies: Vec<Policy>,
    /// Seeds, from 1.
    pub seeds: u64,
    /// Capacity of the runs for all columns except the cost.
    pub capacity: u32,
    /// Seconds of arrivals in each run.
    pub seconds: u64,
    /// Threads that simulate runs.
    pub threads: usize,
    /// Whether the cost at the target is determined.
    pub cost: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            users: User::ALL.to_vec(),
            cases: Case::ALL.to_vec(),
            policies: Policy::ALL.to_vec(),
            seeds: 5,
            capacity: 8,
            seconds: 100,
            threads: 4,
            cost: true,
        }
    }
}

/// Mean, minimum and maximum over the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Mean value.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Line {
    /// User.
    pub user: User,
    /// Case.
    pub case: Case,
    /// Policy.
    pub policy: Policy,
    /// Price per hour of the smallest fleet that meets the target; none when no fleet meets it for
    /// each seed, or the cost was not determined.
    pub cost: Option<Spread>,
    /// Share of requests within both latency targets.
    pub within_targets: Spread,
    /// Share of requests whose first token missed its target.
    pub late: Spread,
    /// Share of requests whose time between tokens missed its target.
    pub slow: Spread,
    /// Tokens recomputed per request.
    pub recomputed: Spread,
    /// Share of requests refused.
    pub refused: Spread,
}

/// Lines of all combinations of user, case and policy.
#[derive(Clone, Debug)]
pub struct Table {
    /// Lines in the order of user, case and policy.
    pub lines: Vec<Line>,
}

/// Simulates all runs and returns their table.
pub fn simulate(settings: &Settings) -> Table {
    let mut cells = Vec::new();
    for user in &settings.users {
        for case in &settings.cases {
            for policy in &settings.policies {
                cells.push((*user, *case, *policy));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..settings.threads {
            scope.spawn(|| {
                while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = line(settings, *cell);
                    let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
                    lines.push(line);
                }
            });
        }
    });
    let mut lines = lines.into_inner().unwrap_or_else(PoisonError::into_inner);
    lines.sort_by_key(|line| {
        let cell = (line.user, line.case, line.policy);
        cells.iter().position(|other| *other == cell)
    });
    Table { lines }
}

fn line(settings: &Settings, (user, case, policy): (User, Case, Policy)) -> Line {
    let run = |seed, capacity| {
        let seconds = settings.seconds;
        let run = Run {
            user,
            case,
            policy,
            seed,
            capacity,
            seconds,
        };
        run.simulate()
    };
    let outcomes: Vec<Outcome> = (1..=settings.seeds)
        .map(|seed| run(seed, settings.capacity))
        .collect();
    let costs: Option<Vec<f64>> = (1..=settings.seeds)
        .map(|seed| match settings.cost {
            true => cost_at_target(|capacity| run(seed, capacity)),
            false => None,
        })
        .collect();
    let column = |of: fn(&Outcome) -> f64| spread(&outcomes.iter().map(of).collect::<Vec<_>>());
    Line {
        user,
        case,
        policy,
        cost: costs.map(|costs| spread(&costs)),
        within_targets: column(Outcome::share_within_targets),
        late: column(Outcome::share_late),
        slow: column(Outcome::share_slow),
        recomputed: column(Outcome::recomputed_per_request),
        refused: column(Outcome::share_refused),
    }
}

/// Returns the price of the smallest fleet that meets the target, by bisection of the capacity.
fn cost_at_target(run: impl Fn(u32) -> Outcome) -> Option<f64> {
    let (mut low, mut high) = (0, MAX_CAPACITY + 1);
    let mut price = None;
    while high - low > 1 {
        let capacity = (low + high) / 2;
        let outcome = run(capacity);
        if outcome.share_within_targets() >= TARGET_SHARE {
            high = capacity;
            price = Some(outcome.price);
        } else {
            low = capacity;
        }
    }
    price
}

fn spread(values: &[f64]) -> Spread {
    Spread {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        min: values.iter().copied().fold(f64::INFINITY, f64::min),
        max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = [
            "cost/h at target",
            "% inside",
            "recomputed/request",
            "% refused",
        ];
        write!(f, "{:<6} {:<16} {:<12}", "user", "case", "policy")?;
        for name in head {
            write!(f, " {name:>20}")?;
        }
        writeln!(f)?;
        for line in &self.lines {
            let (user, case, policy) = (line.user.name(), line.case.name(), line.policy.name());
            write!(f, "{user:<6} {case:<16} {policy:<12}")?;
            match line.cost {
                Some(cost) => write_spread(f, cost, 1.0)?,
                None => write!(f, " {:>20}", "-")?,
            }
            write_spread(f, line.within_targets, 100.0)?;
            write_spread(f, line.late, 100.0)?;
            write_spread(f, line.slow, 100.0)?;
            write_spread(f, line.recomputed, 1.0)?;
            write_spread(f, line.refused, 100.0)?;
            writeln!(f)?;
        }
        Ok(())
    }
}

fn write_spread(f: &mut fmt::Formatter<'_>, spread: Spread, factor: f64) -> fmt::Result {
    let Spread { mean, min, max } = spread;
    let text = format!(
        "{:.1} ({:.1}-{:.1})",
        mean * factor,
        min * factor,
        max * factor
    );
    write!(f, " {text:>20}")
}
