//! Measurements of a local fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use config::text::Class;
use control::external::{Operation, Reply};
use fleet::Control;
use fleet::claim::Claim;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};
use upstream::{Announcement, Availability, Capacity, Load, Role};

use crate::local_fleet::LocalFleet;

const ELECTION_COUNT: usize = 10;
const SUBMISSION_COUNT: usize = 20;
const CLAIM_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(10);
const ENTRY_COUNT: usize = 10;
/// Upstreams that leave within a second.
const LEAVING: usize = 300;
const LEAVE_VOTERS: usize = 3;
/// Longer than collected announcements take to arrive.
const SETTLING_TIME: Duration = Duration::from_secs(1);

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn quantile(sorted: &[Duration], fraction: f64) -> f64 {
    let last = sorted.len() - 1;
    ms(sorted[(last as f64 * fraction).round() as usize])
}

fn print(name: &str, mut times: Vec<Duration>) {
    times.sort();
    println!(
        "{name}: n {} p50 {:.1} ms p99 {:.1} ms max {:.1} ms",
        times.len(),
        quantile(&times, 0.5),
        quantile(&times, 0.99),
        quantile(&times, 1.0)
    );
}

/// Measures the time from the loss of the leader until another process is the leader, and until the
/// next text is in force.
pub(crate) async fn leader_loss(voters: usize) {
    let (mut elected, mut in_force) = (Vec::new(), Vec::new());
    for _ in 0..ELECTION_COUNT {
        let mut fleet = LocalFleet::start(voters, 3).await;
        let leader = fleet.wait_for_leader().await;
        if let Some(process) = fleet.processes[leader].take() {
            process.abort();
        }
        let lost_at = Instant::now();
        fleet.wait_for_leader().await;
        elected.push(lost_at.elapsed());
        fleet.submit().await;
        in_force.push(lost_at.elapsed());
        fleet.stop();
    }
    print(&format!("new leader, {voters} voters"), elected);
    print(&format!("next text in force, {voters} voters"), in_force);
}

/// Measures the rate and latency of claims from all entries, with several concurrent claims each.
pub(crate) async fn claim_rate(voters: usize) {
    let fleet = LocalFleet::start(voters, ENTRY_COUNT).await;
    for concurrency in [1, 8, 64] {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for (entry, member) in fleet.members.iter().enumerate() {
            for worker in 0..concurrency {
                let member = member.clone();
                tasks.push(tokio::spawn(async move {
                    let mut times = Vec::new();
                    while started.elapsed() < CLAIM_TIME {
                        let name = format!("{concurrency}-{entry}-{worker}-{}", times.len());
                        let claim = Claim {
                            account: "shop".into(),
                            key: name.as_str().into(),
                            fingerprint: 1,
                            request: name.as_str().into(),
                            version: 1,
                        };
                        let sent_at = Instant::now();
                        if member.claim(claim).await.is_ok() {
                            times.push(sent_at.elapsed());
                        }
                    }
                    times
                }));
            }
        }
        let mut times = Vec::new();
        for task in tasks {
            times.extend(task.await.unwrap_or_default());
        }
        let rate = times.len() as f64 / started.elapsed().as_secs_f64();
        let name = format!("claims, {voters} voters, {ENTRY_COUNT} entries x {concurrency}");
        print(&format!("{name}: {rate:.0}/s"), times);
    }
    fleet.stop();
}

/// Measures the time from a submission until it is in force at all entries.
pub(crate) async fn submission_latency(entries: usize) {
    let mut fleet = LocalFleet::start(3, entries).await;
    let mut times = Vec::new();
    for _ in 0..SUBMISSION_COUNT {
        times.push(fleet.submit().await);
    }
    fleet.stop();
    print(&format!("in force at {entries} entries"), times);
}

/// Measures the traffic between the busiest entry and the control group, without requests.
pub(crate) async fn idle_traffic(upstreams: usize) {
    let fleet = LocalFleet::start(3, ENTRY_COUNT).await;
    let mut second = interval(Duration::from_secs(1));
    for sequence in 1..=3 {
        second.tick().await;
        announce(&fleet, upstreams, sequence).await;
    }
    let before: Vec<_> = fleet.members.iter().map(fleet::Member::traffic).collect();
    let started = Instant::now();
    let mut sequence = 3;
    while started.elapsed() < IDLE_TIME {
        second.tick().await;
        sequence += 1;
        announce(&fleet, upstreams, sequence).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let mut busiest = (0, 0);
    for (member, before) in fleet.members.iter().zip(before) {
        let (frames, bytes) = member.traffic();
        busiest = busiest.max((bytes - before.1, frames - before.0));
    }
    println!(
        "idle, {upstreams} upstreams: busiest entry {:.0} bytes/s in {:.1} frames/s",
        busiest.0 as f64 / seconds,
        busiest.1 as f64 / seconds
    );
    fleet.stop();
}

/// Measures the answers to upstreams that leave at one control process within a second, and what an
/// entry receives for them.
pub(crate) async fn leaves(entries: usize) {
    let fleet = LocalFleet::start(LEAVE_VOTERS, entries).await;
    for n in 0..LEAVING {
        let node = &fleet.processes[0].as_ref().expect("it runs").node;
        let announced = Operation::Announce(Box::new(announcement(n, 1)));
        assert_eq!(node.execute(announced).await, Reply::Acknowledged);
    }
    sleep(SETTLING_TIME).await;
    let (frames, bytes) = fleet.members[0].traffic();
    let mut calls = JoinSet::new();
    let mut ticks = interval(Duration::from_secs(1) / LEAVING as u32);
    for n in 0..LEAVING {
        ticks.tick().await;
        let node = fleet.processes[0].as_ref().expect("it runs").node.clone();
        calls.spawn(async move {
            let leave = Operation::Leave {
                upstream: announcement(n, 1).upstream,
                incarnation: Some(1),
            };
            let asked = Instant::now();
            assert_eq!(node.execute(leave).await, Reply::Acknowledged);
            asked.elapsed()
        });
    }
    let times = calls.join_all().await;
    sleep(SETTLING_TIME).await;
    let after = fleet.members[0].traffic();
    print(&format!("leaves, {entries} entries"), times);
    println!(
        "leaves, {entries} entries: an entry received {} bytes in {} frames",
        after.1 - bytes,
        after.0 - frames
    );
    fleet.stop();
}

/// Renews the announcements of all upstreams, in ten parts over half a second and over all entries.
async fn announce(fleet: &LocalFleet, upstreams: usize, sequence: u64) {
    let parts = 10;
    for part in 0..parts {
        for n in (part..upstreams).step_by(parts) {
            let entry = (n + sequence as usize) % fleet.members.len();
            let announced = fleet.members[entry].announce(announcement(n, sequence));
            announced
                .await
                .expect("an announcement that serves waits for nobody");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn announcement(n: usize, sequence: u64) -> Announcement {
    Announcement {
        upstream: format!("engine-{n}").into(),
        incarnation: 1,
        sequence,
        service: "bookings".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        data_centre: "penang".into(),
        class: Class::Reclaimable,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity::default(),
        load: Load {
            running: sequence as u32 % 16,
            ..Load::default()
        },
        lease_ms: 3_000,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}
