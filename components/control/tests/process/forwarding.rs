//! A control process without a disk beside a group of three.

use std::time::Duration;

use config::Settings;
use config::keys::{Keys, Secret};
use control::external::{Operation, Reply};
use control::replica::{ForwardingReplica, Replica};
use control::{Process, Sockets, start_forwarding};
use googletest::prelude::*;
use state::text::Replacement;
use tokio::time::{Instant, sleep};

use crate::control_group::ControlGroup;
use crate::single_control::{SECRET, any_port, fresh_version, text, wait_until};

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

fn replacement(version: u64, name: &str) -> Operation {
    Operation::Replace(Replacement {
        version,
        operator: "ana".into(),
        source: text(name),
    })
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
    assert_that!(process.node.replica().status().learners.len(), eq(3));
}
