//! Which upstreams take requests during a roll-out, and what is counted of them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::ServiceId;
use config::text::{Kind, Service};
use gateway::Rollouts;
use gateway::balancer::{Balancer, Choice, Criteria, Outcome, Settings, Shortage};
use googletest::prelude::*;
use rollout::Stage;
use state::rollouts::Phase;
use upstream::{Announcement, Availability, Capacity, Load, Role, Routes, Software};

const SERVICE: &str = "shop";
const LEASE: Duration = Duration::from_secs(60);
/// Requests in flight at one time.
const MAX_OPEN: usize = 16;
const STALE: Duration = Duration::from_millis(2_100);

fn upstream(number: u16, software: &str) -> Announcement {
    Announcement {
        upstream: format!("u{number}").into(),
        incarnation: 1,
        sequence: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: "here".into(),
        class: config::text::Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity::default(),
        load: Load::default(),
        lease_ms: LEASE.as_millis() as u64,
        availability: Availability::Serving,
        fence: 0,
        software: software.into(),
    }
}

fn stage(phase: Phase, share: f64) -> Stage {
    Stage {
        service: SERVICE.into(),
        number: 7,
        to: "v2".into(),
        phase,
        share,
    }
}

/// An entry that knows two upstreams of each version.
struct Entry {
    balancer: Balancer,
    routes: Routes,
    now: Instant,
    /// Requests in flight, which make upstreams differ.
    open: VecDeque<Choice>,
}

impl Entry {
    fn new(versions: &[&str]) -> Entry {
        let mut entry = Entry {
            balancer: Balancer::new(Settings::default()),
            routes: Routes::default(),
            now: Instant::now(),
            open: VecDeque::new(),
        };
        for version in versions {
            entry.add(version);
        }
        entry
    }

    fn add(&mut self, version: &str) {
        for _ in 0..2 {
            let number = u16::try_from(self.routes.all().count()).expect("there are few");
            let announcement = upstream(number, version);
            self.routes.insert(announcement, self.now, self.now + LEASE);
        }
        self.update();
    }

    fn update(&mut self) {
        let service = Service {
            kind: Kind::Plain,
            ..Service::default()
        };
        let text = Text {
            services: [(SERVICE.into(), service)].into_iter().collect(),
            ..Text::default()
        };
        self.balancer.update(&text, &self.routes, self.now);
    }

    fn told(mut self, stages: &[Stage]) -> Entry {
        self.balancer.apply_rollouts(stages, self.now);
        self
    }

    fn later(mut self, time: Duration) -> Entry {
        self.now += time;
        self
    }

    /// Returns the version to which a request is sent.
    fn send_at(
        &mut self,
        hash: u64,
        excluded: &[config::ids::UpstreamId],
        software: Option<&Software>,
    ) -> std::result::Result<Software, Shortage> {
        let criteria = Criteria {
            service: &ServiceId::from(SERVICE),
            prompt: None,
            excluded,
            software,
            hash,
            time_left: Duration::from_secs(15),
            max_wait: Duration::from_secs(15),
            work_ms: 0.0,
        };
        let choice = self.balancer.choose(&criteria, self.now)?;
        let software = choice.software.clone();
        self.open.push_back(choice);
        if self.open.len() > MAX_OPEN
            && let Some(oldest) = self.open.pop_front()
        {
            self.balancer
                .record_finish(&oldest, true, Outcome::Answered, self.now);
        }
        Ok(software)
    }

    /// Returns the share of requests that are sent to the new version.
    fn share(&mut self) -> f64 {
        let mut new = 0;
        for hash in 0..4_000 {
            let software = self.send_at(hash, &[], None).expect("an upstream serves");
            new += u32::from(software == "v2");
        }
        f64::from(new) / 4_000.0
    }
}

const BOTH: [&str; 2] = ["v1", "v2"];

#[gtest]
fn sends_the_new_version_its_share() {
    for (phase, share, at_least, at_most) in [
        (Phase::Canary, 0.07, 0.055, 0.08),
        (Phase::Canary, 0.0, 0.0, 0.0),
        (Phase::Moving, 0.3, 0.27, 0.33),
        (Phase::Moved, 1.0, 1.0, 1.0),
        (Phase::Completed, 1.0, 1.0, 1.0),
        (Phase::RolledBack, 0.0, 0.0, 0.0),
    ] {
        let got = Entry::new(&BOTH).told(&[stage(phase, share)]).share();
        expect_that!(got, all![ge(at_least), le(at_most)], "{phase:?} {share}");
    }
}

#[gtest]
fn balances_alike_without_a_rollout() {
    let other = Stage {
        service: "other".into(),
        ..stage(Phase::Canary, 0.07)
    };
    for entry in [
        Entry::new(&BOTH),
        Entry::new(&BOTH).told(&[]),
        Entry::new(&BOTH).told(&[other]),
        Entry::new(&BOTH).told(&[]).later(STALE),
    ] {
        let mut entry = entry;
        expect_that!(entry.share(), near(0.5, 0.1));
    }
}

// An entry that is cut off is not told of a roll-back, or of the end of the move.
#[gtest]
fn keeps_to_one_version_without_a_fresh_overview() {
    for (phase, share) in [
        (Phase::Canary, 0.0),
        (Phase::Moving, 1.0),
        (Phase::Moved, 1.0),
        (Phase::RolledBack, 0.0),
    ] {
        let told = Entry::new(&BOTH).told(&[stage(phase, 0.5)]);
        expect_that!(told.later(STALE).share(), eq(share), "{phase:?}");
    }
}

// The order is made while an entry is cut off, which still learns of the new upstreams.
#[gtest]
fn sends_nothing_to_a_version_that_appeared_after_the_last_overview() {
    let mut entry = Entry::new(&["v1"]).told(&[]).later(STALE);
    entry.add("v2");
    expect_that!(entry.share(), eq(0.0));
    let mut told = entry.told(&[]);
    expect_that!(told.share(), near(0.5, 0.1));
}

// A version that was judged before an entry was cut off does not count as one that served well.
#[gtest]
fn takes_no_version_that_is_judged_for_an_established_one() {
    let mut entry = Entry::new(&BOTH)
        .told(&[stage(Phase::Canary, 0.07)])
        .later(Duration::from_secs(60));
    expect_that!(entry.share(), eq(0.0));
}

// Its caller would meet the bad version twice.
#[gtest]
fn sends_a_request_of_the_canary_to_the_old_version_when_it_is_sent_again() {
    let mut entry = Entry::new(&BOTH).told(&[stage(Phase::Canary, 1.0)]);
    for hash in 0..100 {
        expect_that!(entry.send_at(hash, &[], None), ok(eq("v2")));
        let again = entry.send_at(hash, &["u2".into()], None);
        expect_that!(again, ok(eq("v1")));
    }
}

#[gtest]
fn sends_a_request_to_the_same_version_at_each_entry() {
    let stages = [stage(Phase::Moving, 0.5)];
    let mut first = Entry::new(&BOTH).told(&stages);
    let mut second = Entry::new(&BOTH).told(&stages);
    for hash in 0..200 {
        let sent = first.send_at(hash, &[], None);
        expect_that!(second.send_at(hash, &[], None), eq(&sent));
    }
}

#[gtest]
fn continues_streams_at_their_version_unless_it_was_rolled_back() {
    let (v1, v2) = (Software::from("v1"), Software::from("v2"));
    for (phase, may_go_on) in [
        (Phase::Canary, true),
        (Phase::Moving, true),
        (Phase::Moved, true),
        (Phase::RolledBack, false),
    ] {
        let mut entry = Entry::new(&BOTH).told(&[stage(phase, 0.07)]);
        expect_that!(entry.send_at(1, &[], Some(&v1)), ok(eq("v1")), "{phase:?}");
        let new = entry.send_at(1, &[], Some(&v2));
        expect_that!(new.is_ok(), eq(may_go_on), "{phase:?}");
    }
    let told = Entry::new(&BOTH).told(&[stage(Phase::Canary, 0.07)]);
    expect_that!(
        told.later(STALE).send_at(1, &[], Some(&v2)),
        err(anything())
    );
}

#[gtest]
fn serves_on_if_no_upstream_of_the_version_is_left() {
    for phase in [Phase::Canary, Phase::RolledBack] {
        let mut entry = Entry::new(&["v2"]).told(&[stage(phase, 0.07)]);
        expect_that!(entry.share(), eq(1.0), "{phase:?}");
    }
    let mut entry = Entry::new(&["v1"]).told(&[stage(Phase::Moved, 1.0)]);
    expect_that!(entry.share(), eq(0.0));
}

#[gtest]
fn counts_requests_by_version_and_route_while_a_rollout_is_in_progress() {
    let mut counts = Rollouts::default();
    let service = ServiceId::from(SERVICE);
    let (v1, v2) = (Software::from("v1"), Software::from("v2"));
    expect_that!(counts.begin(&service, "a", &v2), none());
    counts.apply(&[stage(Phase::Canary, 0.07)]);
    let begin = |counts: &mut Rollouts, route: &str, version: &Software| {
        counts
            .begin(&service, route, version)
            .expect("it is counted")
    };
    let first = begin(&mut counts, "a", &v2);
    let second = begin(&mut counts, "b", &v2);
    let third = begin(&mut counts, "a", &v1);
    let refused = begin(&mut counts, "a", &v1);
    counts.end(&first, Duration::from_millis(30), Outcome::Answered);
    counts.end(&second, Duration::from_millis(90), Outcome::Failed);
    counts.end(&refused, Duration::from_millis(1), Outcome::Refused);
    let report = counts.report().remove(0);
    expect_that!(report.number, eq(7));
    expect_that!(report.phase, some(eq(Phase::Canary)));
    expect_that!((report.new.running, report.old.running), eq((0, 1)));
    let count = |version: &rollout::Version, route: &str| {
        let counts = &version.routes[route];
        (counts.sent, counts.ended, counts.failed, counts.sum_ms)
    };
    expect_that!(count(&report.new, "a"), eq((1, 1, 0, 30)));
    expect_that!(count(&report.new, "b"), eq((1, 1, 1, 90)));
    expect_that!(count(&report.old, "a"), eq((2, 0, 0, 0)));
    // What ends after the roll-out is not counted in the next one.
    counts.apply(&[Stage {
        number: 8,
        ..stage(Phase::Canary, 0.07)
    }]);
    counts.end(&third, Duration::from_millis(30), Outcome::Answered);
    let report = counts.report().remove(0);
    expect_that!(report.number, eq(8));
    expect_that!(report.old, eq(&rollout::Version::default()));
    counts.apply(&[stage(Phase::RolledBack, 0.0)]);
    expect_that!(counts.report(), is_empty());
}
