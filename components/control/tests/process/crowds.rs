//! Hundreds of upstreams and entries: what is forwarded must leave the links free for the group's own
//! messages.

use std::sync::Arc;
use std::time::Duration;

use config::keys::Secret;
use config::settings::Peer;
use fleet::Member;
use googletest::prelude::*;
use indexmap::IndexSet;
use link::{Connection, Identity, Incoming};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use wire::{AgedAnnouncement, Delta, Push, Role};

use crate::announcements::announcement;
use crate::single_control::{SECRET, any_port, control};

const TIMEOUT: Duration = Duration::from_secs(60);
/// Control processes between which the entries can choose.
const CONTROLS: usize = 4;
const ENTRIES: usize = 40;

fn identity(node: &str, role: Role) -> Identity {
    Identity {
        node: node.into(),
        incarnation: 1,
        role,
        secret: Secret::new(SECRET),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_upstreams_that_start_together_in_few_messages() {
    const UPSTREAMS: usize = 200;
    let process = control().await;
    let dial = async |name: &str| {
        let identity = identity(name, Role::Entry);
        let settings = link::Settings::default();
        let opened = link::dial(process.peer_address, &identity, settings).await;
        opened.expect("the handshake succeeds")
    };
    let (announcing, _answers) = dial("entry-1").await;
    let (connection, mut messages) = dial("entry-2").await;
    connection.push(Push::Subscribe);
    announcing.push(full("first"));
    let mut known: IndexSet<String> = IndexSet::new();
    let mut count = 0;
    while known.len() <= UPSTREAMS {
        let message = timeout(TIMEOUT, messages.recv()).await;
        let Incoming::Push(Push::Upstreams(deltas), _) = message.unwrap().unwrap() else {
            continue;
        };
        if known.is_empty() && !deltas.is_empty() {
            for number in 0..UPSTREAMS {
                announcing.push(full(&format!("engine-{number}")));
            }
        }
        count += 1;
        known.extend(deltas.iter().filter_map(name).map(str::to_owned));
    }
    assert_that!(count, le(UPSTREAMS / 4));
}

/// Returns the message in which an entry sends the announcement of one upstream.
fn full(upstream: &str) -> Push {
    Push::Upstreams(vec![Delta::Full(AgedAnnouncement {
        age_ms: 0,
        announcement: announcement(upstream, 1),
    })])
}

/// Returns the name of the upstream that a delta announces in full.
fn name(delta: &Delta) -> Option<&str> {
    match delta {
        Delta::Full(full) => Some(&full.announcement.upstream),
        _ => None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn spreads_the_entries_over_the_control_processes_however_early_each_one_answers() {
    let (subscribed, mut counts) = watch::channel([0_usize; CONTROLS]);
    let subscribed = Arc::new(subscribed);
    let mut listeners = Vec::new();
    for _ in 0..CONTROLS {
        let listener = TcpListener::bind(any_port()).await;
        listeners.push(listener.expect("loopback can be listened on"));
    }
    let peer = |(index, listener): (usize, &TcpListener)| Peer {
        node: format!("control-{index}").into(),
        address: listener.local_addr().expect("the listener has an address"),
        operators: any_port(),
    };
    let peers: Vec<Peer> = listeners.iter().enumerate().map(peer).collect();
    let mut listeners = listeners.into_iter().enumerate();
    let (first, listener) = listeners.next().expect("there are several");
    tokio::spawn(accept(listener, first, subscribed.clone()));
    let members: Vec<Member> = (0..ENTRIES)
        .map(|number| {
            Member::start(fleet::Settings {
                node: format!("entry-{number}").into(),
                incarnation: 1,
                peers: peers.clone(),
                secret: Secret::new(SECRET),
                ..fleet::Settings::default()
            })
        })
        .collect();
    let all = counts.wait_for(|counts| counts[0] == ENTRIES);
    let _ = timeout(TIMEOUT, all).await.expect("all have subscribed");
    for (index, listener) in listeners {
        tokio::spawn(accept(listener, index, subscribed.clone()));
    }
    let is_even = |counts: &[usize; CONTROLS]| {
        counts.iter().sum::<usize>() == ENTRIES && counts.iter().all(|count| *count <= ENTRIES / 2)
    };
    let even = timeout(TIMEOUT, counts.wait_for(is_even)).await;
    assert_that!(even.is_ok(), eq(true), "{:?}", *subscribed.borrow());
    drop(members);
}

/// Accepts the connections of entries as control process `index`, and counts those that are subscribed.
async fn accept(
    listener: TcpListener,
    index: usize,
    subscribed: Arc<watch::Sender<[usize; CONTROLS]>>,
) {
    let identity = identity(&format!("control-{index}"), Role::Control);
    while let Ok((stream, _)) = listener.accept().await {
        let (identity, subscribed) = (identity.clone(), subscribed.clone());
        tokio::spawn(async move {
            let opened = link::accept(stream, &identity, link::Settings::default()).await;
            let (connection, mut messages) = opened.expect("the handshake succeeds");
            while let Some(message) = messages.recv().await {
                answer(&connection, message, |change| {
                    subscribed.send_modify(|counts| {
                        counts[index] = counts[index].strict_add_signed(change);
                    });
                });
            }
        });
    }
}

/// Answers a call as a control process without a leader, and says by how many a push changes the number
/// of subscribers.
fn answer(connection: &Connection, message: Incoming, change: impl Fn(isize)) {
    match message {
        Incoming::Call(id, ..) => connection.answer(id, Err(wire::Failure::NoLeader)),
        Incoming::Push(Push::Subscribe, _) => change(1),
        Incoming::Push(Push::Unsubscribe, _) => change(-1),
        Incoming::Push(..) => {}
    }
}
