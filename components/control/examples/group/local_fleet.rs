//! A control group and its entries in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use config::Settings;
use config::keys::{Keys, Secret};
use config::settings::Peer;
use control::client::{Client, Outcome, Submission};
use control::replica::ConsensusReplica;
use control::{Machine, Process, Sockets, start_group};
use fleet::{Control, Member};
use tempfile::TempDir;
use tokio::time::sleep;

const TEXT: &str = "name = \"measure\"\n[data-centres.penang]\nregion = \"peninsula\"\n\
    reclaimable = { price = 0.3 }\non-demand = { price = 1.0 }\n\
    [services.bookings]\nkind = \"plain\"\n[accounts.shop]\n";
const POLL_INTERVAL: Duration = Duration::from_millis(1);

pub(crate) struct LocalFleet {
    _folder: TempDir,
    peers: Vec<Peer>,
    pub(crate) processes: Vec<Option<Process<ConsensusReplica<Machine>>>>,
    pub(crate) members: Vec<Member>,
    version: u64,
}

impl LocalFleet {
    pub(crate) async fn start(voters: usize, entries: usize) -> LocalFleet {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let sockets: Vec<Sockets> = (0..voters)
            .map(|_| Sockets::bind(any, any).expect("loopback can be listened on"))
            .collect();
        let peer = |(n, sockets): (usize, &Sockets)| {
            let (address, operators) = sockets.addresses().expect("the sockets have addresses");
            let operators = operators.expect("it listens for operators");
            Peer {
                node: format!("control-{n}").into(),
                address,
                operators,
            }
        };
        let peers: Vec<Peer> = sockets.iter().enumerate().map(peer).collect();
        let folder = TempDir::new().expect("a folder can be made");
        let start = |(n, sockets)| {
            let mut keys = Keys {
                fleet: Secret::new("fleet"),
                ..Keys::default()
            };
            keys.operators.insert("ana".into(), Secret::new("token"));
            let settings = Settings {
                node: format!("control-{n}").into(),
                data_folder: folder.path().join(format!("{n}")),
                control_peers: peers.clone(),
                ..Settings::default()
            };
            start_group(&settings, keys, sockets).map(|(process, _)| Some(process))
        };
        let processes = sockets.into_iter().enumerate().map(start);
        let processes = processes.collect::<errors::Result<_>>();
        let mut fleet = LocalFleet {
            processes: processes.expect("the processes start"),
            members: Vec::new(),
            version: 0,
            _folder: folder,
            peers,
        };
        fleet.members = (0..entries).map(|n| fleet.member(n)).collect();
        fleet.wait_for_leader().await;
        fleet.submit().await;
        fleet
    }

    fn member(&self, n: usize) -> Member {
        Member::start(fleet::Settings {
            node: format!("entry-{n}").into(),
            incarnation: 1,
            peers: self.peers.clone(),
            secret: Secret::new("fleet"),
            ..fleet::Settings::default()
        })
    }

    /// Waits until a process is the leader, and returns its number.
    pub(crate) async fn wait_for_leader(&self) -> usize {
        let leads = |process: &Option<Process<ConsensusReplica<Machine>>>| {
            process.as_ref().is_some_and(|p| p.node.leads())
        };
        loop {
            match self.processes.iter().position(leads) {
                Some(leader) => return leader,
                None => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Submits the next text, and returns the time until it was in force at all entries.
    pub(crate) async fn submit(&mut self) -> Duration {
        let client = Client {
            controls: self.peers.iter().map(|peer| peer.operators).collect(),
            token: "token".to_owned(),
        };
        let submission = Submission {
            base: self.version,
            id: format!("s{}", self.version),
            text: TEXT.to_owned(),
            ..Submission::default()
        };
        let started = Instant::now();
        let outcome = client.submit(&submission).await;
        let took = started.elapsed();
        self.version += 1;
        assert_eq!(
            outcome.ok(),
            Some(Outcome::InForce {
                version: self.version
            })
        );
        for member in &self.members {
            while member.view().load().fresh_config(Instant::now()).is_none() {
                sleep(POLL_INTERVAL).await;
            }
        }
        took
    }

    pub(crate) fn stop(self) {
        for member in &self.members {
            member.stop();
        }
        for process in self.processes.into_iter().flatten() {
            process.abort();
        }
    }
}
