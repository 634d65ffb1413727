//! Measures the replicated log with several replicas in one process, with real files and syncs.
//!
//! Run with `cargo run --release -p control --example replica -- [FOLDER]`.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use consensus::{Message, Position};
use control::replica::{ConsensusReplica, Replica, Settings, StateMachine};
use errors::{Error, Result};
use hdrhistogram::Histogram;
use tokio::sync::{mpsc, oneshot};

/// Size of a command, in bytes.
const COMMAND_BYTES: usize = 100;
/// Time for which proposals are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Largest latency in the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A state machine that counts its commands.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    type Command = Vec<u8>;
    type Output = u64;

    fn apply(&mut self, _: Position, _: Vec<u8>) -> u64 {
        self.0 += 1;
        self.0
    }

    fn snapshot(&self) -> Result<Vec<u8>> {
        Ok(self.0.to_le_bytes().to_vec())
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        let bytes = bytes.try_into().unwrap_or_default();
        self.0 = u64::from_le_bytes(bytes);
        Ok(())
    }
}

type Routes = Arc<Mutex<HashMap<String, Weak<ConsensusReplica<Counter>>>>>;

/// Replicas that are connected through channels.
struct Cluster {
    folder: PathBuf,
    names: Vec<String>,
    replicas: HashMap<String, Arc<ConsensusReplica<Counter>>>,
    failures: HashMap<String, oneshot::Receiver<Error>>,
    routes: Routes,
}

impl Cluster {
    fn new(folder: &Path, voters: usize) -> Self {
        let mut cluster = Cluster {
            folder: folder.join(format!("bench-{voters}")),
            names: (0..voters).map(|index| format!("n{index}")).collect(),
            replicas: HashMap::new(),
            failures: HashMap::new(),
            routes: Routes::default(),
        };
        let _ = std::fs::remove_dir_all(&cluster.folder);
        cluster
            .names
            .clone()
            .iter()
            .for_each(|name| cluster.start(name));
        cluster
    }

    fn start(&mut self, name: &str) {
        let (outgoing, mut messages) = mpsc::channel::<Message>(65_536);
        let settings = Settings {
            node: name.into(),
            folder: self.folder.join(name),
            consensus: consensus::Settings {
                peers: self.names.iter().map(|name| name.as_str().into()).collect(),
                repair_after: Duration::from_secs(3_600),
                ..consensus::Settings::default()
            },
            ..Settings::default()
        };
        let started = ConsensusReplica::start(settings, Counter::default(), outgoing);
        let (replica, failure) = started.expect("the data folder can be opened");
        self.failures.insert(name.into(), failure);
        let replica = Arc::new(replica);
        let routes = self.routes.clone();
        let mut table = routes.lock().unwrap();
        table.insert(name.into(), Arc::downgrade(&replica));
        drop(table);
        self.replicas.insert(name.into(), replica);
        tokio::spawn(async move {
            while let Some(message) = messages.recv().await {
                let to = routes.lock().unwrap().get(message.to.as_str()).cloned();
                if let Some(replica) = to.and_then(|replica| replica.upgrade()) {
                    replica.receive(message);
                }
            }
        });
    }

    async fn stop(&mut self, name: &str) {
        self.replicas.remove(name);
        if let Some(failure) = self.failures.remove(name) {
            let _ = failure.await;
        }
    }

    async fn wait_for_leader(&self) -> Arc<ConsensusReplica<Counter>> {
        loop {
            let mut replicas = self.replicas.values();
            if let Some(replica) = replicas.find(|replica| replica.status().leads_until.is_some()) {
                return replica.clone();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the name of a replica that is not the leader.
    async fn follower(&self) -> String {
        self.wait_for_leader().await;
        let mut replicas = self.replicas.iter();
        let follower = replicas.find(|(_, replica)| replica.status().leads_until.is_none());
        follower
            .map(|(name, _)| name.clone())
            .expect("more than one replica")
    }
}

async fn throughput(cluster: &Cluster, concurrency: usize) {
    let leader = cluster.wait_for_leader().await;
    let begin = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            let leader = leader.clone();
            tokio::spawn(async move {
                let mut latencies = Vec::new();
                while begin.elapsed() < MEASUREMENT_TIME {
                    let sent_at = Instant::now();
                    match leader.propose(vec![7; COMMAND_BYTES]).await {
                        Ok(_) => latencies.push(sent_at.elapsed()),
                        Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                    }
                }
                latencies
            })
        })
        .collect();
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
    for worker in workers {
        for latency in worker.await.expect("the worker does not panic") {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }
    let rate = histogram.len() as f64 / begin.elapsed().as_secs_f64();
    println!(
        "{} voters, {concurrency} concurrent proposals: {rate:.0}/s, p50 {:.2} ms, p99 {:.2} ms",
        cluster.names.len(),
        histogram.value_at_quantile(0.5) as f64 / 1e3,
        histogram.value_at_quantile(0.99) as f64 / 1e3,
    );
}

async fn propose(leader: &Arc<ConsensusReplica<Counter>>, count: usize) {
    const CONCURRENCY: usize = 256;
    let mut remaining = count;
    while remaining > 0 {
        let batch = remaining.min(CONCURRENCY);
        let workers: Vec<_> = (0..batch)
            .map(|_| {
                let leader = leader.clone();
                tokio::spawn(async move { leader.propose(vec![7; COMMAND_BYTES]).await })
            })
            .collect();
        for worker in workers {
            worker
                .await
                .expect("the worker does not panic")
                .expect("the command is committed");
        }
        remaining -= batch;
    }
}

async fn catch_up(cluster: &mut Cluster, count: usize) {
    let follower = cluster.follower().await;
    cluster.stop(&follower).await;
    let leader = cluster.wait_for_leader().await;
    propose(&leader, count).await;
    let target = leader.status().commit_index;
    let begin = Instant::now();
    cluster.start(&follower);
    while cluster.replicas[&follower].status().commit_index < target {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!(
        "{} voters: catch-up after {count} entries in {} ms",
        cluster.names.len(),
        begin.elapsed().as_millis()
    );
}

async fn election(cluster: &mut Cluster) {
    let leader = cluster.wait_for_leader().await;
    let mut replicas = cluster.replicas.iter();
    let leading = replicas.find(|(_, replica)| Arc::ptr_eq(replica, &leader));
    let name = leading
        .map(|(name, _)| name.clone())
        .expect("one replica is the leader");
    drop(leader);
    cluster.stop(&name).await;
    let begin = Instant::now();
    cluster.wait_for_leader().await;
    println!(
        "{} voters: a new leader {} ms after the last one stopped",
        cluster.names.len(),
        begin.elapsed().as_millis()
    );
    cluster.start(&name);
}

#[tokio::main(worker_threads = 4)]
async fn main() {
    let folder = std::env::args().nth(1);
    let folder = folder.map_or_else(std::env::temp_dir, PathBuf::from);
    for voters in [3, 5] {
        let mut cluster = Cluster::new(&folder, voters);
        for concurrency in [1, 64, 512] {
            throughput(&cluster, concurrency).await;
        }
        for count in [100, 1_000, 10_000] {
            catch_up(&mut cluster, count).await;
        }
        for _ in 0..5 {
            election(&mut cluster).await;
        }
        for name in cluster.names.clone() {
            cluster.stop(&name).await;
        }
        let _ = std::fs::remove_dir_all(&cluster.folder);
    }
}
