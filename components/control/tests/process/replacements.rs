//! Texts whose versions operators choose, the external API, and reports of entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::keys::Secret;
use config::settings::Peer;
use control::external::{Operation, Reply};
use control::{Machine, MemoryReplica, Process};
use fleet::{Control, Member};
use googletest::prelude::*;
use limits::Statement;
use link::{Identity, Incoming};
use state::text::Replacement;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;
use upstream::{Announcement, Availability};
use wire::{DemandTotals, Push, Report, Role, Statements, Work};

use crate::single_control::{
    SECRET, any_port, control, control_with, fresh_version, member, member_with_parser,
    replacement, text, wait_until,
};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn keeps_the_text_with_the_highest_version() {
    let process = control().await;
    let node = &process.node;
    let member = member("entry-1", process.peer_address);
    assert_that!(node.execute(Operation::Read).await, eq(&Reply::NoText));
    let newest = |newest| Reply::Replaced { newest };
    assert_that!(node.execute(replacement(7, "seven")).await, eq(&newest(7)));
    assert_that!(node.execute(replacement(4, "four")).await, eq(&newest(7)));
    assert_that!(node.execute(replacement(7, "other")).await, eq(&newest(7)));
    assert_that!(node.execute(replacement(7, "seven")).await, eq(&newest(7)));
    assert_that!(
        node.execute(Operation::Read).await,
        eq(&Reply::Text(text("seven")))
    );
    let view = wait_until(&member, |view| fresh_version(view) == Some(7)).await;
    let config = view.config.as_ref().expect("a text is in force");
    assert_that!(config.text.name, eq("seven"));
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_on_a_text_that_can_not_be_put_in_force() {
    let process = control().await;
    let operation = Operation::Replace(Replacement {
        version: 7,
        operator: "ana".into(),
        source: "name = ".to_owned(),
    });
    let reply = process.node.execute(operation).await;
    assert_that!(reply, matches_pattern!(Reply::Invalid(anything())));
    assert_that!(
        process.node.execute(Operation::Read).await,
        eq(&Reply::NoText)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_unavailable_without_a_leader() {
    let process = control().await;
    process.node.replica().set_leader(false);
    let reply = process.node.execute(replacement(7, "seven")).await;
    assert_that!(reply, matches_pattern!(Reply::Unavailable(anything())));
    let reply = process.node.execute(Operation::Read).await;
    assert_that!(reply, matches_pattern!(Reply::Unavailable(anything())));
}

fn announcement(sequence: u64) -> Announcement {
    serde_json::from_value(serde_json::json!({
        "upstream": "u-1", "incarnation": 3, "sequence": sequence, "service": "bookings",
        "address": "127.0.0.1:9", "data_centre": "penang", "class": "on-demand",
        "capacity": {}, "load": {}, "lease_ms": 60_000, "availability": {"state": "serving"},
    }))
    .expect("the announcement is valid")
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_announcements_and_leaves_of_upstreams_without_a_leader() {
    let process = control().await;
    process.node.replica().set_leader(false);
    let member = member("entry-1", process.peer_address);
    let announced = Operation::Announce(Box::new(announcement(1)));
    assert_that!(
        process.node.execute(announced).await,
        eq(&Reply::Acknowledged)
    );
    let serving = |availability: Availability| {
        move |view: &fleet::View| {
            let mut all = view.routes.all();
            all.any(|route| route.announcement.availability == availability)
        }
    };
    wait_until(&member, serving(Availability::Serving)).await;
    let left = Operation::Leave {
        upstream: "u-1".into(),
        incarnation: None,
    };
    assert_that!(process.node.execute(left).await, eq(&Reply::Acknowledged));
    wait_until(&member, serving(Availability::Leaving)).await;
    // A delayed announcement from before the leave does not make it available again.
    let late = Operation::Announce(Box::new(announcement(2)));
    assert_that!(process.node.execute(late).await, eq(&Reply::Acknowledged));
    let live = process.node.upstreams();
    assert_that!(live[0].availability, eq(Availability::Leaving));
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_each_report_with_the_workload_of_all_entries() {
    let process = control().await;
    let members = ["entry-1", "entry-2"].map(|name| member(name, process.peer_address));
    for member in &members {
        wait_until(member, |view| view.control_reachable).await;
    }
    let report = |requests| Report {
        work: vec![(
            "u-1".into(),
            Work {
                requests,
                prefill_tokens: 100,
                work_ms: None,
            },
        )],
        demand: vec![("bookings".into(), DemandTotals::default())],
        ..Report::default()
    };
    let first = members[0].report(report(2), ANSWER_TIMEOUT).await;
    assert_that!(first.map(|overview| overview.entries), ok(eq(&2)));
    let second = members[1].report(report(3), ANSWER_TIMEOUT).await;
    let second = second.expect("the leader answers");
    assert_that!(second.entries, eq(2));
    let sum = Work {
        requests: 5,
        prefill_tokens: 200,
        work_ms: None,
    };
    assert_that!(second.work, eq(&vec![("u-1".into(), sum)]));
}

#[tokio::test(flavor = "multi_thread")]
async fn grants_no_more_than_the_burst_when_a_leader_has_no_record() {
    let window = Duration::from_secs(600);
    let process = control_with(Machine::default(), window).await;
    let before = member("entry-1", process.peer_address);
    let accepted = process.node.execute(replacement(7, "seven")).await;
    assert_that!(accepted, eq(&Reply::Replaced { newest: 7 }));
    wait_until(&before, |view| fresh_version(view) == Some(7)).await;
    before.stop();
    let later = control_with(process.node.machine().clone(), window).await;
    // The leader has not heard of the other entry, which may hold the whole limit.
    let after = member("entry-2", later.peer_address);
    wait_until(&after, |view| fresh_version(view) == Some(7)).await;
    let overview = after.report(report(1, 0), ANSWER_TIMEOUT).await;
    let balances = overview.expect("the leader answers").balances.accounts;
    // The account's rate and burst are 10,000 tokens, and its window holds 601 times as much.
    let left: Vec<_> = balances
        .iter()
        .map(|(name, balance)| (name.as_str(), balance.available))
        .collect();
    assert_that!(left, eq(&vec![("shop", 10_000)]));
    assert_that!(balances[0].1.allotment, le(10_000));
}

fn parse_slowly(source: &str) -> Result<config::Text, String> {
    std::thread::sleep(Duration::from_millis(700));
    config::Text::parse(source)
}

/// Takes longer than an entry counts as in contact by its requests for a lease alone.
fn parse_very_slowly(source: &str) -> Result<config::Text, String> {
    std::thread::sleep(Duration::from_millis(1_600));
    config::Text::parse(source)
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledges_a_text_only_once_all_entries_in_contact_have_it_in_force() {
    let process = control().await;
    let slow = member_with_parser("entry-1", process.peer_address, parse_slowly);
    check_in_force_when_acknowledged(&process, slow).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledges_a_text_only_once_an_entry_that_goes_on_reporting_has_it_in_force() {
    let process = control().await;
    let slow = member_with_parser("entry-1", process.peer_address, parse_very_slowly);
    let reporting = slow.clone();
    tokio::spawn(async move {
        loop {
            let _ = reporting.report(Report::default(), ANSWER_TIMEOUT).await;
            sleep(Duration::from_millis(250)).await;
        }
    });
    check_in_force_when_acknowledged(&process, slow).await;
}

async fn check_in_force_when_acknowledged(process: &Process<MemoryReplica>, slow: Member) {
    let fast = member("entry-2", process.peer_address);
    let first = process.node.execute(replacement(3, "three")).await;
    assert_that!(first, eq(&Reply::Replaced { newest: 3 }));
    for member in [&slow, &fast] {
        wait_until(member, |view| fresh_version(view) == Some(3)).await;
    }
    let second = process.node.execute(replacement(5, "five")).await;
    assert_that!(second, eq(&Reply::Replaced { newest: 5 }));
    for member in [&slow, &fast] {
        assert_that!(fresh_version(&member.view().load()), some(eq(5)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledges_a_text_although_an_entry_is_gone() {
    let process = control().await;
    let gone = member("entry-1", process.peer_address);
    let first = process.node.execute(replacement(3, "three")).await;
    assert_that!(first, eq(&Reply::Replaced { newest: 3 }));
    wait_until(&gone, |view| fresh_version(view) == Some(3)).await;
    gone.stop();
    let began = Instant::now();
    let second = process.node.execute(replacement(5, "five")).await;
    assert_that!(second, eq(&Reply::Replaced { newest: 5 }));
    // Operators count an acknowledgement as late after four seconds.
    assert_that!(began.elapsed(), lt(Duration::from_secs(4)));
}

/// Returns the report of an entry that spent `total` tokens and holds no allotment of the limit.
fn report(number: u64, total: u64) -> Report {
    let statement = Statement {
        total,
        ..Statement::default()
    };
    Report {
        statements: Statements {
            number,
            accounts: vec![("shop".into(), statement)],
        },
        ..Report::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn continues_from_the_spending_that_an_earlier_leader_recorded() {
    // Long enough for slow machines.
    let window = Duration::from_secs(600);
    let process = control_with(Machine::default(), window).await;
    let before = member("entry-1", process.peer_address);
    let accepted = process.node.execute(replacement(7, "seven")).await;
    assert_that!(accepted, eq(&Reply::Replaced { newest: 7 }));
    wait_until(&before, |view| fresh_version(view) == Some(7)).await;
    for (number, tokens) in [(1, 0), (2, 4_000_000)] {
        let overview = before.report(report(number, tokens), ANSWER_TIMEOUT).await;
        assert_that!(overview.is_ok(), eq(true));
    }
    let machine = process.node.machine().clone();
    while machine.read().spending().accounts().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    before.stop();
    let later = control_with(machine, window).await;
    let after = member("entry-1", later.peer_address);
    wait_until(&after, |view| fresh_version(view) == Some(7)).await;
    let overview = after.report(report(1, 0), ANSWER_TIMEOUT).await;
    let balances = overview.expect("the leader answers").balances.accounts;
    // A leader without the record would return the burst of 10,000 tokens.
    assert_that!(balances[0].1.available, lt(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn ends_a_call_once_all_control_processes_have_failed() {
    let process = control().await;
    let member = member("entry-1", process.peer_address);
    wait_until(&member, |view| view.control_reachable).await;
    process.node.replica().set_leader(false);
    let began = Instant::now();
    let answer = member.report(Report::default(), ANSWER_TIMEOUT).await;
    assert_that!(answer.is_err(), eq(true));
    // An answer takes milliseconds: half of the timeout is far from that, also on a busy machine.
    assert_that!(began.elapsed(), lt(ANSWER_TIMEOUT / 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn opens_one_connection_to_each_control_process_however_often_the_group_is_sent() {
    let listener = TcpListener::bind(any_port())
        .await
        .expect("loopback can be listened on");
    let address = listener.local_addr().expect("the listener has an address");
    let identity = Identity {
        node: "127.0.0.1".into(),
        incarnation: 1,
        role: Role::Control,
        secret: Secret::new(SECRET),
    };
    let (count, mut counted) = watch::channel(0_u32);
    let (received, mut answered) = watch::channel(0_u32);
    tokio::spawn(accept(
        listener,
        identity,
        Arc::new(count),
        Arc::new(received),
    ));
    let _member = fleet::Member::start(fleet::Settings {
        node: "entry-1".into(),
        incarnation: 1,
        peers: vec![Peer {
            node: "127.0.0.1".into(),
            address,
            operators: any_port(),
        }],
        peer_port: Some(address.port()),
        secret: Secret::new(SECRET),
        ..fleet::Settings::default()
    });
    let _ = counted.wait_for(|count| *count >= 1).await;
    // The entry requests a lease every half second; by the fourth request it has received all
    // groups.
    let _ = answered.wait_for(|answered| *answered >= 4).await;
    assert_that!(*counted.borrow(), eq(1));
}

/// Accepts connections, sends each of them two different groups in turn, and counts connections and
/// received calls.
async fn accept(
    listener: TcpListener,
    identity: Identity,
    count: Arc<watch::Sender<u32>>,
    received: Arc<watch::Sender<u32>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        count.send_modify(|count| *count += 1);
        let (identity, received) = (identity.clone(), received.clone());
        tokio::spawn(async move {
            let opened = link::accept(stream, &identity, link::Settings::default()).await;
            let (connection, mut messages) = opened.expect("the handshake succeeds");
            for round in 0..6 {
                let group = match round % 2 {
                    0 => vec!["127.0.0.1".into()],
                    _ => Vec::new(),
                };
                connection.push(Push::Group(group));
            }
            while let Some(message) = messages.recv().await {
                if let Incoming::Call(id, ..) = message {
                    connection.answer(id, Err(wire::Failure::NoLeader));
                    received.send_modify(|received| *received += 1);
                }
            }
        });
    }
}
