//! A control process without a disk beside a group of three.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use config::Settings;
use config::keys::{Keys, Secret};
use config::settings::Control;
use control::external::{Operation, Reply};
use control::replica::{ConsensusReplica, ForwardingReplica, Replica};
use control::{Machine, Process, Sockets, start_forwarding, start_group};
use errors::Error;
use googletest::prelude::*;
use tempfile::TempDir;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::control_group::ControlGroup;
use crate::single_control::{SECRET, any_port, fresh_version, replacement, text, wait_until};

const TIMEOUT: Duration = Duration::from_secs(60);

fn forwarding(group: &ControlGroup) -> Process<ForwardingReplica> {
    let settings = Settings {
        node: "control-9".into(),
        control_peers: group.peers.clone(),
        ..Settings::default()
    };
    let keys = Keys {
        fleet: Secret::new(SECRET),
        ..Keys::default()
    };
    let sockets = Sockets::bind(any_port(), any_port()).expect("loopback can be listened on");
    start_forwarding(&settings, keys, sockets, None).expect("the process starts")
}

/// Executes an operation until the group answers.
async fn execute(process: &Process<ForwardingReplica>, operation: Operation) -> Reply {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match process.node.execute(operation.clone()).await {
            Reply::Unavailable(reason) => assert!(Instant::now() < deadline, "{reason}"),
            reply => return reply,
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forwards_texts_and_reads_also_after_the_loss_of_the_leader() {
    let mut group = ControlGroup::start();
    let leader = group.wait_for_leader().await;
    let process = forwarding(&group);
    let member = group.member("entry-1");
    let replaced = execute(&process, replacement(3, "first")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 3 }));
    wait_until(&member, |view| fresh_version(view) == Some(3)).await;

    group.crash(leader);
    let replaced = execute(&process, replacement(5, "second")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 5 }));
    wait_until(&member, |view| fresh_version(view) == Some(5)).await;
    let read = execute(&process, Operation::Read).await;
    assert_that!(read, eq(&Reply::Text(text("second"))));
    assert_that!(process.node.leads(), eq(false));
}

#[tokio::test(flavor = "multi_thread")]
async fn takes_no_part_in_the_group() {
    let group = ControlGroup::start();
    let leader = group.wait_for_leader().await;
    let process = forwarding(&group);
    let replaced = execute(&process, replacement(3, "first")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 3 }));
    let leader = group.processes[leader].as_ref().expect("it runs");
    let status = leader.node.replica().status();
    assert_that!(status.voters.len(), eq(3));
    assert_that!(status.learners, is_empty());
    assert_that!(process.node.replica().status().told_group.len(), eq(3));
}

/// Settings of a process that is named by its address and told one seed.
fn seeded(address: Ipv4Addr, port: u16, seed: Ipv4Addr, folder: &TempDir) -> Settings {
    Settings {
        node: address.to_string().into(),
        address: address.into(),
        data_folder: folder.path().join(address.to_string()),
        seeds: vec![SocketAddr::from((seed, port))],
        control: Control {
            peer_port: port,
            founds: address == seed,
            heartbeat: Duration::from_millis(60),
            election_timeout: Duration::from_millis(400),
            ..Control::default()
        },
        ..Settings::default()
    }
}

/// Addresses, folders and sockets of processes that are named by their addresses.
struct Hosts {
    addresses: [Ipv4Addr; 3],
    port: u16,
    folder: TempDir,
}

impl Hosts {
    /// Takes the addresses of network `network` that this test process uses.
    fn new(network: u8) -> Hosts {
        let last = (std::process::id() % 200 + 20) as u8;
        let addresses = [1, 2, 3].map(|host| Ipv4Addr::new(127, network, last, host));
        Hosts {
            addresses,
            port: stand_ins::ports::find_free(addresses[0].into(), 1).expect("a port is free")[0],
            folder: TempDir::new().expect("a folder can be made"),
        }
    }

    fn keys() -> Keys {
        Keys {
            fleet: Secret::new(SECRET),
            ..Keys::default()
        }
    }

    fn sockets(&self, address: Ipv4Addr) -> Sockets {
        let peers = SocketAddr::from((address, self.port));
        Sockets::bind(peers, SocketAddr::from((address, 0))).expect("loopback can be listened on")
    }

    fn settings(&self, address: Ipv4Addr, seeds: &[Ipv4Addr]) -> Settings {
        let first = seeded(address, self.port, seeds[0], &self.folder);
        Settings {
            seeds: seeds
                .iter()
                .map(|seed| SocketAddr::from((*seed, self.port)))
                .collect(),
            ..first
        }
    }

    fn member(&self, address: Ipv4Addr, seeds: &[Ipv4Addr]) -> Member {
        let settings = self.settings(address, seeds);
        start_group(&settings, Self::keys(), self.sockets(address)).expect("the process starts")
    }

    fn forwarding(&self, address: Ipv4Addr, seeds: &[Ipv4Addr]) -> Process<ForwardingReplica> {
        let settings = self.settings(address, seeds);
        start_forwarding(&settings, Self::keys(), self.sockets(address), None)
            .expect("the process starts")
    }
}

/// A process that takes part in the group, and its failure.
type Member = (Process<ConsensusReplica<Machine>>, oneshot::Receiver<Error>);

#[tokio::test(flavor = "multi_thread")]
async fn leads_a_process_that_is_told_no_other_seed_to_the_group() {
    let hosts = Hosts::new(21);
    let [founder, forwarder, joining] = hosts.addresses;
    let (first, _failure) = hosts.member(founder, &[founder]);
    let _forwards = hosts.forwarding(forwarder, &[founder]);
    let (_second, _failure) = hosts.member(joining, &[forwarder]);
    let deadline = Instant::now() + TIMEOUT;
    let name = joining.to_string();
    loop {
        let status = first.node.replica().status();
        let mut members = status.learners.iter().chain(&status.voters);
        if members.any(|member| *member == name) {
            return;
        }
        assert!(Instant::now() < deadline, "{status:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_entries_through_a_process_whose_settings_name_no_member() {
    let hosts = Hosts::new(22);
    let [founder, forwarder, _] = hosts.addresses;
    let (_first, _failure) = hosts.member(founder, &[founder, forwarder]);
    // It knows itself only, as after all processes lost power and their settings had been exchanged.
    let forwards = hosts.forwarding(forwarder, &[forwarder]);
    let replaced = execute(&forwards, replacement(3, "first")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 3 }));
}
