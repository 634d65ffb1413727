//! Entries and engines, simulated without a network. Each entry learns of the engines and of the
//! others' work only late.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::UpstreamId;
use config::text::{Balance, Kind as ServiceKind, Service};
use gateway::balancer::{Balancer, Outcome, Rates, Settings, Tally};
use indexmap::IndexMap;
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes};
use wire::Work;

use crate::engine::{BATCH, Done, Engine, TOKENS_PER_MS};
use crate::totals::Totals;
use crate::traffic::{Random, Traffic};

pub(crate) const SERVICE: &str = "model";
const LEASE: Duration = Duration::from_secs(4);
/// Simulated time between two looks, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Time between two announcements of the engines, and between two exchanges of each entry.
const ANNOUNCEMENT_MS: u64 = 1_000;
const EXCHANGE_MS: u64 = 250;
/// Age of what an entry hears.
const DELAY_MS: u64 = 100;
pub(crate) const DATA_CENTRES: usize = 4;
/// Time for which a request occupies a slot of an engine, in milliseconds.
pub(crate) const SLOT_TIME_MS: f64 = 300.0;

/// Number of entries, engines and shared parts of each kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) shared_parts: u32,
    /// Requests relative to those of `traffic::KINDS`.
    pub(crate) load: f64,
}

pub(crate) struct World {
    start: Instant,
    pub(crate) now_ms: u64,
    random: Random,
    traffic: Traffic,
    /// Requests relative to the usual.
    load: f64,
    is_quiet: bool,
    text: Text,
    routes: Routes,
    announcements: IndexMap<UpstreamId, Announcement>,
    /// What was announced, by the time from which on entries hear of it.
    snapshots: Vec<(u64, Routes)>,
    /// Work of all entries, as last exchanged.
    work: Vec<(UpstreamId, Work)>,
    pub(crate) entries: Vec<Balancer>,
    /// The engines that run.
    pub(crate) engines: IndexMap<UpstreamId, Engine>,
    /// When engines stop.
    stops: Vec<(u64, UpstreamId)>,
    started: usize,
    /// By which engine and when each shared part was computed last.
    pub(crate) computed: IndexMap<u64, Vec<(UpstreamId, f64)>>,
    pub(crate) totals: Totals,
}

impl World {
    pub(crate) fn new(size: Size, by_work: bool, seed: u64) -> Self {
        let service = Service {
            kind: ServiceKind::Model,
            balance: match by_work {
                true => Balance::ByWork,
                false => Balance::ByRequests,
            },
            ..Service::default()
        };
        let rates = Rates {
            prefill_ms_per_token: 1.0 / TOKENS_PER_MS,
            slot_time_ms: SLOT_TIME_MS,
            ..Rates::default()
        };
        let entry = |index: usize| {
            Balancer::new(Settings {
                data_centre: data_centre(index % DATA_CENTRES),
                unknown_rates: rates,
                ..Settings::default()
            })
        };
        let mut world = World {
            start: Instant::now(),
            now_ms: 0,
            random: Random::new(seed),
            traffic: Traffic::new(size.shared_parts),
            load: size.load,
            is_quiet: false,
            text: Text {
                services: [(SERVICE.into(), service)].into_iter().collect(),
                ..Text::default()
            },
            routes: Routes::default(),
            announcements: IndexMap::new(),
            snapshots: Vec::new(),
            work: Vec::new(),
            entries: (0..size.entries).map(entry).collect(),
            engines: IndexMap::new(),
            stops: Vec::new(),
            started: 0,
            computed: IndexMap::new(),
            totals: Totals::default(),
        };
        world.add(size.engines);
        world
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Starts engines with empty caches, spread over the data centres.
    pub(crate) fn add(&mut self, count: usize) {
        for _ in 0..count {
            let number = self.started;
            self.started += 1;
            let name: UpstreamId = format!("e{number}").as_str().into();
            let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16));
            let place = number % DATA_CENTRES;
            let speed = 0.55 + 0.65 * self.random.unit();
            self.engines
                .insert(name.clone(), Engine::new(address, place, speed));
            let announcement = announcement(&name, address, place);
            self.announcements.insert(name, announcement);
        }
        self.announce();
    }

    /// Lets engines leave, which stop after `notice_ms`.
    pub(crate) fn reclaim(&mut self, engines: &[UpstreamId], notice_ms: u64) {
        for name in engines {
            self.announcements[name].availability = Availability::Reclaimed { in_ms: notice_ms };
            self.stops.push((self.now_ms + notice_ms, name.clone()));
        }
        self.announce();
    }

    /// Stops engines without notice.
    pub(crate) fn crash(&mut self, engines: &[UpstreamId]) {
        for name in engines {
            self.stops.push((self.now_ms, name.clone()));
        }
    }

    pub(crate) fn names(&self, is_chosen: impl Fn(usize, &Engine) -> bool) -> Vec<UpstreamId> {
        let engines = self.engines.iter().enumerate();
        let chosen = engines.filter(|(index, (_, engine))| is_chosen(*index, engine));
        chosen.map(|(_, (name, _))| name.clone()).collect()
    }

    /// Announces all engines that run.
    fn announce(&mut self) {
        let now = self.now();
        for announcement in self.announcements.values_mut() {
            announcement.sequence += 1;
            self.routes.insert(announcement.clone(), now, now + LEASE);
        }
        self.snapshots
            .push((self.now_ms + DELAY_MS, self.routes.clone()));
    }

    /// Returns what the entries counted since the last call.
    pub(crate) fn tally(&mut self) -> Tally {
        let tallies = self.entries.iter_mut().map(Balancer::take_tally);
        tallies.fold(Tally::default(), |sum, tally| Tally {
            known_sources: sum.known_sources + tally.known_sources,
            assumed_sources: sum.assumed_sources + tally.assumed_sources,
            second_places: sum.second_places + tally.second_places,
            cold_tokens: sum.cold_tokens + tally.cold_tokens,
        })
    }

    /// Lets time pass with requests.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Lets time pass without requests, until all entries know the engines.
    pub(crate) fn settle(&mut self, ms: u64) {
        self.is_quiet = true;
        self.run(ms);
        self.is_quiet = false;
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS as u64;
        if self.now_ms.is_multiple_of(ANNOUNCEMENT_MS) {
            self.announce();
        }
        self.stop_due();
        self.exchange();
        if !self.is_quiet {
            self.traffic.advance(STEP_MS * self.load);
        }
        while let Some((kind, prompt)) = self.traffic.next(&mut self.random) {
            let entry = self.random.below(self.entries.len() as u64) as usize;
            self.totals.requests += 1;
            self.send(entry, kind, prompt, self.now_ms as f64, 0, &mut Vec::new());
        }
        self.work();
    }

    fn stop_due(&mut self) {
        let now = self.now_ms;
        let (due, later): (Vec<_>, _) = std::mem::take(&mut self.stops)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.stops = later;
        for (_, name) in due {
            self.announcements.shift_remove(&name);
            let Some(engine) = self.engines.shift_remove(&name) else {
                continue;
            };
            for job in engine.stop() {
                let now = self.now();
                self.entries[job.entry].record_finish(&job.choice, false, Outcome::Failed, now);
                let mut excluded = vec![name.clone()];
                self.send(
                    job.entry,
                    job.kind,
                    job.prompt,
                    job.arrived,
                    job.tries + 1,
                    &mut excluded,
                );
            }
        }
    }

    /// Lets entries report and hear, each at its own time.
    fn exchange(&mut self) {
        let due = |index: usize| (self.now_ms + index as u64 * 37) % EXCHANGE_MS < STEP_MS as u64;
        let due: Vec<usize> = (0..self.entries.len())
            .filter(|index| due(*index))
            .collect();
        if self.now_ms.is_multiple_of(EXCHANGE_MS) {
            let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
            for (name, work) in self.entries.iter_mut().flat_map(Balancer::report) {
                let sum = sums.entry(name).or_default();
                sum.requests += work.requests;
                sum.prefill_tokens += work.prefill_tokens;
            }
            self.work = sums.into_iter().collect();
        }
        let heard = self
            .snapshots
            .iter()
            .rposition(|(at, _)| *at <= self.now_ms);
        let Some(heard) = heard else {
            return;
        };
        self.snapshots.drain(..heard);
        let now = self.now();
        for entry in due {
            let entry = &mut self.entries[entry];
            entry.update(&self.text, &self.snapshots[0].1, now);
            entry.apply_work(&self.work);
        }
    }

    fn work(&mut self) {
        let now = self.now_ms as f64;
        let up: Vec<SocketAddr> = self.engines.values().map(|e| e.address).collect();
        let mut done = Vec::new();
        for (name, engine) in &mut self.engines {
            // Other workloads slow an engine for 600 ms at a time, 15% of the time.
            if engine.slow_until <= now && self.random.unit() < STEP_MS / 600.0 * 0.15 / 0.85 {
                engine.slow_until = now + 600.0;
            }
            let work = engine.work(now, STEP_MS, |address| up.contains(&address));
            let load = engine.load();
            done.extend(work.into_iter().map(|done| (name.clone(), load, done)));
        }
        let at = self.now();
        for (name, (running, waiting), done) in done {
            match done {
                Done::Computed(job, computes_shared) => {
                    let elapsed = Duration::from_millis((now - job.sent) as u64);
                    let entry = &mut self.entries[job.entry];
                    entry.record_first_event(&job.choice, elapsed, at);
                    entry.record_load(&job.choice, running, waiting, at);
                    let target = job.kind.target_ms as f64;
                    self.totals.on_time += u32::from(now - job.arrived <= target);
                    self.count(&name, &job, computes_shared);
                }
                Done::Finished(job) => {
                    let entry = &mut self.entries[job.entry];
                    entry.record_finish(&job.choice, true, Outcome::Answered, at);
                }
            }
        }
    }
}

pub(crate) fn data_centre(index: usize) -> config::ids::DataCentreId {
    format!("dc{index}").as_str().into()
}

/// Returns the announcement of an engine.
pub(crate) fn announcement(name: &UpstreamId, address: SocketAddr, place: usize) -> Announcement {
    Announcement {
        upstream: name.clone(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.into(),
        address,
        data_centre: data_centre(place),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity {
            batch: BATCH,
            ..Capacity::default()
        },
        load: Load::default(),
        lease_ms: LEASE.as_millis() as u64,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}
