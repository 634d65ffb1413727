//! Replicas of which one can't read what a later release writes to the log.

use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ciborium::Value;
use consensus::Message;
use control::replica::{ConsensusReplica, Replica, Settings, StateMachine};
use errors::Result;
use googletest::prelude::*;
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::wait_until;

/// Commands that were applied.
#[derive(Debug)]
struct Applied<C>(Arc<Mutex<Vec<C>>>);

impl<C> Applied<C> {
    fn count(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

impl<C> StateMachine for Applied<C>
where
    C: Serialize + DeserializeOwned + Send + 'static,
{
    type Command = C;
    type Output = ();

    fn apply(&mut self, _position: consensus::Position, command: C) {
        let mut applied = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        applied.push(command);
    }

    fn snapshot(&self) -> Result<Vec<u8>> {
        Ok(Vec::new())
    }

    fn restore(&mut self, _bytes: &[u8]) -> Result<()> {
        Ok(())
    }
}

type Receivers = Arc<Mutex<IndexMap<String, Box<dyn Fn(Message) + Send>>>>;

fn start<C>(
    name: &str,
    folder: &Path,
    receivers: &Receivers,
) -> (Arc<ConsensusReplica<Applied<C>>>, Applied<C>)
where
    C: Serialize + DeserializeOwned + Send + 'static,
{
    let applied: Applied<C> = Applied(Arc::default());
    let settings = Settings {
        node: name.into(),
        folder: folder.join(name),
        consensus: consensus::Settings {
            peers: ["a", "b", "c"].map(Into::into).to_vec(),
            heartbeat: Duration::from_millis(40),
            election_timeout: Duration::from_millis(200),
            ..consensus::Settings::default()
        },
        ..Settings::default()
    };
    let (outgoing, mut messages) = mpsc::channel::<Message>(1_024);
    let started = ConsensusReplica::start(settings, Applied(applied.0.clone()), outgoing);
    let replica = Arc::new(started.expect("the folder can be used").0);
    let receiver = Arc::downgrade(&replica);
    let receive = move |message| {
        if let Some(replica) = receiver.upgrade() {
            replica.receive(message);
        }
    };
    let lock = |receivers: &Receivers, message: Message| {
        let receivers = receivers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(receive) = receivers.get(message.to.as_str()) {
            receive(message);
        }
    };
    receivers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(name.to_owned(), Box::new(receive));
    let receivers = receivers.clone();
    tokio::spawn(async move {
        while let Some(message) = messages.recv().await {
            lock(&receivers, message);
        }
    });
    (replica, applied)
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_a_voter_that_can_t_read_a_log_entry_and_never_elects_it() {
    let folder = TempDir::new().expect("a folder can be made");
    let receivers = Receivers::default();
    let (a, applied_a) = start::<Value>("a", folder.path(), &receivers);
    let (b, applied_b) = start::<Value>("b", folder.path(), &receivers);
    let (older, applied) = start::<u64>("c", folder.path(), &receivers);
    let leads = |replica: &ConsensusReplica<Applied<Value>>| replica.status().leads_until.is_some();
    let propose = async |command: Value| {
        for _ in 0..500 {
            for replica in [&a, &b] {
                if replica.propose(command.clone()).await.is_ok() {
                    return;
                }
            }
            // The older voter may lead as long as it can read the log.
            let _ = older.transfer_leadership().await;
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no leader takes the command");
    };
    propose(Value::from(1)).await;
    wait_until("the first command", || applied.count() == 1).await;
    propose(Value::from("of a later release")).await;
    propose(Value::from(3)).await;
    wait_until("the third command", || {
        applied_a.count() == 3 && applied_b.count() == 3
    })
    .await;
    assert_that!(older.read_barrier().await, err(anything()));
    assert_that!(applied.count(), eq(1));

    // Its vote and its log still count: the other two are not needed both.
    receivers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .swap_remove("a");
    for number in 4..40 {
        propose(Value::from(number)).await;
    }
    wait_until("all commands", || applied_b.count() >= 39).await;
    assert_that!(leads(&b), eq(true));
    assert_that!(older.status().leads_until, none());
    assert_that!(applied.count(), eq(1));
}
