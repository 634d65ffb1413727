//! Leaves of upstreams that a control process acknowledged.

use std::time::{Duration, Instant};

use config::ids::Incarnation;
use control::external::{Operation, Reply};
use control::{MemoryReplica, Process};
use fleet::{Control, Member, View};
use googletest::prelude::*;
use tokio::time::sleep;
use upstream::Announcement;

use crate::announcements::announcement;
use crate::control_group::ControlGroup;
use crate::single_control::{control, member, wait_until};

/// Longer than announcements that are on their way take to arrive, and shorter than their lease.
const SETTLING_TIME: Duration = Duration::from_millis(600);

fn announce(announcement: Announcement) -> Operation {
    Operation::Announce(Box::new(announcement))
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
    async fn execute(&self, n: usize, operation: Operation) -> Reply {
        let process = self.processes[n].as_ref().expect("it runs");
        process.node.execute(operation).await
    }
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
