//! Simulated entries and engines without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::UpstreamId;
use config::text::{Balance, Kind, Service};
use gateway::balancer::{Balancer, Choice, Criteria, Outcome, RequestKind, Settings, Shortage};
use gateway::{Part, Prompt};
use indexmap::IndexMap;
use limits::Permit;
use performance::Model;
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes, Software};
use wire::Work;

const SERVICE: &str = "model";
const LEASE: Duration = Duration::from_secs(6);

/// Returns the announcement of an engine, whose address is derived from its name.
pub(crate) fn engine(name: &str) -> Announcement {
    let number: u16 = name[1..].parse().expect("names are a letter and a number");
    Announcement {
        upstream: name.into(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: "here".into(),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity {
            batch: 64,
            ..Capacity::default()
        },
        load: Load::default(),
        lease_ms: LEASE.as_millis() as u64,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}

/// Returns a long prompt whose first part is shared, and whose last part belongs to one request.
pub(crate) fn prompt(shared: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".into(),
        input_tokens: 17_000,
        output_tokens: 120,
        parts: vec![part(shared, 13_300), part(1_000_000 + own, 3_700)],
        length_hint: None,
    }
}

/// Entries that know the same engines.
pub(crate) struct Fleet {
    now: Instant,
    text: Text,
    routes: Routes,
    engines: IndexMap<UpstreamId, Announcement>,
    entries: Vec<Balancer>,
    open: Vec<(usize, Choice)>,
    sent: u64,
}

impl Fleet {
    pub(crate) fn new(engines: u16, entries: usize) -> Self {
        Fleet::with_settings(engines, entries, &Settings::default())
    }

    pub(crate) fn with_settings(engines: u16, entries: usize, settings: &Settings) -> Self {
        let service = Service {
            kind: Kind::Model,
            ..Service::default()
        };
        let mut fleet = Fleet {
            now: Instant::now(),
            text: Text {
                services: [(SERVICE.into(), service)].into_iter().collect(),
                ..Text::default()
            },
            routes: Routes::default(),
            engines: IndexMap::new(),
            entries: (0..entries)
                .map(|_| Balancer::new(settings.clone()))
                .collect(),
            open: Vec::new(),
            sent: 0,
        };
        for number in 0..engines {
            fleet.announce(&engine(&format!("e{number}")));
        }
        fleet
    }

    /// Applies an engine's announcement at all entries.
    pub(crate) fn announce(&mut self, announcement: &Announcement) {
        let name = announcement.upstream.clone();
        self.engines.insert(name, announcement.clone());
        self.routes
            .insert(announcement.clone(), self.now, self.now + LEASE);
        self.update();
    }

    /// Advances the time; the engines renew their leases.
    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
        for announcement in self.engines.values_mut() {
            announcement.sequence += 1;
            self.routes
                .insert(announcement.clone(), self.now, self.now + LEASE);
        }
        self.update();
    }

    /// Advances the time by less than a lease; nothing is announced.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// Advances the time without any announcement.
    pub(crate) fn advance_without_announcements(&mut self, time: Duration) {
        self.now += time;
        self.update();
    }

    fn update(&mut self) {
        for entry in &mut self.entries {
            entry.update(&self.text, &self.routes, self.now);
        }
    }

    pub(crate) fn choose(&mut self, entry: usize, shared: u64) -> Result<Choice, Shortage> {
        self.choose_within(entry, shared, Duration::MAX)
    }

    /// Chooses an engine for a request, which is refused if the expected time to its first event
    /// exceeds `max_wait`.
    pub(crate) fn choose_within(
        &mut self,
        entry: usize,
        shared: u64,
        max_wait: Duration,
    ) -> Result<Choice, Shortage> {
        self.choose_at(entry, shared, max_wait, None)
    }

    /// Chooses an engine for a request with `own_tokens` to compute, within `max_wait`.
    pub(crate) fn choose_for(
        &mut self,
        entry: usize,
        own_tokens: u32,
        max_wait: Duration,
    ) -> Result<Choice, Shortage> {
        self.sent += 1;
        let own = Part {
            id: self.sent,
            tokens: own_tokens,
        };
        let prompt = Prompt {
            input_tokens: own_tokens,
            parts: vec![own],
            ..prompt(1, self.sent)
        };
        self.choose_prompt(entry, &prompt, max_wait, None)
    }

    /// Lets all entries know what the engines do.
    pub(crate) fn tell(&mut self, model: Model) {
        for entry in &mut self.entries {
            entry.apply_models(&[(SERVICE.into(), model)]);
        }
    }

    /// Chooses an engine of a software version, or any, within `max_wait`.
    pub(crate) fn choose_at(
        &mut self,
        entry: usize,
        shared: u64,
        max_wait: Duration,
        software: Option<&Software>,
    ) -> Result<Choice, Shortage> {
        self.sent += 1;
        let prompt = prompt(shared, self.sent);
        self.choose_prompt(entry, &prompt, max_wait, software)
    }

    fn choose_prompt(
        &mut self,
        entry: usize,
        prompt: &Prompt,
        max_wait: Duration,
        software: Option<&Software>,
    ) -> Result<Choice, Shortage> {
        let criteria = Criteria {
            service: &SERVICE.into(),
            prompt: Some(prompt),
            software,
            excluded: &[],
            hash: self.sent,
            time_left: Duration::from_secs(15),
            max_wait,
            work_ms: 0.0,
        };
        let choice = self.entries[entry].choose(&criteria, self.now)?;
        self.open.push((entry, choice.clone()));
        Ok(choice)
    }

    /// Balances the service by work.
    pub(crate) fn balance_by_work(&mut self) {
        for service in self.text.services.values_mut() {
            service.balance = Balance::ByWork;
        }
        self.update();
    }

    /// Reports whether an entry knows of room for a request of `rank`.
    pub(crate) fn has_room(&self, entry: usize, shared: u64, rank: u8, target: Duration) -> bool {
        let prompt = prompt(shared, 0);
        let criteria = Criteria {
            service: &SERVICE.into(),
            prompt: Some(&prompt),
            software: None,
            excluded: &[],
            hash: 0,
            time_left: Duration::from_secs(15),
            max_wait: target,
            work_ms: 0.0,
        };
        self.entries[entry].has_room(&criteria, rank, target, self.now)
    }

    /// Returns the work of a prompt and that of its whole request, as an entry expects it.
    pub(crate) fn work(&self, entry: usize) -> (f64, f64) {
        let (service, prompt) = (SERVICE.into(), prompt(1, 1));
        let entry = &self.entries[entry];
        let kind = RequestKind {
            service: &service,
            route: "route",
            account: None,
        };
        let prompt_ms = entry.prompt_work_ms(&service, &prompt);
        (prompt_ms, prompt_ms + entry.work_ms(&kind, Some(&prompt)))
    }

    /// Records the first events of all open requests, which go on.
    pub(crate) fn begin_all(&mut self) {
        for (entry, choice) in &mut self.open {
            self.entries[*entry].record_first_event(choice, Duration::ZERO, self.now);
            // Its prompt is computed only once.
            choice.uncached_tokens = 0;
        }
    }

    /// Lets all entries know the limit that an engine names.
    pub(crate) fn name_limit(&mut self, engine: &str, rate: Option<f64>) {
        let process = (engine.into(), 1);
        for entry in &mut self.entries {
            entry.learn_limit(&process, rate, self.now);
        }
    }

    /// Gives an entry permits for an engine, which are valid for a second.
    pub(crate) fn permit(&mut self, entry: usize, engine: &str, count: u32) {
        let permit = Permit {
            process: (engine.into(), 1),
            count,
        };
        let until = self.now + Duration::from_secs(1);
        self.entries[entry].add_permits(&permit, until);
    }

    /// Lets the entries keep to their part of the limits, as without an answer of the leader.
    pub(crate) fn cut_off(&mut self) {
        let count = u32::try_from(self.entries.len()).expect("there are few entries");
        for entry in &mut self.entries {
            entry.fall_back(Some(count), self.now);
        }
    }

    /// Returns the only software version that an entry knows of the engines, if it is one.
    pub(crate) fn only_software(&self, entry: usize) -> Option<&Software> {
        self.entries[entry].only_software(&SERVICE.into())
    }

    /// Lets an engine announce itself no more.
    pub(crate) fn forget(&mut self, engine: &str) {
        self.engines.shift_remove(engine);
    }

    pub(crate) fn send(&mut self, entry: usize, shared: u64) -> String {
        let choice = self.choose(entry, shared).expect("an engine takes work");
        choice.upstream.to_string()
    }

    pub(crate) fn finish(&mut self, entry: usize, choice: &Choice, outcome: Outcome) {
        self.open.retain(|(_, open)| open != choice);
        self.entries[entry].record_finish(choice, false, outcome, self.now);
    }

    /// Records the first event of a request after `elapsed`, and its end.
    pub(crate) fn answer(&mut self, entry: usize, choice: &Choice, elapsed: Duration) {
        self.open.retain(|(_, open)| open != choice);
        self.entries[entry].record_first_event(choice, elapsed, self.now);
        self.entries[entry].record_finish(choice, true, Outcome::Answered, self.now);
    }

    /// Records the failure of a request to an upstream.
    pub(crate) fn fail(&mut self, entry: usize, upstream: &str) {
        let announcement = &self.engines[upstream];
        let choice = Choice {
            is_taken: false,
            upstream: upstream.into(),
            software: Default::default(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            fetch_from: None,
            uncached_tokens: 0,
            cold_tokens: 0,
            queued_tokens: 0,
            in_flight: 0,
            expected_first_event: Duration::ZERO,
            work_ms: None,
            reason: "".into(),
        };
        self.entries[entry].record_finish(&choice, true, Outcome::Failed, self.now);
    }

    pub(crate) fn finish_all(&mut self) {
        for (entry, choice) in std::mem::take(&mut self.open) {
            self.entries[entry].record_finish(&choice, false, Outcome::Answered, self.now);
        }
    }

    pub(crate) fn report(&mut self, entry: usize) -> Vec<(UpstreamId, Work)> {
        self.entries[entry].report()
    }

    /// Lets all entries take what they know of each other's work as too old.
    pub(crate) fn even_out_work(&mut self) {
        for entry in &mut self.entries {
            entry.even_out_work();
        }
    }

    /// Exchanges the work of all entries, as the leader does.
    pub(crate) fn report_all(&mut self) {
        let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
        for (name, work) in self.entries.iter_mut().flat_map(Balancer::report) {
            let sum = sums.entry(name).or_default();
            sum.requests += work.requests;
            sum.prefill_tokens += work.prefill_tokens;
        }
        let sums: Vec<_> = sums.into_iter().collect();
        for entry in &mut self.entries {
            entry.apply_work(&sums);
        }
    }
}
