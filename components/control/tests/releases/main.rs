//! Processes of this release beside one of an older release.

mod forms;
mod older_process;
mod raw;
mod samples;
mod unreadable_log;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ciborium::Value;
use config::Settings;
use config::keys::{Keys, Secret};
use config::settings::{Control as ControlSettings, Peer};
use config::text::Text;
use control::external::{Operation, Reply};
use control::replica::{ConsensusReplica, Replica};
use control::{Machine, Process, Sockets, start_group_with_parser};
use fleet::{Control, Member};
use googletest::prelude::*;
use older_process::OlderProcess;
use raw::{Raw, Side};
use state::text::Replacement;
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_tungstenite::client_async;
use wire::{Answer, Body, Envelope, Failure, Frame, Request, Role};

const SECRET: &str = "fleet-secret";
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes of a text that is larger than those that are committed whole among processes of this
/// release.
const LARGE_TEXT_BYTES: usize = 200 * 1_024;
/// Longest wait of the operator.
const IN_FORCE_WAIT: Duration = Duration::from_secs(2);

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn parse(_source: &str) -> std::result::Result<Text, String> {
    Ok(Text::default())
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timeout: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

fn large_text(version: u64) -> Replacement {
    Replacement {
        version,
        operator: "ana".into(),
        source: format!("{version} {}", "route ".repeat(LARGE_TEXT_BYTES / 6)),
    }
}

/// Two control processes of this release, and a spare of the older one.
struct Group {
    processes: Vec<Process<ConsensusReplica<Machine>>>,
    older: std::sync::Arc<OlderProcess>,
    _folder: TempDir,
}

impl Group {
    async fn start() -> Group {
        let folder = TempDir::new().expect("a folder can be made");
        let sockets: Vec<Sockets> = (0..2)
            .map(|_| Sockets::bind(any_port(), any_port()).expect("loopback can be listened on"))
            .collect();
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let mut addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(|sockets| sockets.addresses().expect("they have addresses").0)
            .collect();
        addresses.push(listener.local_addr().expect("it has an address"));
        let peer = |(index, address): (usize, &SocketAddr)| Peer {
            node: format!("control-{index}").into(),
            address: *address,
            operators: *address,
        };
        let peers: Vec<Peer> = addresses.iter().enumerate().map(peer).collect();
        let control = ControlSettings {
            heartbeat: Duration::from_millis(60),
            election_timeout: Duration::from_millis(400),
            ..ControlSettings::default()
        };
        let consensus = consensus::Settings {
            heartbeat: control.heartbeat,
            election_timeout: control.election_timeout,
            ..consensus::Settings::default()
        };
        let older = OlderProcess::start_spare(
            "control-2",
            SECRET,
            listener,
            &peers,
            &folder.path().join("2"),
            consensus,
        );
        let start = |(index, sockets): (usize, Sockets)| {
            let settings = Settings {
                node: peers[index].node.clone(),
                data_folder: folder.path().join(format!("{index}")),
                control_peers: peers.clone(),
                control: control.clone(),
                ..Settings::default()
            };
            let keys = Keys {
                fleet: Secret::new(SECRET),
                ..Keys::default()
            };
            let started = start_group_with_parser(&settings, keys, sockets, Some(parse));
            started.expect("the process starts").0
        };
        let processes = sockets.into_iter().enumerate().map(start).collect();
        Group {
            processes,
            older,
            _folder: folder,
        }
    }

    async fn leader(&self) -> &Process<ConsensusReplica<Machine>> {
        let mut leader = None;
        wait_until("a leader", || {
            leader = self.processes.iter().position(|p| p.node.leads());
            leader.is_some()
        })
        .await;
        &self.processes[leader.expect("there is a leader")]
    }

    /// Submits a text until it is acknowledged.
    async fn submit(&self, replacement: &Replacement) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let leader = self.leader().await;
            let operation = Operation::Replace(replacement.clone());
            match leader.node.execute(operation).await {
                Reply::Replaced { .. } => return,
                reply => assert!(Instant::now() < deadline, "{reply:?}"),
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_no_log_entry_that_a_learner_of_an_older_release_can_t_read() {
    let group = Group::start().await;
    let leader = group.leader().await;
    wait_until("the older process as a learner", || {
        !leader.node.replica().status().learners.is_empty()
    })
    .await;
    for version in [3, 4, 5] {
        group.submit(&large_text(version)).await;
    }
    wait_until(
        "the text at the older process, or what it can't read",
        || group.older.version() == 5 || !group.older.unreadable.list().is_empty(),
    )
    .await;
    assert_that!(group.older.unreadable.list(), is_empty());
    assert_that!(group.older.version(), eq(5));
}

/// Starts an entry that knows one control process.
fn member(address: SocketAddr) -> Member {
    Member::start(fleet::Settings {
        node: "entry-1".into(),
        incarnation: 1,
        peers: vec![Peer {
            node: "control-0".into(),
            address,
            operators: address,
        }],
        parser: parse,
        secret: Secret::new(SECRET),
        ..fleet::Settings::default()
    })
}

fn version_in_force(member: &Member) -> u64 {
    let view = member.view().load();
    view.config.as_ref().map_or(0, |config| config.version)
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_no_request_that_a_control_process_of_an_older_release_can_t_read() {
    let text = (7, "seven".to_owned());
    let (older, address) = OlderProcess::start_leader("control-0", SECRET, text, false).await;
    let member = member(address);
    wait_until("the text at the entry", || version_in_force(&member) == 7).await;
    let drawn = member.draw_permits(Vec::new(), 1, IN_FORCE_WAIT).await;
    assert_that!(drawn.map(|_| ()), err(anything()));
    sleep(IN_FORCE_WAIT).await;
    assert_that!(older.unreadable.list(), is_empty());
    assert_that!(older.connections(), eq(1));
    assert_that!(member.view().load().control_reachable, eq(true));
}

// Upstreams could not leave while processes were replaced one after the other, if only the newer
// release confirmed that it holds a leave.
#[tokio::test(flavor = "multi_thread")]
async fn lets_upstreams_leave_beside_a_control_process_of_an_older_release() {
    let text = (7, "seven".to_owned());
    let (older, address) = OlderProcess::start_leader("control-0", SECRET, text, false).await;
    let member = member(address);
    wait_until("the text at the entry", || version_in_force(&member) == 7).await;
    let leaving = serde_json::json!({
        "upstream": "u-1", "incarnation": 5, "sequence": 2, "service": "bookings",
        "address": "127.0.0.1:9", "data_centre": "penang", "class": "on-demand",
        "capacity": {}, "load": {}, "lease_ms": 6_000, "availability": {"state": "leaving"},
    });
    let leaving = serde_json::from_value(leaving).expect("the announcement is valid");
    assert_that!(member.announce(leaving).await, ok(anything()));
    assert_that!(older.knows("u-1"), eq(true));
    assert_that!(older.unreadable.list(), is_empty());
    assert_that!(older.connections(), eq(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn fetches_a_text_from_a_leader_that_declares_nothing_but_leaves_texts_to_be_fetched() {
    let text = (7, "seven ".repeat(LARGE_TEXT_BYTES / 6));
    let (older, address) = OlderProcess::start_leader("control-0", SECRET, text, true).await;
    let member = member(address);
    wait_until("the text at the entry", || version_in_force(&member) == 7).await;
    assert_that!(older.unreadable.list(), is_empty());
    assert_that!(older.connections(), eq(1));
}

/// Connects as an entry.
async fn connect(address: SocketAddr, name: &str) -> Raw {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let (socket, _) = client_async("ws://chervilloft/link", stream)
        .await
        .expect("the upgrade is accepted");
    let secret = Secret::new(SECRET);
    let opened = Raw::open(socket, Side::Dialer, name, Role::Entry, &secret).await;
    opened.expect("the handshake is accepted")
}

/// Asks for a lease as an entry of a release that fetches no texts, until it comes with the text.
async fn wait_for_text(mut raw: Raw, name: String) {
    loop {
        let request = Request {
            node: name.as_str().into(),
            incarnation: 1,
            forwarded: false,
            body: Body::Confirm {
                version: 0,
                fetches: false,
            },
        };
        raw.send(Frame::Call(1, request)).await;
        loop {
            let bytes = raw.receive().await.expect("the connection stays open");
            match wire::decode(&bytes).map(|envelope| envelope.2) {
                Ok(Frame::Answer(_, Ok(Answer::FreshnessLease(lease)))) => {
                    assert!(lease.source.is_some(), "the lease carries the text");
                    return;
                }
                Ok(Frame::Answer(_, Err(_))) => break,
                _ => raw.send(Frame::Heartbeat).await.expect("it is open"),
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_whole_texts_to_a_few_older_entries_at_a_time() {
    let group = Group::start().await;
    group.submit(&large_text(3)).await;
    let address = group.leader().await.peer_address;
    let mut entries = Vec::new();
    for number in 0..24 {
        let name = format!("entry-{number}");
        entries.push((connect(address, &name).await, name));
    }
    // All times are from here, so that an entry whose task starts late does not seem to wait less.
    let began = Instant::now();
    let entries = entries.into_iter().map(|(raw, name)| async move {
        wait_for_text(raw, name).await;
        began.elapsed()
    });
    let entries: Vec<_> = entries.map(tokio::spawn).collect();
    let mut times = Vec::new();
    for entry in entries {
        times.push(entry.await.expect("the entry gets the text"));
    }
    times.sort();
    // Eight copies of 200 KB take 164 ms of a link of 10 Mbit/s each.
    assert_that!(times[8], ge(Duration::from_millis(150)), "{times:?}");
    assert_that!(times[16], ge(Duration::from_millis(300)), "{times:?}");
    assert_that!(times[23], le(Duration::from_secs(20)), "{times:?}");
}

/// Returns a request of a later release, in its frame.
fn later_request() -> Value {
    let text = |text: &str| Value::Text(text.to_owned());
    let request = vec![
        (text("node"), text("entry-9")),
        (text("incarnation"), 1.into()),
        (text("forwarded"), false.into()),
        (
            text("body"),
            Value::Map(vec![(text("LaterRequest"), 5.into())]),
        ),
    ];
    let call = Value::Array(vec![41.into(), Value::Map(request)]);
    Value::Map(vec![(text("c"), call)])
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_a_request_of_a_later_release_and_keeps_the_connection() {
    let group = Group::start().await;
    let address = group.leader().await.peer_address;
    let mut raw = connect(address, "entry-9").await;
    let later_push = vec![(Value::from("p"), Value::from("LaterPush"))];
    raw.send_value(Value::Map(later_push)).await;
    raw.send_value(later_request()).await;
    let known = Request {
        node: "entry-9".into(),
        incarnation: 1,
        forwarded: false,
        body: Body::FindOrigin(upstream::StreamKey::new("shop", "id-1")),
    };
    raw.send(Frame::Call(42, known)).await;
    let mut answers = Vec::new();
    while answers.len() < 2 {
        let bytes = raw.receive().await.expect("the connection stays open");
        if let Ok(Envelope(_, _, Frame::Answer(id, answer))) = wire::decode(&bytes) {
            answers.push((id, answer));
        }
    }
    answers.sort_by_key(|(id, _)| *id);
    assert_that!(
        answers[0],
        (eq(&41), err(matches_pattern!(Failure::Refused(_))))
    );
    assert_that!(answers[1], (eq(&42), ok(eq(&Answer::Origin(None)))));
}
