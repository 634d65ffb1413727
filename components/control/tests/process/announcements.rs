//! Announcements that one entry receives and all entries apply.

use std::time::{Duration, Instant};

use config::text::Class;
use control::client::Outcome;
use control::replica::Replica;
use fleet::{Control, Member, View};
use googletest::prelude::*;
use state::order::{Action, Order};
use state::{Change, Command};
use upstream::{Announcement, Availability, Capacity, Load, Role};

use crate::relay::Relay;
use crate::single_control::{any_port, control, member, operator, submission, text, wait_until};

pub(crate) fn announcement(upstream: &str, sequence: u64) -> Announcement {
    Announcement {
        upstream: upstream.into(),
        incarnation: 1,
        sequence,
        service: "bookings".into(),
        address: any_port(),
        data_centre: "penang".into(),
        class: Class::OnDemand,
        role: Role::Both,
        models: Vec::new(),
        capacity: Capacity::default(),
        load: Load::default(),
        lease_ms: 30_000,
        availability: Availability::Serving,
        fence: 0,
        software: Default::default(),
    }
}

async fn announce(member: &Member, announcement: Announcement) {
    let announced = member.announce(announcement).await;
    assert_that!(announced, ok(anything()));
}

fn sequence(view: &View, upstream: &str) -> Option<u64> {
    view.routes
        .all()
        .map(|route| &route.announcement)
        .find(|announcement| announcement.upstream == upstream)
        .map(|announcement| announcement.sequence)
}

pub(crate) fn accepts_work(view: &View, upstream: &str) -> bool {
    let now = Instant::now();
    view.routes
        .all()
        .any(|route| route.announcement.upstream == upstream && route.takes_work(now))
}

#[tokio::test(flavor = "multi_thread")]
async fn reach_every_entry_and_leave_every_entry() {
    let process = control().await;
    let members = [1, 2, 3].map(|n| member(&format!("entry-{n}"), process.peer_address));
    let submitted = operator(&process)
        .submit(&submission(0, "a", text("first")))
        .await;
    assert_that!(submitted, ok(eq(&Outcome::InForce { version: 1 })));

    announce(&members[0], announcement("engine-1", 1)).await;
    for member in &members {
        wait_until(member, |view| accepts_work(view, "engine-1")).await;
    }

    // Renewals carry only what changed, and may go through any entry.
    for n in 2..40 {
        announce(&members[n as usize % 2], announcement("engine-1", n)).await;
    }
    for member in &members {
        wait_until(member, |view| sequence(view, "engine-1") == Some(39)).await;
    }

    let leaving = Announcement {
        availability: Availability::Leaving,
        ..announcement("engine-1", 40)
    };
    announce(&members[1], leaving).await;
    for member in &members {
        wait_until(member, |view| !accepts_work(view, "engine-1")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reach_an_entry_that_connects_later() {
    let process = control().await;
    let first = member("entry-1", process.peer_address);
    announce(&first, announcement("engine-1", 1)).await;
    announce(&first, announcement("engine-1", 2)).await;
    wait_until(&first, |view| sequence(view, "engine-1") == Some(2)).await;
    let second = member("entry-2", process.peer_address);
    wait_until(&second, |view| sequence(view, "engine-1") == Some(2)).await;
    announce(&first, announcement("engine-1", 3)).await;
    wait_until(&second, |view| sequence(view, "engine-1") == Some(3)).await;
    assert_that!(process.node.upstreams().len(), eq(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn do_not_override_an_order_to_drain_until_the_instance_stops() {
    let process = control().await;
    let members = [1, 2].map(|n| member(&format!("entry-{n}"), process.peer_address));
    let order = |action| {
        let reason = "test".into();
        Command {
            at: 0,
            change: Change::Order(Order { action, reason }),
        }
    };
    let instance: config::ids::InstanceId = "plain-1".into();
    announce(&members[0], announcement("plain-1", 1)).await;
    for member in &members {
        wait_until(member, |view| accepts_work(view, "plain-1")).await;
    }
    let drain = Action::Drain {
        instance: instance.clone(),
    };
    let drained = process.node.replica().propose(order(drain)).await;
    assert_that!(drained, ok(anything()));
    for member in &members {
        wait_until(member, |view| !accepts_work(view, "plain-1")).await;
    }
    // A renewal does not end the draining, nor does it at an entry that connects later.
    let late = crate::single_control::member("entry-3", process.peer_address);
    announce(&late, announcement("plain-1", 2)).await;
    wait_until(&late, |view| sequence(view, "plain-1") == Some(2)).await;
    wait_until(&late, |view| !accepts_work(view, "plain-1")).await;
    wait_until(&members[1], |view| sequence(view, "plain-1") == Some(2)).await;
    assert_that!(
        accepts_work(&members[1].view().load(), "plain-1"),
        eq(false)
    );

    let stop = process
        .node
        .replica()
        .propose(order(Action::Stop { instance }));
    assert_that!(stop.await, ok(anything()));
    for member in &members {
        wait_until(member, |view| accepts_work(view, "plain-1")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn end_with_their_lease_at_an_entry_that_is_cut_off() {
    let process = control().await;
    let relay = Relay::start(process.peer_address).await;
    let direct = member("entry-1", process.peer_address);
    let relayed = member("entry-2", relay.address);
    let short = |sequence| Announcement {
        lease_ms: 3_000,
        ..announcement("engine-1", sequence)
    };
    announce(&direct, short(1)).await;
    let announced = Instant::now();
    let view = wait_until(&relayed, |view| accepts_work(view, "engine-1")).await;
    let expires = view.routes.all().map(|route| route.expires).max();
    assert_that!(expires, some(le(announced + Duration::from_secs(3))));

    relay.block_all();
    let leaving = Announcement {
        availability: Availability::Leaving,
        ..short(2)
    };
    announce(&direct, leaving).await;
    wait_until(&relayed, |view| !accepts_work(view, "engine-1")).await;
}
