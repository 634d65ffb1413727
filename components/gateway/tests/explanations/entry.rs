//! An entry to whose state random events happen.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::{ServiceId, UpstreamId};
use config::text::{Balance, Kind, Service};
use gateway::balancer::{
    Balancer, Choice, Criteria, Explanation, Outcome, Position, Settings, Shortage,
};
use gateway::{Load, Part, Prompt};
use limits::Permit;
use performance::Model;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rollout::Stage;
use state::rollouts::Phase;
use upstream::{Announcement, Availability, Capacity, Role, Routes, Software};
use wire::Work;

const SERVICE: &str = "shop";
const LEASE: Duration = Duration::from_secs(6);
const UPSTREAMS: u16 = 24;
const SLOTS: u32 = 8;
const DATA_CENTRES: [&str; 3] = ["here", "there", "far"];
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Requests in flight at one time.
const MAX_OPEN: usize = 60;
/// Shared parts, few enough that most are used again.
const PARTS: u64 = 5;
/// Steps after which all that upstreams have said is forgotten, so that states with few and with many
/// usable upstreams occur.
const RENEWAL: u32 = 60;

/// A request that is explained and sent.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) service: ServiceId,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) excluded: Vec<UpstreamId>,
    pub(crate) software: Option<Software>,
    pub(crate) hash: u64,
    pub(crate) time_left: Duration,
    pub(crate) max_wait: Duration,
    pub(crate) work_ms: f64,
}

impl Default for Request {
    fn default() -> Self {
        Request {
            service: SERVICE.into(),
            prompt: None,
            excluded: Vec::new(),
            software: None,
            hash: 1,
            time_left: Duration::from_secs(15),
            max_wait: Duration::MAX,
            work_ms: 0.0,
        }
    }
}

impl Request {
    fn criteria(&self) -> Criteria<'_> {
        Criteria {
            service: &self.service,
            prompt: self.prompt.as_ref(),
            excluded: &self.excluded,
            software: self.software.as_ref(),
            hash: self.hash,
            time_left: self.time_left,
            max_wait: self.max_wait,
            work_ms: self.work_ms,
        }
    }
}

pub(crate) struct Entry {
    pub(crate) balancer: Balancer,
    text: Text,
    kind: Kind,
    routes: Routes,
    upstreams: Vec<Announcement>,
    /// Upstreams that don't announce themselves.
    silent: Vec<UpstreamId>,
    now: Instant,
    open: Vec<Choice>,
    random: StdRng,
    steps: u32,
}

impl Entry {
    pub(crate) fn new(kind: Kind, balance: Balance, seed: u64) -> Self {
        let service = Service {
            kind,
            balance,
            ..Service::default()
        };
        let settings = Settings {
            data_centre: DATA_CENTRES[0].into(),
            seed,
            ..Settings::default()
        };
        let mut entry = Entry {
            balancer: Balancer::new(settings),
            text: Text {
                services: [(SERVICE.into(), service)].into_iter().collect(),
                ..Text::default()
            },
            kind,
            routes: Routes::default(),
            upstreams: (0..UPSTREAMS).map(announcement).collect(),
            silent: Vec::new(),
            now: Instant::now(),
            open: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            steps: 0,
        };
        entry.announce();
        entry
    }

    pub(crate) fn explain(&self, request: &Request) -> Explanation {
        self.balancer.explain(&request.criteria(), self.now)
    }

    pub(crate) fn choose(&mut self, request: &Request) -> Result<Choice, Shortage> {
        self.balancer.choose(&request.criteria(), self.now)
    }

    /// Keeps a chosen upstream for later events.
    pub(crate) fn keep(&mut self, chosen: Result<Choice, Shortage>) {
        self.open.extend(chosen);
        if self.open.len() > MAX_OPEN {
            let choice = self.open.remove(0);
            self.finish(&choice, Outcome::Answered);
        }
    }

    /// Lets time pass in which no upstream announces itself.
    pub(crate) fn pass_in_silence(&mut self, time: Duration) {
        self.now += time;
        self.update();
    }

    pub(crate) fn request(&mut self) -> Request {
        let random = &mut self.random;
        let is_generation = self.kind == Kind::Model && random.random_bool(0.9);
        let shared = random.random_range(0..PARTS);
        let own = random.random::<u32>();
        let prompt = is_generation.then(|| prompt(shared, own));
        let excluded = match random.random_range(0..6) {
            0 => vec![self.upstreams[random.random_range(0..3)].upstream.clone()],
            _ => Vec::new(),
        };
        let software = match random.random_range(0..8) {
            0 => Some(Software::from(VERSIONS[random.random_range(0..2)])),
            _ => None,
        };
        let max_wait_ms = [20, 600, 20_000][random.random_range(0..3)];
        Request {
            prompt,
            excluded,
            software,
            hash: random.random(),
            max_wait: Duration::from_millis(max_wait_ms),
            work_ms: f64::from(random.random_range(0..200_u32)),
            ..Request::default()
        }
    }

    /// Lets some events happen.
    pub(crate) fn change(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(RENEWAL) {
            self.renew();
        }
        for _ in 0..self.random.random_range(0..3) {
            self.change_once();
        }
    }

    fn change_once(&mut self) {
        match self.random.random_range(0..14) {
            0..4 => self.end_a_request(),
            4 | 5 => self.state_load(),
            6 => self.state_a_reason_to_wait(),
            7 => self.change_an_announcement(),
            8 => self.report(),
            9 => self.learn_models(),
            10 => self.begin_or_end_a_rollout(),
            11 => {
                let ms = self.random.random_range(0..2_500);
                self.pass_in_silence(Duration::from_millis(ms));
            }
            _ => {
                let ms = self.random.random_range(0..400);
                self.now += Duration::from_millis(ms);
                self.announce();
            }
        }
    }

    fn renew(&mut self) {
        for announcement in &mut self.upstreams {
            announcement.incarnation += 1;
            announcement.availability = Availability::Serving;
        }
        let sound = limits::Refusals {
            service: SERVICE.into(),
            bearable: None,
            age_ms: 0,
        };
        self.balancer.learn_brittle(&[sound], None, self.now);
        self.open.clear();
        self.silent.clear();
        self.announce();
    }

    fn any_choice(&mut self) -> Option<Choice> {
        match self.open.len() {
            0 => None,
            count => Some(self.open[self.random.random_range(0..count)].clone()),
        }
    }

    fn end_a_request(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.open.len());
        let choice = self.open.swap_remove(index);
        let outcome = match self.random.random_range(0..12) {
            0 | 1 => Outcome::Refused,
            2 | 3 => Outcome::Failed,
            4 => Outcome::Unreachable,
            5 => Outcome::Unsent,
            _ => Outcome::Answered,
        };
        self.finish(&choice, outcome);
    }

    fn finish(&mut self, choice: &Choice, outcome: Outcome) {
        let begins = outcome == Outcome::Answered;
        if begins {
            let elapsed = Duration::from_millis(self.random.random_range(1..900));
            self.balancer.record_first_event(choice, elapsed, self.now);
        }
        self.balancer
            .record_finish(choice, begins, outcome, self.now);
    }

    fn state_load(&mut self) {
        let Some(choice) = self.any_choice() else {
            return;
        };
        let random = &mut self.random;
        let load = Load {
            running: random.random_range(0..SLOTS),
            waiting: random.random_range(0..20),
            slots: SLOTS,
            slowdown: Some(random.random_range(50.0..300.0)),
        };
        self.balancer.record_statement(&choice, &load, self.now);
    }

    fn state_a_reason_to_wait(&mut self) {
        let Some(choice) = self.any_choice() else {
            return;
        };
        let now = self.now;
        match self.random.random_range(0..8) {
            0..3 => {
                let pause = Duration::from_millis(self.random.random_range(1..3_000));
                self.balancer.record_pause(&choice, pause, now);
            }
            3 => {
                self.balancer.record_leaving(&choice);
            }
            4 => {
                self.balancer.record_limit(&choice, Some(3.0), now, now);
            }
            5 => {
                let process = (choice.upstream.clone(), choice.incarnation);
                let permit = Permit { process, count: 2 };
                let until = now + Duration::from_secs(1);
                self.balancer.add_permits(&permit, until);
            }
            6 => {
                let entries = self.random.random_bool(0.5).then_some(4);
                self.balancer.fall_back(entries, now);
            }
            _ => {
                self.balancer.record_brittle(&choice, Some(2), now, now);
                let position = Position { index: 0, count: 2 };
                self.balancer.learn_brittle(&[], Some(position), now);
            }
        }
    }

    fn change_an_announcement(&mut self) {
        let random = &mut self.random;
        let count = self.upstreams.len();
        let address = self.upstreams[random.random_range(0..count)].address;
        let announcement = &mut self.upstreams[random.random_range(0..count)];
        match random.random_range(0..6) {
            4 | 5 => self.silent.push(announcement.upstream.clone()),
            0 => announcement.availability = Availability::Reclaimed { in_ms: 2_000 },
            1 => announcement.availability = Availability::Serving,
            2 => {
                announcement.incarnation += 1;
                announcement.address = address;
            }
            _ => announcement.incarnation += 1,
        }
        self.announce();
    }

    fn report(&mut self) {
        let mut all = self.balancer.report();
        let count = self.upstreams.len();
        for _ in 0..count / 2 {
            let upstream = &self.upstreams[self.random.random_range(0..count)].upstream;
            let work = Work {
                requests: self.random.random_range(0..12),
                prefill_tokens: self.random.random_range(0..60_000),
                work_ms: Some(self.random.random_range(0..4_000)),
            };
            all.push((upstream.clone(), work));
        }
        self.balancer.apply_work(&all);
    }

    fn learn_models(&mut self) {
        let output = self.random.random_range(5.0..200.0);
        let model = Model::assumed(4_000.0, output);
        self.balancer.apply_models(&[(SERVICE.into(), model)]);
    }

    fn begin_or_end_a_rollout(&mut self) {
        let phases = [
            Phase::Canary,
            Phase::Moving,
            Phase::Moved,
            Phase::RolledBack,
        ];
        let stage = Stage {
            service: SERVICE.into(),
            number: 7,
            to: VERSIONS[1].into(),
            phase: phases[self.random.random_range(0..phases.len())],
            share: 0.3,
        };
        let stages = match self.random.random_bool(0.5) {
            true => vec![stage],
            false => Vec::new(),
        };
        self.balancer.apply_rollouts(&stages, self.now);
    }

    fn announce(&mut self) {
        for announcement in &mut self.upstreams {
            if self.silent.contains(&announcement.upstream) {
                continue;
            }
            announcement.sequence += 1;
            let expires = self.now + LEASE;
            self.routes.insert(announcement.clone(), self.now, expires);
        }
        self.update();
    }

    fn update(&mut self) {
        self.balancer.update(&self.text, &self.routes, self.now);
    }
}

fn announcement(number: u16) -> Announcement {
    Announcement {
        upstream: format!("u{number}").into(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()].into(),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity {
            batch: SLOTS,
            ..Capacity::default()
        },
        load: upstream::Load::default(),
        lease_ms: LEASE.as_millis() as u64,
        availability: Availability::Serving,
        fence: 0,
        software: VERSIONS[usize::from(number) / 3 % 2].into(),
    }
}

fn prompt(shared: u64, own: u32) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    let own_tokens = 1_000 + own % 3_000;
    Prompt {
        model: "m".into(),
        input_tokens: 6_300 + own_tokens,
        output_tokens: 120,
        length_hint: Some(20),
        parts: match shared {
            0 => Vec::new(),
            _ => vec![
                part(shared, 6_300),
                part(1_000 + u64::from(own), own_tokens),
            ],
        },
    }
}
