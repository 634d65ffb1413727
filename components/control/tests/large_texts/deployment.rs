//! Control processes with real files and entries' members, each behind a link of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use config::Settings;
use config::keys::{Keys, Secret};
use config::settings::{Control as ControlSettings, Peer};
use control::external::{Operation, Reply};
use control::replica::{ConsensusReplica, Replica};
use control::{Machine, Process, Sockets, start_group_with_parser};
use fleet::{Control, Member};
use state::text::Replacement;
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

use crate::network::{Link, relay};
use crate::text::{Document, parse_at_control, parse_at_entry};

const CONTROLS: usize = 4;
const ENTRIES: usize = 76;
/// Bandwidth of control instances.
const CONTROL_MEGABITS: f64 = 100.0;
/// Bandwidth of the other instances.
const ENTRY_MEGABITS: f64 = 10.0;
/// Time without an answer after which an operator turns to the next process.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);
/// Pause of an operator before he sends a text again; it grows with each time.
const OPERATOR_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which a text is sent again.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const SECRET: &str = "fleet-secret";

/// When a text was first sent, and when it was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledged {
    sent: Instant,
    pub(crate) at: Instant,
}

impl Acknowledged {
    pub(crate) fn elapsed(&self) -> Duration {
        self.at - self.sent
    }
}

struct RunningControl {
    runtime: Runtime,
    process: Process<ConsensusReplica<Machine>>,
}

/// The processes of a deployment, the links between them, and their files.
pub(crate) struct Deployment {
    folder: TempDir,
    network: Runtime,
    entries: Runtime,
    /// Addresses of the control processes' own listeners.
    addresses: Vec<SocketAddr>,
    /// The control processes as each instance reaches them: control instances, then entries.
    peers: Vec<Vec<Peer>>,
    controls: Vec<Option<RunningControl>>,
    members: Vec<Member>,
    incarnation: u64,
}

impl Deployment {
    /// Starts all processes, and returns once there is a leader.
    pub(crate) fn start() -> Deployment {
        let network = runtime(4);
        let sockets: Vec<Sockets> = (0..CONTROLS)
            .map(|_| Sockets::bind(any_port(), any_port()).expect("loopback can be listened on"))
            .collect();
        let addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(|sockets| sockets.addresses().expect("the sockets have addresses").0)
            .collect();
        let peers = network.block_on(connect(&addresses));
        let mut deployment = Deployment {
            folder: TempDir::new().expect("a folder can be made"),
            network,
            entries: runtime(16),
            addresses,
            peers,
            controls: Vec::new(),
            members: Vec::new(),
            incarnation: 0,
        };
        for (index, sockets) in sockets.into_iter().enumerate() {
            let control = deployment.control(index, sockets);
            deployment
                .controls
                .push(Some(control.expect("the process starts")));
        }
        deployment.start_members();
        deployment.wait_for_leader();
        deployment
    }

    fn control(&self, index: usize, sockets: Sockets) -> errors::Result<RunningControl> {
        let settings = Settings {
            node: name(index),
            data_folder: self.folder.path().join(format!("{index}")),
            control_peers: self.peers[index].clone(),
            control: ControlSettings {
                heartbeat: Duration::from_millis(100),
                election_timeout: Duration::from_millis(400),
                ..ControlSettings::default()
            },
            ..Settings::default()
        };
        let keys = Keys {
            fleet: Secret::new(SECRET),
            ..Keys::default()
        };
        let runtime = runtime(2);
        let process = {
            let _guard = runtime.enter();
            start_group_with_parser(&settings, keys, sockets, Some(parse_at_control))?.0
        };
        Ok(RunningControl { runtime, process })
    }

    fn start_members(&mut self) {
        self.incarnation += 1;
        let _guard = self.entries.enter();
        let member = |index: usize| {
            Member::start(fleet::Settings {
                node: format!("entry-{index}").into(),
                incarnation: self.incarnation,
                peers: self.peers[CONTROLS + index].clone(),
                parser: parse_at_entry,
                secret: Secret::new(SECRET),
                ..fleet::Settings::default()
            })
        };
        self.members = (0..ENTRIES).map(member).collect();
    }

    /// Sends a text as operators do until it is acknowledged.
    pub(crate) fn submit(&self, document: &Document) -> Acknowledged {
        let sent = Instant::now();
        let mut turn = document.version as usize;
        let mut pause = OPERATOR_PAUSE;
        while sent.elapsed() < SUBMIT_TIMEOUT {
            if self.submit_to(turn % CONTROLS, document) {
                let at = Instant::now();
                return Acknowledged { sent, at };
            }
            turn += 1;
            sleep(pause);
            pause += OPERATOR_PAUSE;
        }
        panic!("version {} is not acknowledged", document.version);
    }

    fn submit_to(&self, index: usize, document: &Document) -> bool {
        let Some(control) = &self.controls[index] else {
            return false;
        };
        let operation = Operation::Replace(Replacement {
            version: document.version,
            operator: "ana".into(),
            source: document.source(),
        });
        let patience = OPERATOR_PATIENCE + document.time_to_read();
        let node = control.process.node.clone();
        let replied = self
            .network
            .block_on(async move { timeout(patience, node.execute(operation)).await });
        matches!(replied, Ok(Reply::Replaced { newest }) if newest >= document.version)
    }

    /// Waits until a version is in force at all entries, until `deadline` at most, and returns the
    /// entries that have an older one.
    pub(crate) fn wait_until_in_force(&self, version: u64, deadline: Instant) -> Vec<usize> {
        loop {
            let missing = self.missing(version);
            if missing.is_empty() || Instant::now() >= deadline {
                return missing;
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn missing(&self, version: u64) -> Vec<usize> {
        let is_missing = |member: &Member| {
            let view = member.view().load();
            view.config.as_ref().map_or(0, |config| config.version) < version
        };
        let members = self.members.iter().enumerate();
        let missing = members.filter(|(_, member)| is_missing(member));
        missing.map(|(index, _)| index).collect()
    }

    /// Returns the newest term of a control process.
    pub(crate) fn term(&self) -> u64 {
        let running = self.controls.iter().flatten();
        let terms = running.map(|control| control.process.node.replica().status().term);
        terms.max().unwrap_or(0)
    }

    /// Kills the leader, and starts it again.
    pub(crate) fn restart_leader(&mut self) {
        let leader = self.wait_for_leader();
        self.kill(leader);
        self.restart(leader);
    }

    /// Kills all processes at the same moment, and starts them again.
    pub(crate) fn restart_all(&mut self) {
        (0..CONTROLS).for_each(|index| self.kill(index));
        self.members.iter().for_each(Member::stop);
        (0..CONTROLS).for_each(|index| self.restart(index));
        self.start_members();
    }

    fn kill(&mut self, index: usize) {
        if let Some(control) = self.controls[index].take() {
            control.process.abort();
            control.runtime.shutdown_background();
        }
    }

    fn restart(&mut self, index: usize) {
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        let address = self.addresses[index];
        loop {
            let sockets = Sockets::bind(address, any_port());
            match sockets.and_then(|sockets| self.control(index, sockets)) {
                Ok(control) => {
                    self.controls[index] = Some(control);
                    return;
                }
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        let leads = |control: &Option<RunningControl>| {
            let control = control.as_ref();
            control.is_some_and(|control| control.process.node.leads())
        };
        loop {
            if let Some(leader) = self.controls.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.members.iter().for_each(Member::stop);
        (0..CONTROLS).for_each(|index| self.kill(index));
    }
}

/// Creates relays from each instance to each control process, and returns their addresses.
async fn connect(addresses: &[SocketAddr]) -> Vec<Vec<Peer>> {
    let controls: Vec<Arc<Link>> = addresses
        .iter()
        .map(|_| Link::new(CONTROL_MEGABITS))
        .collect();
    let entries = (0..ENTRIES).map(|_| Link::new(ENTRY_MEGABITS));
    let mut peers = Vec::new();
    for near in controls.iter().cloned().chain(entries) {
        let mut reached = Vec::new();
        for (index, (far, target)) in controls.iter().zip(addresses).enumerate() {
            let address = relay(near.clone(), far.clone(), *target).await;
            reached.push(Peer {
                node: name(index),
                address,
                operators: address,
            });
        }
        peers.push(reached);
    }
    peers
}

fn name(index: usize) -> config::ids::NodeId {
    format!("control-{index}").into()
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn runtime(threads: usize) -> Runtime {
    let built = Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    built.expect("threads can be started")
}
