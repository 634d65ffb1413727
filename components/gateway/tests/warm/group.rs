//! A few entries that know the same engines, for tests of one rule each.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::UpstreamId;
use config::text::{Balance, Kind, Service};
use gateway::balancer::{Balancer, Choice, Criteria, Outcome, Settings};
use gateway::{Part, Prompt};
use indexmap::IndexMap;
use upstream::{Announcement, Availability, Routes};

use crate::world::{DATA_CENTRES, SERVICE, announcement};

const LEASE: Duration = Duration::from_secs(6);
/// Tokens of the shared part and of the own part of each prompt.
pub(crate) const SHARED_TOKENS: u32 = 13_300;
pub(crate) const OWN_TOKENS: u32 = 3_700;

pub(crate) struct Group {
    now: Instant,
    text: Text,
    routes: Routes,
    engines: IndexMap<UpstreamId, Announcement>,
    entries: Vec<Balancer>,
    sent: u64,
}

impl Group {
    /// Creates entries and engines that start at the same time.
    pub(crate) fn new(entries: usize, engines: u16) -> Self {
        Group::with_settings(entries, engines, &Settings::default())
    }

    pub(crate) fn with_settings(entries: usize, engines: u16, settings: &Settings) -> Self {
        let service = Service {
            kind: Kind::Model,
            balance: Balance::ByWork,
            ..Service::default()
        };
        let entry = |_| Balancer::new(settings.clone());
        let mut group = Group {
            now: Instant::now(),
            text: Text {
                services: [(SERVICE.into(), service)].into_iter().collect(),
                ..Text::default()
            },
            routes: Routes::default(),
            engines: IndexMap::new(),
            entries: (0..entries).map(entry).collect(),
            sent: 0,
        };
        for number in 0..engines {
            group.add(number);
        }
        group
    }

    /// Starts an engine.
    pub(crate) fn add(&mut self, number: u16) -> SocketAddr {
        let name = format!("e{number}").as_str().into();
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000 + number));
        let place = usize::from(number) % DATA_CENTRES;
        let announcement = announcement(&name, address, place);
        self.engines.insert(name, announcement);
        self.announce();
        address
    }

    /// Changes what an engine announces.
    pub(crate) fn change(&mut self, engine: &str, change: impl FnOnce(&mut Announcement)) {
        change(&mut self.engines[engine]);
        self.announce();
    }

    /// Lets an engine leave, which stops after `in_ms`.
    pub(crate) fn reclaim(&mut self, engine: &str, in_ms: u64) {
        self.change(engine, |a| {
            a.availability = Availability::Reclaimed { in_ms }
        });
    }

    /// Lets time pass in which the engines announce themselves twice a second.
    pub(crate) fn pass(&mut self, ms: u64) {
        for step in 0..ms.div_ceil(500) {
            self.now += Duration::from_millis((ms - step * 500).min(500));
            self.announce();
        }
    }

    /// Lets time pass in which no engine announces itself.
    pub(crate) fn pass_in_silence(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.update();
    }

    fn announce(&mut self) {
        for announcement in self.engines.values_mut() {
            announcement.sequence += 1;
            let expires = self.now + LEASE;
            self.routes.insert(announcement.clone(), self.now, expires);
        }
        self.update();
    }

    fn update(&mut self) {
        for entry in &mut self.entries {
            entry.update(&self.text, &self.routes, self.now);
        }
    }

    /// Sends a prompt with the shared part `shared`, which stays at its engine.
    pub(crate) fn send(&mut self, entry: usize, shared: u64) -> Choice {
        self.send_except(entry, shared, &[])
    }

    /// Sends a prompt to another engine than the `excluded` ones.
    pub(crate) fn send_except(
        &mut self,
        entry: usize,
        shared: u64,
        excluded: &[UpstreamId],
    ) -> Choice {
        self.sent += 1;
        let prompt = prompt(shared, self.sent);
        let criteria = Criteria {
            service: &SERVICE.into(),
            prompt: Some(&prompt),
            software: None,
            excluded,
            hash: self.sent,
            work_ms: 0.0,
            time_left: Duration::from_secs(15),
            max_wait: Duration::MAX,
        };
        let choice = self.entries[entry].choose(&criteria, self.now);
        choice.expect("an engine takes work")
    }

    pub(crate) fn finish(&mut self, entry: usize, choice: &Choice, outcome: Outcome) {
        self.entries[entry].record_finish(choice, false, outcome, self.now);
    }

    /// Sends a prompt that is answered at once.
    pub(crate) fn ask(&mut self, entry: usize, shared: u64) -> Choice {
        self.ask_except(entry, shared, &[])
    }

    pub(crate) fn ask_except(
        &mut self,
        entry: usize,
        shared: u64,
        excluded: &[UpstreamId],
    ) -> Choice {
        let choice = self.send_except(entry, shared, excluded);
        self.finish(entry, &choice, Outcome::Answered);
        choice
    }

    /// Returns the data centre of an engine.
    pub(crate) fn place(&self, engine: &str) -> &str {
        &self.engines[engine].data_centre
    }

    pub(crate) fn address(&self, engine: &str) -> SocketAddr {
        self.engines[engine].address
    }

    pub(crate) fn entry(&mut self, entry: usize) -> &mut Balancer {
        &mut self.entries[entry]
    }
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".into(),
        input_tokens: SHARED_TOKENS + OWN_TOKENS,
        output_tokens: 120,
        length_hint: None,
        parts: vec![
            part(shared, SHARED_TOKENS),
            part(1_000_000 + own, OWN_TOKENS),
        ],
    }
}
