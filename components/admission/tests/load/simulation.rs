//! Callers, entries, engines and a leader, without a network.

use std::time::{Duration, Instant};

use admission::{Class, Demand, Load, Planner, Process, Supply, account_key};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{Engine, Event, Request, STEP_MS};
use crate::entry::{Asked, Decision, Entry, Held};
use crate::outcomes::Outcomes;

const ENTRIES: usize = 20;
/// Engines among which an entry chooses: the home of a prompt and its substitutes.
const CANDIDATES: usize = 4;
/// Steps between two reports of an entry.
const REPORT_STEPS: usize = 50;
/// Requests by rank: their part of all, time for the prompt, time to generate, and target, in
/// milliseconds.
const KINDS: [(f64, f64, f64, f64); 3] = [
    (0.147, 47.0, 90.0, 600.0),
    (0.333, 61.0, 200.0, 800.0),
    (0.520, 18.0, 290.0, 500.0),
];
/// Usual parts of the accounts, of which a few are large.
const LARGE_ACCOUNTS: [f64; 4] = [0.2, 0.15, 0.12, 0.08];
pub(crate) const ACCOUNTS: usize = 16;

/// What is simulated.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) seed: u64,
    pub(crate) engines: usize,
    pub(crate) places: usize,
    /// Usual load relative to the one with which the engines compute prompts all of the time.
    pub(crate) load: f64,
    /// Account whose load is a multiple of its usual one.
    pub(crate) heavy: Option<(usize, f64)>,
    /// What entries and the leader take for the time of a request, relative to the actual one.
    pub(crate) model: f64,
    /// Time without a leader; the one after it is new if the flag is set.
    pub(crate) without_leader: Option<(f64, f64, bool)>,
    /// When half of the engines are lost.
    pub(crate) loss: Option<f64>,
    pub(crate) seconds: f64,
    /// Whether entries get plans.
    pub(crate) plans: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            seed: 0x5eed_0041,
            engines: 8,
            places: 32,
            load: 1.6,
            heavy: None,
            model: 1.0,
            without_leader: None,
            loss: None,
            seconds: 24.0,
            plans: true,
        }
    }
}

pub(crate) struct Simulation {
    settings: Settings,
    rng: StdRng,
    start: Instant,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    planner: Planner,
    told_at: Vec<Instant>,
    outcomes: Outcomes,
    requests: u64,
}

/// Returns the usual part of an account.
pub(crate) fn usual_part(account: usize) -> f64 {
    let large: f64 = LARGE_ACCOUNTS.iter().sum();
    let count = ACCOUNTS - LARGE_ACCOUNTS.len();
    let unit = (1.0 - large) * 2.0 / (count * (count + 1)) as f64;
    let small = (ACCOUNTS - account) as f64 * unit;
    LARGE_ACCOUNTS.get(account).copied().unwrap_or(small)
}

/// Returns the class of an emulated account.
fn class(rank: u8, account: usize) -> Class {
    let account = account_key(Some(&format!("account-{account}")));
    Class { rank, account }
}

impl Simulation {
    pub(crate) fn run(settings: Settings) -> Outcomes {
        let start = Instant::now();
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(settings.seed),
            engines: (0..settings.engines).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| Entry::new(settings.engines)).collect(),
            planner: Planner::new(start),
            told_at: vec![start; ENTRIES],
            outcomes: Outcomes::default(),
            requests: 0,
            start,
            settings,
        };
        let steps = (simulation.settings.seconds * 1_000.0 / STEP_MS) as usize;
        for step in 0..steps {
            simulation.step(step);
        }
        simulation.outcomes
    }

    fn step(&mut self, step: usize) {
        let ms = step as f64 * STEP_MS;
        let now = self.start + Duration::from_secs_f64(ms / 1_000.0);
        if self.settings.loss.is_some_and(|at| ms == at * 1_000.0) {
            self.lose_engines();
        }
        for index in 0..self.engines.len() {
            for event in self.engines[index].step(self.settings.places) {
                self.record(index, event, ms);
            }
        }
        let seconds = ms / 1_000.0;
        let gap = self.settings.without_leader;
        match gap {
            Some((from, to, _)) if (from..to).contains(&seconds) => self.even_out(now),
            Some((_, to, true)) if seconds == to => self.planner = Planner::new(now),
            _ => self.exchange(step, now),
        }
        for account in 0..ACCOUNTS {
            for rank in 0..3 {
                self.arrive(rank, account, ms, now);
            }
        }
    }

    /// Lets requests of a class arrive at random.
    fn arrive(&mut self, rank: u8, account: usize, ms: f64, now: Instant) {
        let (part, compute_ms, generate_ms, target_ms) = KINDS[usize::from(rank)];
        let average: f64 = KINDS.iter().map(|kind| kind.0 * kind.1).sum();
        let all_per_ms = self.settings.load * self.settings.engines as f64 / average;
        let multiple = match self.settings.heavy {
            Some((heavy, multiple)) if heavy == account => multiple,
            _ => 1.0,
        };
        let expected = all_per_ms * STEP_MS * part * usual_part(account) * multiple;
        let mut left = expected;
        while left > 0.0 {
            if self
                .rng
                .random_bool(left.min(1.0) * (-left.min(1.0) * 0.5).exp())
            {
                let spread = self.rng.random_range(0.5..1.5);
                let request = Request {
                    rank,
                    account,
                    entry: self.rng.random_range(0..ENTRIES),
                    arrived_ms: ms,
                    counted_ms: compute_ms * spread * self.settings.model,
                    compute_ms: compute_ms * spread,
                    generate_ms: generate_ms * self.rng.random_range(0.5..1.5),
                };
                self.send(request, target_ms, now);
            }
            left -= 1.0;
        }
    }

    fn send(&mut self, request: Request, target_ms: f64, now: Instant) {
        self.requests += 1;
        let serving = (0..self.engines.len()).filter(|engine| !self.engines[*engine].is_lost);
        let serving: Vec<_> = serving.collect();
        let any = |_| serving[self.rng.random_range(0..serving.len())];
        let usable: Vec<_> = (0..CANDIDATES).map(any).collect();
        let asked = Asked {
            class: class(request.rank, request.account),
            hash: admission::hash(&format!("request-{}", self.requests)),
            demand: Demand {
                requests: 1.0,
                compute_ms: request.counted_ms,
                place_ms: request.counted_ms + request.generate_ms * self.settings.model,
            },
            target_ms,
            usable: &usable,
            places: self.settings.places as f64,
            serving: serving.len() as f64,
        };
        let decision = self.entries[request.entry].decide(&asked, now);
        let counts = self.outcomes.of(&request);
        counts.asked += 1.0;
        match decision {
            Decision::Sent(engine) => self.engines[engine].push(request),
            Decision::RefusedByPlan => counts.planned += 1.0,
            Decision::RefusedLocally => counts.local += 1.0,
        }
    }

    fn record(&mut self, engine: usize, event: Event, ms: f64) {
        match event {
            Event::Begun(request) => {
                let is_late = ms - request.arrived_ms > KINDS[usize::from(request.rank)].3;
                let entry = &mut self.entries[request.entry];
                entry.own[engine].waiting_ms -= request.counted_ms;
                entry.begun += 1;
                entry.late += u64::from(is_late);
                let counts = self.outcomes.of(&request);
                match is_late {
                    true => counts.late += 1.0,
                    false => counts.in_time += 1.0,
                }
            }
            Event::Ended(request) => self.entries[request.entry].own[engine].requests -= 1.0,
        }
    }

    /// Loses every second engine with all that it has.
    fn lose_engines(&mut self) {
        for index in (0..self.engines.len()).step_by(2) {
            self.engines[index].lose();
            for entry in &mut self.entries {
                entry.own[index] = Held::default();
            }
        }
    }

    fn even_out(&mut self, now: Instant) {
        for (entry, told_at) in self.entries.iter_mut().zip(&self.told_at) {
            if now.saturating_duration_since(*told_at) > Entry::MAX_WORK_AGE {
                entry.even_out();
            }
        }
    }

    /// Lets the entries whose turn it is report to the leader.
    fn exchange(&mut self, step: usize, now: Instant) {
        for index in 0..ENTRIES {
            let turn = step + index * REPORT_STEPS / ENTRIES;
            if !turn.is_multiple_of(REPORT_STEPS) {
                continue;
            }
            let report = self.entries[index].report();
            let process: Process = (format!("entry-{index}").into(), 1);
            self.planner.record(&process, &report, now);
            let all: Vec<Held> = (0..self.engines.len())
                .map(|engine| self.held(engine))
                .collect();
            if self.planner.is_due(now) {
                self.plan(&all, now);
            }
            let plan = self.planner.newest(now).filter(|_| self.settings.plans);
            self.entries[index].apply(&all, plan, now);
            self.told_at[index] = now;
        }
    }

    /// Returns what all entries have reported of an engine.
    fn held(&self, engine: usize) -> Held {
        let reported = self.entries.iter().map(|entry| entry.reported[engine]);
        reported.fold(Held::default(), |sum, held| Held {
            requests: sum.requests + held.requests,
            waiting_ms: sum.waiting_ms + held.waiting_ms,
        })
    }

    fn plan(&mut self, all: &[Held], now: Instant) {
        let serving = self.engines.iter().filter(|engine| !engine.is_lost).count() as f64;
        let supply = Supply {
            speed: serving,
            places: serving * self.settings.places as f64,
            target: Duration::from_millis(500),
        };
        let load = Load {
            requests: all.iter().map(|held| held.requests).sum(),
            waiting_ms: all.iter().map(|held| held.waiting_ms).sum(),
        };
        let plan = self.planner.plan(&supply, &load, now);
        if std::env::var_os("TRACE_PLANS").is_some() {
            let ranks: Vec<_> = plan.ranks().map(|(_, share)| share).collect();
            println!(
                "{:.2} s: {ranks:?}, factor {:.2}, {:.0} requests, {:.0} ms",
                now.duration_since(self.start).as_secs_f64(),
                self.planner.capacity_factor(),
                load.requests,
                load.waiting_ms,
            );
        }
    }
}
