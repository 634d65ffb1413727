//! Helpers for tests with one control process and members of its fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::Text;
use config::keys::{Keys, Secret};
use config::settings::Peer;
use config::text::Parser;
use control::client::{Client, Submission};
use control::external::Operation;
use control::{Machine, MemoryReplica, Node, Process, Settings, Sockets};
use fleet::{Control, Member, View};
use state::text::Replacement;
use tokio::time::sleep;

pub(crate) const SECRET: &str = "fleet-secret";
pub(crate) const TOKEN: &str = "operator-token";
/// Longest wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Returns a loopback address whose port the system chooses.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn text(name: &str) -> String {
    format!(
        "name = \"{name}\"\n\
         [data-centres.penang]\nregion = \"peninsula\"\n\
         reclaimable = {{ price = 0.3 }}\non-demand = {{ price = 1.0 }}\n\
         [services.bookings]\nkind = \"plain\"\n\
         [accounts.shop]\n"
    )
}

/// Returns the operators' text `name` as a replacement.
pub(crate) fn replacement(version: u64, name: &str) -> Operation {
    Operation::Replace(Replacement {
        version,
        operator: "ana".into(),
        source: text(name),
    })
}

pub(crate) async fn control() -> Process<MemoryReplica> {
    control_with(Machine::default(), Settings::default().limit_window).await
}

/// Starts a control process with the state of an earlier one, and with token limits over
/// `limit_window`.
pub(crate) async fn control_with(
    machine: Machine,
    limit_window: Duration,
) -> Process<MemoryReplica> {
    let settings = Settings {
        limit_window,
        ..settings()
    };
    start(settings, machine).await
}

pub(crate) fn settings() -> Settings {
    Settings {
        node: "control-1".into(),
        incarnation: 1,
        secret: Secret::new(SECRET),
        freshness_lease: Duration::from_secs(2),
        ..Settings::default()
    }
}

pub(crate) async fn start(settings: Settings, machine: Machine) -> Process<MemoryReplica> {
    let replica = MemoryReplica::new("control-1".into(), machine.clone());
    let node: Arc<Node<MemoryReplica>> = Node::new(settings, replica, machine);
    let mut keys = Keys::default();
    keys.operators.insert("ana".into(), Secret::new(TOKEN));
    let sockets = Sockets::bind(any_port(), any_port()).expect("loopback can be listened on");
    Process::start(node, keys, sockets).expect("the sockets can be served")
}

pub(crate) fn member(name: &str, control: SocketAddr) -> Member {
    member_with_parser(name, control, Text::parse)
}

pub(crate) fn member_with_parser(name: &str, control: SocketAddr, parser: Parser) -> Member {
    Member::start(fleet::Settings {
        node: name.into(),
        parser,
        incarnation: 1,
        peers: vec![Peer {
            node: "control-1".into(),
            address: control,
            operators: control,
        }],
        secret: Secret::new(SECRET),
        ..fleet::Settings::default()
    })
}

pub(crate) fn operator(process: &Process<MemoryReplica>) -> Client {
    Client {
        controls: process.operators_address.into_iter().collect(),
        token: TOKEN.to_owned(),
    }
}

pub(crate) fn submission(base: u64, id: &str, text: String) -> Submission {
    Submission {
        base,
        id: id.to_owned(),
        text,
        ..Submission::default()
    }
}

/// Waits until `wanted` holds for the view of `member`, and returns the view.
pub(crate) async fn wait_until(member: &Member, wanted: impl Fn(&View) -> bool) -> Arc<View> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let view = member.view().load_full();
        if wanted(&view) {
            return view;
        }
        assert!(Instant::now() < deadline, "view stayed {view:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

pub(crate) fn fresh_version(view: &View) -> Option<u64> {
    view.fresh_config(Instant::now())
        .map(|config| config.version)
}
