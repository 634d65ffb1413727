//! Leaves of upstreams that a control process or an entry acknowledged.

use std::time::{Duration, Instant};

use config::ids::Incarnation;
use control::external::{Operation, Reply};
use control::replica::ConsensusReplica;
use control::{Machine, MemoryReplica, Process};
use fleet::{Control, Member, View};
use googletest::prelude::*;
use tokio::task::JoinSet;
use tokio::time::sleep;
use upstream::{Announcement, Availability};

use crate::announcements::announcement;
use crate::control_group::ControlGroup;
use crate::relay::Relay;
use crate::single_control::{control, member, wait_until};

/// Time within which an upstream that leaves gets no new work, from the acknowledgement on.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time after which an upstream or operator turns to another process.
const ANSWER_BOUND: Duration = Duration::from_secs(1);
/// Longer than announcements that are on their way take to arrive, and shorter than their lease.
const SETTLING_TIME: Duration = Duration::from_millis(600);

type GroupProcess = Process<ConsensusReplica<Machine>>;

fn announce(announcement: Announcement) -> Operation {
    Operation::Announce(Box::new(announcement))
}

fn draining(upstream: &str, sequence: u64) -> Operation {
    announce(Announcement {
        availability: Availability::Leaving,
        ..announcement(upstream, sequence)
    })
}

fn leave(upstream: &str, incarnation: Option<Incarnation>) -> Operation {
    Operation::Leave {
        upstream: upstream.into(),
        incarnation,
    }
}

fn takes_work(view: &View, upstream: &str) -> bool {
    let now = Instant::now();
    let mut routes = view.routes.all();
    routes.any(|route| route.announcement.upstream == upstream && route.takes_work(now))
}

impl ControlGroup {
    fn running(&self, n: usize) -> &GroupProcess {
        self.processes[n].as_ref().expect("it runs")
    }

    async fn execute(&self, n: usize, operation: Operation) -> Reply {
        self.running(n).node.execute(operation).await
    }

    /// Announces an upstream at process `n`, and waits until all `members` route to it.
    async fn add_upstream(&self, n: usize, upstream: &str, members: &[Member]) {
        let announced = self.execute(n, announce(announcement(upstream, 1))).await;
        assert_that!(announced, eq(&Reply::Acknowledged));
        for member in members {
            wait_until(member, |view| takes_work(view, upstream)).await;
        }
    }
}

/// Starts a group and two entries that are connected to all of it.
async fn group_with_entries() -> (ControlGroup, [Member; 2]) {
    let group = ControlGroup::start();
    group.wait_for_leader().await;
    let members = ["entry-1", "entry-2"].map(|name| group.member(name));
    for member in &members {
        wait_until(member, |view| view.control_reachable).await;
    }
    for n in 0..group.processes.len() {
        // Announced at each process, so that all connections are open.
        group
            .add_upstream(n, &format!("upstream-{n}"), &members)
            .await;
    }
    (group, members)
}

/// Has each process in turn acknowledge `operation`, and ends the process right after that.
async fn check_outlasts_its_process(operation: impl Fn(&str) -> Operation) {
    for n in 0..3 {
        let (mut group, members) = group_with_entries().await;
        let upstream = format!("upstream-{n}");
        let reply = group.execute(n, operation(&upstream)).await;
        group.crash(n);
        let acknowledged = Instant::now();
        assert_that!(reply, eq(&Reply::Acknowledged));
        for member in &members {
            wait_until(member, |view| !takes_work(view, &upstream)).await;
        }
        assert_that!(acknowledged.elapsed(), lt(LEAVING_BOUND));
    }
}

// Entries sent requests to an upstream until its lease ended, after the process that had acknowledged
// its deregistration was lost within 30 ms.
#[tokio::test(flavor = "multi_thread")]
async fn outlast_the_process_that_acknowledges_a_deregistration() {
    check_outlasts_its_process(|upstream| leave(upstream, Some(1))).await;
}

// As above, for an upstream that says that it drains and then falls silent.
#[tokio::test(flavor = "multi_thread")]
async fn outlast_the_process_that_acknowledges_an_announcement() {
    check_outlasts_its_process(|upstream| draining(upstream, 2)).await;
}

// An upstream may take an acknowledgement for good that only a process which is cut off knows of.
#[tokio::test(flavor = "multi_thread")]
async fn are_not_acknowledged_by_a_process_that_reaches_no_majority() {
    let (mut group, _members) = group_with_entries().await;
    group.crash(1);
    group.crash(2);
    for operation in [leave("upstream-0", Some(1)), draining("upstream-1", 2)] {
        let asked = Instant::now();
        let reply = group.execute(0, operation).await;
        assert_that!(reply, matches_pattern!(Reply::Unavailable(anything())));
        assert_that!(asked.elapsed(), lt(ANSWER_BOUND));
    }
}

// As above, with connections that are open and carry nothing.
#[tokio::test(flavor = "multi_thread")]
async fn are_not_acknowledged_over_silent_connections() {
    let (group, relays) = ControlGroup::start_behind_relays().await;
    group.wait_for_leader().await;
    let member = group.member("entry-1");
    wait_until(&member, |view| view.control_reachable).await;
    group
        .add_upstream(0, "upstream-0", std::slice::from_ref(&member))
        .await;
    sleep(SETTLING_TIME).await;
    relays.iter().for_each(Relay::block_all);
    let asked = Instant::now();
    let reply = group.execute(0, leave("upstream-0", Some(1))).await;
    assert_that!(reply, matches_pattern!(Reply::Unavailable(anything())));
    assert_that!(asked.elapsed(), lt(ANSWER_BOUND));
    // It was applied all the same, and is told once the connections work again.
    relays.iter().for_each(Relay::unblock);
    wait_until(&member, |view| !takes_work(view, "upstream-0")).await;
}

// A second process acknowledged at once what it had heard from the first one, whether or not anyone
// else had heard it.
#[tokio::test(flavor = "multi_thread")]
async fn are_acknowledged_again_only_if_a_majority_holds_them() {
    let (mut group, members) = group_with_entries().await;
    for n in [0, 1] {
        let reply = group.execute(n, leave("upstream-2", Some(1))).await;
        assert_that!(reply, eq(&Reply::Acknowledged));
    }
    group.crash(1);
    group.crash(2);
    let reply = group.execute(0, leave("upstream-2", Some(1))).await;
    assert_that!(reply, matches_pattern!(Reply::Unavailable(anything())));
    for member in &members {
        wait_until(member, |view| !takes_work(view, "upstream-2")).await;
    }
}

// A lone control process has only entries to tell.
#[tokio::test(flavor = "multi_thread")]
async fn outlast_a_lone_control_process() {
    let process = control().await;
    let member = member("entry-1", process.peer_address);
    let announced = process.node.execute(announce(announcement("u-1", 1))).await;
    assert_that!(announced, eq(&Reply::Acknowledged));
    wait_until(&member, |view| takes_work(view, "u-1")).await;
    let reply = process.node.execute(leave("u-1", Some(1))).await;
    process.abort();
    let acknowledged = Instant::now();
    assert_that!(reply, eq(&Reply::Acknowledged));
    wait_until(&member, |view| !takes_work(view, "u-1")).await;
    assert_that!(acknowledged.elapsed(), lt(LEAVING_BOUND));
}

// An entry of our own interface acknowledged that an upstream leaves before anyone else knew it.
#[tokio::test(flavor = "multi_thread")]
async fn outlast_the_entry_that_acknowledges_an_announcement() {
    let (_group, [first, second]) = group_with_entries().await;
    let leaving = Announcement {
        availability: Availability::Leaving,
        ..announcement("upstream-0", 2)
    };
    let announced = first.announce(leaving).await;
    first.stop();
    let acknowledged = Instant::now();
    assert_that!(announced, ok(anything()));
    wait_until(&second, |view| !takes_work(view, "upstream-0")).await;
    assert_that!(acknowledged.elapsed(), lt(LEAVING_BOUND));
}

async fn late_announcement_stays_leaving(process: &Process<MemoryReplica>, member: &Member) {
    let reply = process.node.execute(announce(announcement("u-1", 7))).await;
    assert_that!(reply, eq(&Reply::Acknowledged));
    let known = |view: &View| view.routes.all().any(|r| r.announcement.upstream == "u-1");
    wait_until(member, known).await;
    assert_that!(takes_work(&member.view().load(), "u-1"), eq(false));
}

// A process that did not know an upstream forgot that it had left, and took a delayed announcement
// from before for a new one.
#[tokio::test(flavor = "multi_thread")]
async fn apply_to_announcements_that_arrive_later() {
    let process = control().await;
    let first = member("entry-1", process.peer_address);
    wait_until(&first, |view| view.control_reachable).await;
    let reply = process.node.execute(leave("u-1", Some(1))).await;
    assert_that!(reply, eq(&Reply::Acknowledged));
    late_announcement_stays_leaving(&process, &first).await;
    // The next start of the upstream serves.
    let restarted = Announcement {
        incarnation: 2,
        ..announcement("u-1", 1)
    };
    let reply = process.node.execute(announce(restarted)).await;
    assert_that!(reply, eq(&Reply::Acknowledged));
    wait_until(&first, |view| takes_work(view, "u-1")).await;
}

// As above, for processes that connect after the leave.
#[tokio::test(flavor = "multi_thread")]
async fn reach_a_process_that_connects_after_a_leave_of_an_unknown_upstream() {
    let mut group = ControlGroup::start();
    group.wait_for_leader().await;
    group.crash(2);
    let reply = group.execute(0, leave("u-1", Some(1))).await;
    assert_that!(reply, eq(&Reply::Acknowledged));
    group.restart(2).await;
    let member = group.member("entry-1");
    wait_until(&member, |view| view.control_reachable).await;
    sleep(SETTLING_TIME).await;
    let announced = group.execute(2, announce(announcement("u-1", 7))).await;
    assert_that!(announced, eq(&Reply::Acknowledged));
    let known = |view: &View| view.routes.all().any(|r| r.announcement.upstream == "u-1");
    wait_until(&member, known).await;
    assert_that!(takes_work(&member.view().load(), "u-1"), eq(false));
}

// Hundreds of upstreams that leave in one second must not keep the links busy.
#[tokio::test(flavor = "multi_thread")]
async fn of_hundreds_of_upstreams_share_messages() {
    const UPSTREAMS: usize = 300;
    let (group, members) = group_with_entries().await;
    let name = |n: usize| format!("engine-{n}");
    for n in 0..UPSTREAMS {
        let announced = group.execute(0, announce(announcement(&name(n), 1))).await;
        assert_that!(announced, eq(&Reply::Acknowledged));
    }
    let last = name(UPSTREAMS - 1);
    for member in &members {
        wait_until(member, |view| takes_work(view, &last)).await;
    }
    let before = members[0].traffic().0;
    let mut calls = JoinSet::new();
    for n in 0..UPSTREAMS {
        let node = group.running(0).node.clone();
        calls.spawn(async move { node.execute(leave(&name(n), Some(1))).await });
    }
    let replies = calls.join_all().await;
    assert_that!(replies, each(eq(&Reply::Acknowledged)));
    for n in 0..UPSTREAMS {
        wait_until(&members[0], |view| !takes_work(view, &name(n))).await;
    }
    let frames = members[0].traffic().0 - before;
    assert_that!(frames, lt(UPSTREAMS as u64 / 3));
}
