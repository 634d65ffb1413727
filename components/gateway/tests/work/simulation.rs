//! Entries that send a load to uneven upstreams, without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::{ServiceId, UpstreamId};
use config::text::{Balance, Kind, Service};
use gateway::balancer::{
    Balancer, Choice, Criteria, Ended, Outcome, RequestKind, Settings, Shortage,
};
use gateway::{Part, Prompt};
use indexmap::IndexMap;
use performance::Model;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes};
use wire::{MomentTable, SpeedTable, Work, WorkTable};

use crate::caches::Caches;
use crate::upstreams::{Event, Request, STEP, Upstream};

const LEASE: Duration = Duration::from_secs(6);
/// Time between two exchanges of all entries.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);
/// Time between two announcements.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(2);
/// What a usual engine does.
const PREFILL_MS_PER_TOKEN: f64 = 0.02;
const EVENT_MS: f64 = 9.0;

/// A load and the upstreams that get it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) kind: Kind,
    pub(crate) balance: Balance,
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) slots: usize,
    pub(crate) requests_per_second: f64,
    /// Time to the first event, or to a plain answer, that is in time.
    pub(crate) target: Duration,
    /// Whether the engines have all shared parts from the beginning; otherwise they have none.
    pub(crate) has_full_caches: bool,
    pub(crate) seed: u64,
}

/// Outcomes of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Outcomes {
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.in_time + self.late + self.refused)
    }
}

/// What is known of a request before it is sent.
struct Arrival {
    prompt: Option<Prompt>,
    work_ms: f64,
    events: u64,
    route: &'static str,
}

/// Entries, upstreams and the requests between them.
pub(crate) struct Simulation {
    case: Case,
    now: Instant,
    exchanged_at: Instant,
    announced_at: Instant,
    service: ServiceId,
    text: Text,
    routes: Routes,
    announcements: Vec<Announcement>,
    pub(crate) entries: Vec<Balancer>,
    upstreams: IndexMap<UpstreamId, Upstream>,
    /// What engines have to compute follows from their caches, whatever entries expect of these.
    caches: Caches,
    arrivals: Vec<Arrival>,
    /// Arrivals are the same whatever is chosen, and so are the slow moments.
    arriving: StdRng,
    working: StdRng,
    pub(crate) outcomes: Outcomes,
}

fn announcement(number: usize, slots: usize) -> Announcement {
    let port = 9_000 + u16::try_from(number).expect("there are few upstreams");
    Announcement {
        upstream: format!("u{number}").into(),
        incarnation: 1,
        sequence: 1,
        service: "service".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "here".into(),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity {
            batch: u32::try_from(slots).expect("there are few slots"),
            ..Capacity::default()
        },
        load: Load::default(),
        lease_ms: LEASE.as_millis() as u64,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}

impl Simulation {
    pub(crate) fn new(case: Case) -> Self {
        let mut arriving = StdRng::seed_from_u64(case.seed);
        let upstreams = (0..case.upstreams).map(|number| {
            let speed = arriving.random_range(0.5..1.5);
            (
                format!("u{number}").into(),
                Upstream::new(speed, case.slots),
            )
        });
        let upstreams = upstreams.collect();
        let service = Service {
            kind: case.kind,
            balance: case.balance,
            ..Service::default()
        };
        let now = Instant::now();
        let settings = |entry: usize| Settings {
            data_centre: "here".into(),
            seed: entry as u64 + 1,
            ..Settings::default()
        };
        let mut simulation = Simulation {
            now,
            exchanged_at: now,
            announced_at: now,
            service: "service".into(),
            text: Text {
                services: [("service".into(), service)].into_iter().collect(),
                ..Text::default()
            },
            routes: Routes::default(),
            announcements: (0..case.upstreams)
                .map(|number| announcement(number, case.slots))
                .collect(),
            entries: (0..case.entries)
                .map(|entry| Balancer::new(settings(entry)))
                .collect(),
            upstreams,
            caches: Caches::new(case.has_full_caches),
            arrivals: Vec::new(),
            arriving,
            working: StdRng::seed_from_u64(case.seed),
            outcomes: Outcomes::default(),
            case,
        };
        simulation.announce();
        if case.kind == Kind::Model {
            simulation.tell_model();
        }
        simulation
    }

    /// Lets all entries know what a usual engine does.
    fn tell_model(&mut self) {
        let model = Model {
            samples: 1_000,
            first_event_ms: 10.0,
            prefill_ms_per_token: PREFILL_MS_PER_TOKEN,
            event_ms: EVENT_MS,
            events: 25.0,
            duration_ms: 400.0,
            ..Model::default()
        };
        for entry in &mut self.entries {
            entry.apply_models(&[(self.service.clone(), model)]);
        }
    }

    fn announce(&mut self) {
        self.announced_at = self.now;
        for announcement in &mut self.announcements {
            announcement.sequence += 1;
            self.routes
                .insert(announcement.clone(), self.now, self.now + LEASE);
        }
        for entry in &mut self.entries {
            entry.update(&self.text, &self.routes, self.now);
        }
    }

    /// Runs the load for `time`; what ends is not counted before `from`.
    pub(crate) fn run(&mut self, time: Duration, from: Duration) -> Outcomes {
        let (counted, end) = (self.now + from, self.now + time);
        while self.now < end {
            self.now += STEP;
            if self.now < counted {
                self.outcomes = Outcomes::default();
            }
            if self.now >= self.announced_at + ANNOUNCEMENT_PERIOD {
                self.announce();
            }
            if self.now >= self.exchanged_at + EXCHANGE_PERIOD {
                self.exchange();
            }
            let rate = self.case.requests_per_second * STEP.as_secs_f64();
            let mut count = rate.floor();
            count += f64::from(u8::from(self.arriving.random_bool(rate - count)));
            for _ in 0..count as u32 {
                self.arrive();
            }
            self.work();
        }
        self.outcomes
    }

    /// Draws a request: of three kinds for engines, of one for plain services.
    fn draw(&mut self) -> Arrival {
        let random = &mut self.arriving;
        let noise = random.random_range(-0.5_f64..0.5).exp();
        if self.case.kind == Kind::Plain {
            return Arrival {
                prompt: None,
                work_ms: 55.0 * noise,
                events: 1,
                route: "plain",
            };
        }
        let kinds = [
            ("long", 6_300, 2_890, 9.0),
            ("mixed", 13_300, 3_720, 20.0),
            ("short", 350, 1_110, 29.0),
        ];
        let (route, shared, own, events) = kinds[random.random_range(0..kinds.len())];
        let events = (events * noise).ceil();
        let hint = events * random.random_range(-0.7_f64..0.7).exp();
        let parts = [
            (random.random_range(0..8) * 100 + shared, shared),
            (random.random(), own),
        ];
        let prompt = Prompt {
            model: "m".into(),
            input_tokens: shared as u32 + own as u32,
            output_tokens: 200,
            parts: parts
                .map(|(id, tokens)| Part {
                    id,
                    tokens: tokens as u32,
                })
                .to_vec(),
            length_hint: Some(hint.ceil() as u32),
        };
        Arrival {
            prompt: Some(prompt),
            work_ms: events * EVENT_MS,
            events: events as u64,
            route,
        }
    }

    fn arrive(&mut self) {
        let arrival = self.draw();
        let entry = self.arriving.random_range(0..self.entries.len());
        let kind = RequestKind {
            service: &self.service,
            route: arrival.route,
            account: None,
        };
        let balancer = &mut self.entries[entry];
        let criteria = Criteria {
            service: &self.service,
            prompt: arrival.prompt.as_ref(),
            excluded: &[],
            software: None,
            hash: 0,
            time_left: Duration::from_secs(10),
            max_wait: match arrival.prompt {
                Some(_) => self.case.target.mul_f64(0.7),
                None => Duration::MAX,
            },
            work_ms: balancer.work_ms(&kind, arrival.prompt.as_ref()),
        };
        let Ok(choice) = balancer.choose(&criteria, self.now) else {
            self.outcomes.refused += 1;
            return;
        };
        let source = choice
            .fetch_from
            .and_then(|address| self.upstream_at(address));
        let prompt = arrival.prompt.as_ref();
        let computed = prompt.map_or(0, |prompt| {
            self.caches.send(prompt, &choice, source.as_ref())
        });
        let request = Request {
            entry,
            number: self.arrivals.len(),
            waited: Duration::ZERO,
            first_event: None,
            prefill_ms: f64::from(computed) * PREFILL_MS_PER_TOKEN,
            answer_ms: arrival.work_ms,
            is_plain: arrival.prompt.is_none(),
            choice,
        };
        self.upstreams[&request.choice.upstream].push(request);
        self.arrivals.push(arrival);
    }

    /// Returns the upstream with an address.
    fn upstream_at(&self, address: SocketAddr) -> Option<UpstreamId> {
        let announcements = self.announcements.iter();
        let mut names = announcements.filter(|announcement| announcement.address == address);
        names
            .next()
            .map(|announcement| announcement.upstream.clone())
    }

    fn work(&mut self) {
        let working = &mut self.working;
        let upstreams = self.upstreams.values_mut();
        let events: Vec<Event> = upstreams
            .flat_map(|upstream| upstream.work(working))
            .collect();
        for event in events {
            match event {
                Event::First(request, load) => {
                    let balancer = &mut self.entries[request.entry];
                    if let Some(prompt) = &self.arrivals[request.number].prompt {
                        let upstream = &request.choice.upstream;
                        self.caches.record_computed(prompt, upstream);
                    }
                    balancer.record_statement(&request.choice, &load, self.now);
                    balancer.record_first_event(&request.choice, request.waited, self.now);
                    match request.waited <= self.case.target {
                        true => self.outcomes.in_time += 1,
                        false => self.outcomes.late += 1,
                    }
                }
                Event::Last(request) => self.end(&request),
            }
        }
    }

    fn end(&mut self, request: &Request) {
        let arrival = &self.arrivals[request.number];
        let first_event = request.first_event.unwrap_or(request.waited);
        let ended = Ended {
            kind: RequestKind {
                service: &self.service,
                route: arrival.route,
                account: None,
            },
            prompt: arrival.prompt.as_ref(),
            first_event,
            stream: request.waited - first_event,
            events: arrival.events,
        };
        let balancer = &mut self.entries[request.entry];
        balancer.record_end(&request.choice, &ended, self.now);
        balancer.record_finish(&request.choice, true, Outcome::Answered, self.now);
    }

    /// Exchanges work and speeds, as the leader does.
    pub(crate) fn exchange(&mut self) {
        self.exchanged_at = self.now;
        let now = self.now;
        let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
        for (name, work) in self.entries.iter_mut().flat_map(Balancer::report) {
            let sum = sums.entry(name).or_default();
            *sum = sum.with(work);
        }
        let named = sums.iter().map(|(name, work)| (name.as_str(), *work));
        let (table, work_ms) = WorkTable::with_work_ms(named);
        let reports = self
            .entries
            .iter_mut()
            .map(|entry| entry.report_speeds(now));
        let reports: Vec<SpeedTable> = reports.collect();
        let speeds = SpeedTable::sum(&reports);
        let moments = self.entries.iter().map(|entry| entry.report_moments(now));
        let moments: Vec<MomentTable> = moments.collect();
        let moments = MomentTable::newest(moments.iter().map(|table| (table, now)), now);
        for entry in &mut self.entries {
            entry.apply_work_table(&table, &work_ms);
            entry.apply_speeds(&speeds, now);
            entry.apply_moments(&moments, now);
        }
    }

    /// Chooses an upstream at the first entry for a plain call, or for a generation of a prompt that only
    /// it has, with the work that is expected of it.
    pub(crate) fn choose(&mut self) -> Result<Choice, Shortage> {
        self.choose_within(Duration::MAX)
    }

    /// Does the same for a request that is refused if it would wait for longer than `max_wait`.
    pub(crate) fn choose_within(&mut self, max_wait: Duration) -> Result<Choice, Shortage> {
        let arrival = self.draw();
        let kind = RequestKind {
            service: &self.service,
            route: arrival.route,
            account: None,
        };
        let prompt = arrival.prompt.as_ref();
        let criteria = Criteria {
            service: &self.service,
            prompt,
            excluded: &[],
            software: None,
            hash: 0,
            time_left: Duration::from_secs(10),
            max_wait,
            work_ms: self.entries[0].work_ms(&kind, prompt),
        };
        self.entries[0].choose(&criteria, self.now)
    }

    /// Lets time pass in which nothing is sent.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.announce();
    }

    /// Lets a new process take the place of an upstream.
    pub(crate) fn restart(&mut self, upstream: usize) {
        self.announcements[upstream].incarnation += 1;
        self.announce();
    }

    /// Replaces an entry by a new process that learned nothing.
    pub(crate) fn replace_entry(&mut self, entry: usize) {
        self.entries[entry] = Balancer::new(Settings {
            data_centre: "here".into(),
            ..Settings::default()
        });
        self.announce();
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// Returns the actual speed of an upstream and the one that an entry has learned, by upstream.
    pub(crate) fn speeds(&self, entry: usize) -> Vec<(f64, f64)> {
        // After the last statements have lost their weight.
        let later = self.now + Duration::from_secs(3);
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|(name, upstream)| {
                let learned = self.entries[entry].speed(name, later);
                (upstream.speed, learned.expect("the upstream is known"))
            })
            .collect()
    }
}
