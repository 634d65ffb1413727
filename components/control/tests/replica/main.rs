//! Replicas with real files in one process.

mod faulty_folder;

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

use consensus::{Message, Position};
use control::replica::{ConsensusReplica, Replica, Settings, StateMachine};
use errors::{Error, Peer, Result, Step};
use faulty_folder::{Faults, FaultyFolder};
use googletest::prelude::*;
use storage::Disk;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(120);
/// Command that makes the state machine panic.
const PANIC: u64 = u64::MAX;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A state machine that keeps the list of commands. Its output is the index of a command's entry
/// and the number of commands so far.
#[derive(Debug, Default)]
struct CommandList(Vec<u64>);

impl StateMachine for CommandList {
    type Command = u64;
    type Output = (u64, usize);

    fn apply(&mut self, position: Position, command: u64) -> (u64, usize) {
        assert_ne!(
            command, PANIC,
            "a command that makes the state machine panic"
        );
        self.0.push(command);
        (position.index, self.0.len())
    }

    fn snapshot(&self) -> Result<Vec<u8>> {
        Ok(self
            .0
            .iter()
            .flat_map(|number| number.to_le_bytes())
            .collect())
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        let numbers = bytes.chunks_exact(8).map(|chunk| chunk.try_into().unwrap());
        self.0 = numbers.map(u64::from_le_bytes).collect();
        Ok(())
    }
}

/// Replicas that are connected through channels.
#[derive(Default)]
struct Cluster {
    replicas: HashMap<String, std::sync::Arc<ConsensusReplica<CommandList>>>,
    faults: HashMap<String, std::sync::Arc<Faults>>,
    failures: HashMap<String, oneshot::Receiver<Error>>,
    routes: std::sync::Arc<
        std::sync::Mutex<HashMap<String, std::sync::Weak<ConsensusReplica<CommandList>>>>,
    >,
}

impl Cluster {
    fn start(&mut self, folder: &Path, names: &[&str], name: &str, spare: bool) {
        let (outgoing, mut messages) = mpsc::channel::<Message>(1_024);
        let settings = Settings {
            node: name.into(),
            folder: folder.join(name),
            consensus: consensus::Settings {
                peers: names.iter().map(|name| (*name).into()).collect(),
                spare,
                heartbeat: Duration::from_millis(40),
                election_timeout: Duration::from_millis(200),
                repair_after: Duration::from_millis(800),
                snapshot_entries: 50,
                trailing_entries: 10,
                ..consensus::Settings::default()
            },
            ..Settings::default()
        };
        let folder = FaultyFolder {
            disk: Disk::open(&settings.folder).unwrap(),
            faults: self.faults.entry(name.into()).or_default().clone(),
        };
        let started =
            ConsensusReplica::start_in(folder, settings, CommandList::default(), outgoing);
        let (replica, failure) = started.unwrap();
        let replica = std::sync::Arc::new(replica);
        self.routes
            .lock()
            .unwrap()
            .insert(name.into(), std::sync::Arc::downgrade(&replica));
        self.replicas.insert(name.into(), replica);
        self.failures.insert(name.into(), failure);
        let routes = self.routes.clone();
        tokio::spawn(async move {
            while let Some(message) = messages.recv().await {
                let to = routes.lock().unwrap().get(message.to.as_str()).cloned();
                if let Some(replica) = to.and_then(|replica| replica.upgrade()) {
                    replica.receive(message);
                }
            }
        });
    }

    /// Stops a replica and waits until its folder is free.
    async fn stop(&mut self, name: &str) {
        drop(self.replicas.remove(name));
        let _ = self.failures.remove(name).unwrap().await;
    }

    async fn wait_for_leader(&self) -> String {
        let leader = async {
            loop {
                let leads = |r: &ConsensusReplica<CommandList>| r.status().leads_until.is_some();
                if let Some((name, _)) = self.replicas.iter().find(|(_, replica)| leads(replica)) {
                    return name.clone();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let elected = timeout(TIMEOUT, leader).await;
        elected.unwrap_or_else(|_| panic!("no leader: {:#?}", self.statuses()))
    }

    fn statuses(&self) -> Vec<(&String, control::replica::Status)> {
        let replicas = self.replicas.iter();
        replicas
            .map(|(name, replica)| (name, replica.status()))
            .collect()
    }

    async fn propose(&self, command: u64) -> (u64, usize) {
        let done = async {
            loop {
                let leader = self.wait_for_leader().await;
                if let Ok(output) = self.replicas[&leader].propose(command).await {
                    return output;
                }
            }
        };
        let committed = timeout(TIMEOUT, done).await;
        committed.unwrap_or_else(|_| panic!("no commit: {:#?}", self.statuses()))
    }
}

#[gtest]
#[tokio::test]
async fn can_found_a_group_and_keep_committed_state_over_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    for command in 1..=120 {
        let (_, count) = cluster.propose(command).await;
        expect_that!(count, eq(command as usize));
    }
    for name in names {
        cluster.stop(name).await;
    }
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    let (_, count) = cluster.propose(121).await;
    expect_that!(count, eq(121));
    for name in names {
        let barrier = timeout(TIMEOUT, cluster.replicas[name].read_barrier()).await;
        expect_that!(barrier, ok(anything()));
    }
}

#[gtest]
#[tokio::test]
async fn errors_on_a_proposal_where_the_replica_does_not_lead() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    let leader = cluster.wait_for_leader().await;
    let follower = names.iter().find(|name| **name != leader).unwrap();
    let refused = cluster.replicas[*follower].propose(1).await.unwrap_err();
    expect_that!(refused.step(), eq(Step::Route));
    expect_true!(matches!(refused.peer(), Peer::Name(_) | Peer::Local));
}

#[gtest]
#[tokio::test]
async fn can_transfer_leadership() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    cluster.propose(1).await;
    let leader = cluster.wait_for_leader().await;
    let transferred = cluster.replicas[&leader].transfer_leadership().await;
    expect_that!(transferred, ok(anything()));
    expect_that!(cluster.replicas[&leader].status().leads_until, none());
    cluster.propose(2).await;
    expect_that!(cluster.wait_for_leader().await, not(eq(&leader)));
}

#[gtest]
#[tokio::test]
async fn can_rejoin_and_vote_again_after_its_folder_was_lost() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    for command in 1..=200 {
        cluster.propose(command).await;
    }
    let leader = cluster.wait_for_leader().await;
    let lost = *names.iter().find(|name| **name != leader).unwrap();
    cluster.stop(lost).await;
    std::fs::remove_dir_all(folder.path().join(lost)).unwrap();
    cluster.start(folder.path(), &names, lost, false);
    let is_restored = async {
        loop {
            let status = cluster.replicas[lost].status();
            let is_complete = status.voters.len() == 3 && status.learners.is_empty();
            if is_complete && !status.is_swapping && status.commit_index > 200 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    expect_that!(timeout(TIMEOUT, is_restored).await, ok(anything()));
    let other = *names
        .iter()
        .find(|name| **name != lost && **name != leader)
        .unwrap();
    cluster.stop(other).await;
    let (_, count) = cluster.propose(201).await;
    expect_that!(count, eq(201));
}

#[gtest]
#[tokio::test]
async fn ends_on_a_failed_sync_while_the_others_go_on() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    cluster.propose(1).await;
    let leader = cluster.wait_for_leader().await;
    cluster.faults[&leader]
        .sync_fails
        .store(true, Ordering::Relaxed);
    // The other replicas may commit the proposal before the leader's own sync fails.
    let committed = match cluster.replicas[&leader].propose(2).await {
        Ok((_, number)) => {
            expect_that!(number, eq(2));
            true
        }
        Err(error) => {
            expect_that!(error.step(), eq(Step::Commit));
            false
        }
    };
    let failure = cluster.failures.remove(&leader).unwrap();
    let failure = timeout(TIMEOUT, failure).await.unwrap().unwrap();
    expect_that!(failure.step(), eq(Step::Store));
    expect_that!(
        failure.to_string(),
        contains_substring("the disk reports an error")
    );
    drop(cluster.replicas.remove(&leader));
    let (_, count) = cluster.propose(3).await;
    expect_that!(count, ge(if committed { 3 } else { 2 }));
}

#[gtest]
#[tokio::test]
async fn can_lose_leadership_to_others_while_the_disk_is_full() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c"];
    let mut cluster = Cluster::default();
    names
        .iter()
        .for_each(|name| cluster.start(folder.path(), &names, name, false));
    cluster.propose(1).await;
    let leader = cluster.wait_for_leader().await;
    cluster.faults[&leader]
        .disk_is_full
        .store(true, Ordering::Relaxed);
    let replica = cluster.replicas[&leader].clone();
    let proposal = tokio::spawn(async move { replica.propose(2).await });
    let lost_leadership = async {
        while cluster.replicas[&leader].status().leads_until.is_some() {
            sleep(POLL_INTERVAL).await;
        }
    };
    expect_that!(timeout(TIMEOUT, lost_leadership).await, ok(anything()));
    let (_, count) = cluster.propose(3).await;
    expect_that!(cluster.wait_for_leader().await, not(eq(&leader)));
    cluster.faults[&leader]
        .disk_is_full
        .store(false, Ordering::Relaxed);
    let settled = timeout(TIMEOUT, proposal).await.unwrap().unwrap();
    // The other replicas may have committed the proposal: its result must agree with their state.
    match settled {
        Ok((_, number)) => expect_that!((number, count), eq((2, 3))),
        Err(error) => expect_that!(error.step(), eq(Step::Commit)),
    }
    let barrier = async {
        while cluster.replicas[&leader].read_barrier().await.is_err() {
            sleep(POLL_INTERVAL).await;
        }
    };
    expect_that!(timeout(TIMEOUT, barrier).await, ok(anything()));
}

/// Time for which a disk is full: longer than it takes to replace its voter.
const FULL_TIME: Duration = Duration::from_millis(1_500);

#[gtest]
#[tokio::test]
async fn commits_after_the_disks_of_all_replicas_were_full_one_after_the_other() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["a", "b", "c", "d"];
    let mut cluster = Cluster::default();
    for name in names {
        cluster.start(folder.path(), &names, name, name == "d");
    }
    let mut command = 1;
    cluster.propose(command).await;
    for name in names.iter().chain(&names) {
        let is_full = &cluster.faults[*name].disk_is_full;
        is_full.store(true, Ordering::Relaxed);
        let end = tokio::time::Instant::now() + FULL_TIME;
        while tokio::time::Instant::now() < end {
            command += 1;
            cluster.propose(command).await;
        }
        is_full.store(false, Ordering::Relaxed);
    }
    let last = cluster.propose(command + 1).await;
    expect_that!(last.1, ge(command as usize));
    for name in names {
        let barrier = async {
            while cluster.replicas[name].read_barrier().await.is_err() {
                sleep(POLL_INTERVAL).await;
            }
        };
        expect_that!(timeout(TIMEOUT, barrier).await, ok(anything()), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn ends_on_a_state_machine_that_panics() {
    let folder = tempfile::tempdir().unwrap();
    let mut cluster = Cluster::default();
    cluster.start(folder.path(), &["a"], "a", false);
    cluster.propose(1).await;
    let proposal = cluster.replicas["a"].propose(PANIC).await;
    expect_that!(proposal.unwrap_err().step(), eq(Step::Commit));
    let failure = cluster.failures.remove("a").unwrap();
    let failure = timeout(TIMEOUT, failure).await.unwrap().unwrap();
    expect_that!(
        failure.to_string(),
        contains_substring("the state machine panicked")
    );
}
