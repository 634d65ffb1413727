//! Simulation of arrivals, entries, engines and the planner.

use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use config::ids::UpstreamId;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{Request, Router, Settings};
use upstream::Announcement;

use crate::cache::BlockMap;
use crate::event::{Event, Kind};
use crate::fleet::{Fleet, NOTICE_MS, START_TIME};
use crate::job::{Arrival, Job};
use crate::outcome::{Dispatch, Progress};
use crate::policy::{Decision, Entry};
use crate::workload::{self, ENTRIES, mix};
use crate::{Case, Micros, Outcome, Policy, SECOND, User};

const ANNOUNCEMENT_INTERVAL: Micros = SECOND / 4;
const POLL_INTERVAL: Micros = SECOND / 2;
const PLAN_INTERVAL: Micros = 5 * SECOND;
/// Delay before a job that an engine refused is dispatched again.
const RETRY_DELAY: Micros = 5_000;
/// Refusals by engines after which a request counts as refused.
const MAX_REFUSALS: usize = 3;
/// Share of the run whose requests are not counted.
const WARM_UP_SHARE: f64 = 0.3;
/// Share of the run after which a data centre's reclaimable instances are reclaimed.
const RECLAIM_SHARE: f64 = 0.45;

/// Settings of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// User whose fleet and requests are simulated.
    pub user: User,
    /// Conditions of the run.
    pub case: Case,
    /// Policy by which entries choose engines.
    pub policy: Policy,
    /// Seed of the arrivals and of all random choices.
    pub seed: u64,
    /// Engines that the planner keeps after the loss of any one data centre.
    pub capacity: u32,
    /// Seconds for which requests arrive.
    pub seconds: u64,
}

/// State of a simulation.
struct State {
    run: Run,
    /// Instant of time 0.
    base: Instant,
    now: Micros,
    arrivals_end: Micros,
    arrivals: Vec<Arrival>,
    progress: Vec<Progress>,
    entries: Vec<Entry>,
    fleet: Fleet,
    /// Indices of the engines that received the notice of a reclaim.
    reclaimed: Vec<usize>,
    queue: BinaryHeap<Event>,
    /// Number of the last event.
    last_event: u64,
    /// Sequence number of the last announcements.
    sequence: u64,
    /// Blocks that any engine has computed so far.
    computed: BlockMap<()>,
    /// Tokens recomputed during the warm-up.
    recomputed_in_warm_up: u64,
    /// Price of the fleet per hour at the start.
    price: f64,
    rng: StdRng,
}

impl Run {
    /// Simulates the run to the end of its last event.
    pub fn simulate(self) -> Outcome {
        let mut state = State::new(self);
        while let Some(event) = state.queue.pop() {
            state.now = event.at;
            state.handle(event.kind);
        }
        state.outcome()
    }
}

impl State {
    fn new(run: Run) -> Self {
        let base = Instant::now();
        let arrivals_end = run.seconds * SECOND;
        let arrivals = workload::arrivals(run.user, run.case, run.seed, arrivals_end);
        let fleet = Fleet::new(run.user.text(run.capacity), base);
        let centres: Vec<_> = fleet.text.data_centres.keys().cloned().collect();
        let entry = |n: usize| {
            let settings = Settings {
                data_centre: centres[n % centres.len()].clone(),
                seed: mix(run.seed << 8 | n as u64),
                ..Settings::default()
            };
            Entry::new(Router::new(settings), n)
        };
        let mut state = State {
            run,
            base,
            now: 0,
            arrivals_end,
            progress: vec![Progress::default(); arrivals.len()],
            entries: (0..ENTRIES).map(entry).collect(),
            reclaimed: Vec::new(),
            queue: BinaryHeap::new(),
            last_event: 0,
            sequence: 0,
            computed: BlockMap::default(),
            recomputed_in_warm_up: 0,
            price: fleet.price(),
            fleet,
            rng: StdRng::seed_from_u64(run.seed ^ 0x5eed),
            arrivals,
        };
        let first = state.announcements();
        state.deliver(&first);
        for (n, arrival) in state
            .arrivals
            .iter()
            .map(|a| a.at)
            .enumerate()
            .collect::<Vec<_>>()
        {
            state.push(arrival, Kind::Arrive(n));
        }
        state.push(
            (arrivals_end as f64 * WARM_UP_SHARE) as Micros,
            Kind::EndWarmUp,
        );
        state.push(ANNOUNCEMENT_INTERVAL, Kind::Announce);
        state.push(POLL_INTERVAL, Kind::Poll);
        if run.case == Case::Reclaim {
            let notice = (arrivals_end as f64 * RECLAIM_SHARE) as Micros;
            state.push(notice, Kind::Notice);
            state.push(notice + PLAN_INTERVAL, Kind::Plan);
        }
        state
    }

    fn push(&mut self, at: Micros, kind: Kind) {
        self.last_event += 1;
        let number = self.last_event;
        self.queue.push(Event { at, number, kind });
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn handle(&mut self, kind: Kind) {
        let has_arrivals = self.now < self.arrivals_end;
        match kind {
            Kind::Arrive(arrival_index) => self.dispatch(self.job(arrival_index), None),
            Kind::Retry(job) => self.dispatch(job, None),
            Kind::EndStep(engine_index) => self.end_step(engine_index),
            Kind::Announce => {
                let announcements = self.announcements();
                let lag = self.run.case.report_lag();
                self.push(self.now + lag, Kind::Deliver(announcements));
                if has_arrivals {
                    self.push(self.now + ANNOUNCEMENT_INTERVAL, Kind::Announce);
                }
            }
            Kind::Deliver(announcements) => self.deliver(&announcements),
            Kind::Poll => {
                self.poll_cache_events();
                if has_arrivals {
                    self.push(self.now + POLL_INTERVAL, Kind::Poll);
                }
            }
            Kind::Plan => {
                for engine_index in self.fleet.plan(self.instant()) {
                    self.push(
                        self.now + START_TIME.as_micros() as Micros,
                        Kind::Ready(engine_index),
                    );
                }
                if has_arrivals {
                    self.push(self.now + PLAN_INTERVAL, Kind::Plan);
                }
            }
            Kind::Notice => {
                self.reclaimed = self.fleet.reclaim(self.instant());
                self.push(self.now + NOTICE_MS * 1_000, Kind::Kill);
            }
            Kind::Kill => self.kill_reclaimed(),
            Kind::EndWarmUp => self.recomputed_in_warm_up = self.recomputed_tokens(),
            Kind::Ready(engine_index) => self.fleet.mark_ready(engine_index),
        }
    }

    fn job(&self, arrival_index: usize) -> Job {
        let arrival = &self.arrivals[arrival_index];
        Job {
            arrival: arrival_index,
            priority: arrival.priority,
            prefill_tokens: 0,
            context_tokens: arrival.prompt_tokens,
            cached_blocks: 0,
            remaining_tokens: arrival.answer_tokens,
        }
    }

    fn dispatch(&mut self, job: Job, exclude: Option<UpstreamId>) {
        let arrival_index = job.arrival;
        let arrival = &self.arrivals[arrival_index];
        let started = self.progress[arrival_index].first.is_some();
        let exclude: Vec<UpstreamId> = exclude.into_iter().collect();
        let request = Request {
            service: "engines",
            model: "model",
            blocks: &arrival.blocks,
            prompt_tokens: job.context_tokens,
            max_tokens: job.remaining_tokens,
            priority: arrival.priority,
            exclude: &exclude,
            resumed: started,
            ..Request::default()
        };
        let now = self.instant();
        let entry = &mut self.entries[arrival.entry];
        match entry.choose(self.run.policy, &request, now, &mut self.rng) {
            Decision::Engine(upstream, choice) => {
                self.progress[arrival_index].dispatch = choice.map(|choice| Dispatch {
                    entry: arrival.entry,
                    at: self.now,
                    choice,
                    has_first_token: false,
                });
                self.send(job, upstream);
            }
            Decision::Refused => self.progress[arrival_index].refused = true,
        }
    }

    /// Sends a job to an engine; after a refusal it is dispatched again or counts as refused.
    fn send(&mut self, job: Job, upstream: UpstreamId) {
        let arrival_index = job.arrival;
        let is_upstream = |i: &placement::Instance| i.instance == upstream;
        let engine_index = self
            .fleet
            .instances
            .iter()
            .position(is_upstream)
            .unwrap_or(0);
        if self.fleet.engines[engine_index].accept(job.clone()) {
            self.start_step(engine_index);
            return;
        }
        self.finish(arrival_index);
        self.progress[arrival_index].refusals += 1;
        match self.progress[arrival_index].refusals {
            count if count < MAX_REFUSALS => self.push(self.now + RETRY_DELAY, Kind::Retry(job)),
            _ => self.progress[arrival_index].refused = true,
        }
    }

    fn start_step(&mut self, engine_index: usize) {
        let engine = &mut self.fleet.engines[engine_index];
        if engine.stepping || !engine.alive {
            return;
        }
        if let Some(duration) = engine.start_step(&self.arrivals) {
            engine.stepping = true;
            self.push(self.now + duration, Kind::EndStep(engine_index));
        }
    }

    fn end_step(&mut self, engine_index: usize) {
        let engine = &mut self.fleet.engines[engine_index];
        engine.stepping = false;
        if !engine.alive {
            return;
        }
        let step = engine.end_step(&self.arrivals, &mut self.computed, self.now);
        for arrival_index in step.advanced {
            let progress = &mut self.progress[arrival_index];
            if let Some(dispatch) = progress.dispatch.as_mut().filter(|it| !it.has_first_token) {
                dispatch.has_first_token = true;
                let elapsed = Duration::from_micros(self.now - dispatch.at);
                let router = &self.entries[dispatch.entry].router;
                router.record_first_token(&dispatch.choice, &Request::default(), elapsed);
            }
            progress.first.get_or_insert(self.now);
        }
        for arrival_index in step.finished {
            self.progress[arrival_index].last = Some(self.now);
            self.finish(arrival_index);
        }
        self.start_step(engine_index);
    }

    fn finish(&mut self, arrival_index: usize) {
        if let Some(dispatch) = self.progress[arrival_index].dispatch.take() {
            self.entries[dispatch.entry]
                .router
                .record_finish(&dispatch.choice);
        }
    }

    /// Returns an announcement of each engine that is alive.
    fn announcements(&mut self) -> Vec<Announcement> {
        self.sequence += 1;
        let lag = self.run.case.report_lag() / 1_000;
        let engines = 0..self.fleet.engines.len();
        let alive = engines.filter(|index| self.fleet.engines[*index].alive);
        alive
            .map(|index| {
                let mut load = self.fleet.engines[index].load(&self.arrivals);
                load.age_ms = lag;
                self.fleet.announcement(index, load, self.sequence)
            })
            .collect()
    }

    /// Applies announcements at all entries.
    fn deliver(&mut self, announcements: &[Announcement]) {
        let now = self.instant();
        for entry in &mut self.entries {
            for announcement in announcements {
                let expires = now + Duration::from_millis(announcement.lease_ms);
                entry.routes.insert(announcement.clone(), now, expires);
            }
            entry.clear_sent();
            if self.run.policy == Policy::Chervilloft {
                entry.router.update(&self.fleet.text, &entry.routes);
            }
        }
    }

    /// Applies the cache events of each engine to each router; some of the events are lost.
    fn poll_cache_events(&mut self) {
        if self.run.policy != Policy::Chervilloft {
            return;
        }
        let loss = self.run.case.event_loss();
        for (n, entry) in self.entries.iter().enumerate() {
            for (index, engine) in self.fleet.engines.iter().enumerate() {
                let name = &self.fleet.instances[index].instance;
                let salt = mix((n as u64) << 40 | (index as u64) << 32 | self.run.seed);
                let lost = |sequence: u64| {
                    (mix(salt ^ sequence) >> 11) as f64 / (1_u64 << 53) as f64 <= loss
                };
                let after = entry.router.last_cache_event(name);
                let page = engine.page(after, self.now, lost);
                if engine.alive && entry.router.apply_cache_events(name, &page) {
                    entry
                        .router
                        .replace_cache_contents(name, &engine.contents());
                }
            }
        }
    }

    /// Kills the engines that received a notice, and dispatches their jobs to other engines.
    fn kill_reclaimed(&mut self) {
        for index in std::mem::take(&mut self.reclaimed) {
            for job in self.fleet.engines[index].kill() {
                self.finish(job.arrival);
                let name = self.fleet.instances[index].instance.clone();
                self.dispatch(job, Some(name));
            }
        }
    }

    fn recomputed_tokens(&self) -> u64 {
        self.fleet
            .engines
            .iter()
            .map(|engine| engine.recomputed_tokens)
            .sum()
    }

    fn outcome(&self) -> Outcome {
        let warm_up_end = (self.arrivals_end as f64 * WARM_UP_SHARE) as Micros;
        let mut outcome = Outcome {
            recomputed_tokens: self.recomputed_tokens() - self.recomputed_in_warm_up,
            price: self.price,
            ..Outcome::default()
        };
        for (arrival, progress) in self.arrivals.iter().zip(&self.progress) {
            if arrival.at >= warm_up_end {
                progress.add_to(arrival.at, arrival.answer_tokens, &mut outcome);
            }
        }
        outcome
    }
}
