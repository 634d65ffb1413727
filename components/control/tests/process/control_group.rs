//! Helpers for tests with three control processes and real files.

use std::time::{Duration, Instant};

use config::Settings;
use config::keys::{Keys, Secret};
use config::settings::{Control, Peer};
use control::client::Client;
use control::replica::ConsensusReplica;
use control::{Machine, Process, Sockets, start_group};
use fleet::Member;
use tempfile::TempDir;
use tokio::time::sleep;
use trials::Address;

use crate::relay::Relay;
use crate::single_control::{SECRET, TOKEN};

const TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Binds an address of the group's own. A process that crashed frees its ports while the others and the
/// entries go on connecting to them: another group or run that got such a port would take part in this one.
fn sockets() -> Vec<Sockets> {
    let address = Address::next();
    let bind = |_| {
        let ports = address.ports(2).expect("two free ports");
        let [peers, operators] = [ports[0], ports[1]].map(|port| address.with_port(port));
        Sockets::bind(peers, operators).expect("loopback can be listened on")
    };
    (0..3).map(bind).collect()
}

fn peers(sockets: &[Sockets]) -> Vec<Peer> {
    let peer = |(n, sockets): (usize, &Sockets)| {
        let (address, operators) = sockets.addresses().expect("the sockets have addresses");
        let operators = operators.expect("it listens for operators");
        let node = format!("control-{n}").into();
        Peer {
            node,
            address,
            operators,
        }
    };
    sockets.iter().enumerate().map(peer).collect()
}

pub(crate) struct ControlGroup {
    folder: TempDir,
    pub(crate) peers: Vec<Peer>,
    pub(crate) processes: Vec<Option<Process<ConsensusReplica<Machine>>>>,
}

impl ControlGroup {
    pub(crate) fn start() -> ControlGroup {
        let sockets = sockets();
        let peers = peers(&sockets);
        ControlGroup::start_with(sockets, peers)
    }

    /// Starts a group in which the processes and entries reach each process through a relay.
    pub(crate) async fn start_behind_relays() -> (ControlGroup, Vec<Relay>) {
        let sockets = sockets();
        let mut peers = peers(&sockets);
        let mut relays = Vec::new();
        for peer in &mut peers {
            let relay = Relay::start(peer.address).await;
            peer.address = relay.address;
            relays.push(relay);
        }
        (ControlGroup::start_with(sockets, peers), relays)
    }

    fn start_with(sockets: Vec<Sockets>, peers: Vec<Peer>) -> ControlGroup {
        let mut group = ControlGroup {
            folder: TempDir::new().expect("a folder can be made"),
            peers,
            processes: Vec::new(),
        };
        for (n, sockets) in sockets.into_iter().enumerate() {
            let process = group.process(n, sockets).expect("the process starts");
            group.processes.push(Some(process));
        }
        group
    }

    fn process(
        &self,
        n: usize,
        sockets: Sockets,
    ) -> errors::Result<Process<ConsensusReplica<Machine>>> {
        let mut keys = Keys {
            fleet: Secret::new(SECRET),
            ..Keys::default()
        };
        keys.operators.insert("ana".into(), Secret::new(TOKEN));
        let settings = Settings {
            node: self.peers[n].node.clone(),
            data_folder: self.folder.path().join(format!("{n}")),
            control_peers: self.peers.clone(),
            control: Control {
                heartbeat: Duration::from_millis(60),
                election_timeout: Duration::from_millis(400),
                freshness_lease: Duration::from_secs(2),
                ..Control::default()
            },
            ..Settings::default()
        };
        start_group(&settings, keys, sockets).map(|(process, _)| process)
    }

    /// Starts a process again with its addresses and its folder.
    pub(crate) async fn restart(&mut self, n: usize) {
        let deadline = Instant::now() + TIMEOUT;
        let peer = self.peers[n].clone();
        loop {
            let sockets = Sockets::bind(peer.address, peer.operators);
            let started = sockets.and_then(|sockets| self.process(n, sockets));
            match started {
                Ok(process) => {
                    self.processes[n] = Some(process);
                    return;
                }
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a process is the leader, and returns its number.
    pub(crate) async fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        let leads = |process: &Option<Process<ConsensusReplica<Machine>>>| {
            process.as_ref().is_some_and(|p| p.node.leads())
        };
        loop {
            if let Some(leader) = self.processes.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) fn crash(&mut self, n: usize) {
        if let Some(process) = self.processes[n].take() {
            process.abort();
        }
    }

    pub(crate) fn member(&self, name: &str) -> Member {
        Member::start(fleet::Settings {
            node: name.into(),
            incarnation: 1,
            peers: self.peers.clone(),
            secret: Secret::new(SECRET),
            ..fleet::Settings::default()
        })
    }

    /// Returns an operator's client that connects only to process `n`.
    pub(crate) fn operator(&self, n: usize) -> Client {
        Client {
            controls: vec![self.peers[n].operators],
            token: TOKEN.to_owned(),
        }
    }
}
