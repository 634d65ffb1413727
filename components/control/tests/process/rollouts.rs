//! Roll-outs at a group of control processes, with entries that report what they counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use control::client::Outcome as Submitted;
use control::external::{Operation, Reply};
use fleet::Member;
use googletest::prelude::*;
use rollout::{Counts, Stage};
use state::rollouts::{Order, Phase, Rollout};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::Report;

use crate::control_group::ControlGroup;
use crate::single_control::{fresh_version, submission, text, wait_until};

const SERVICE: &str = "bookings";
/// Time from an order to its deadline.
const DURATION: Duration = Duration::from_secs(16);
/// Longest wait for an answer of the leader to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Requests of an entry between two reports.
const REQUESTS: u64 = 40;
/// Time of a request.
const TIME: Duration = Duration::from_millis(20);

fn order(to: &str) -> Operation {
    Operation::BeginRollout(Order {
        service: SERVICE.into(),
        to: to.into(),
        duration_ms: DURATION.as_millis() as u64,
    })
}

/// Returns whether the new version fails.
type IsBad = Arc<AtomicBool>;

/// Reports what an entry counts, until it is aborted.
fn serve(member: Member, is_bad: IsBad) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut counted = rollout::Report::default();
        loop {
            let rollouts = match counted.number {
                0 => Vec::new(),
                _ => vec![counted.clone()],
            };
            let report = Report {
                rollouts,
                reads_rollouts: true,
                ..Report::default()
            };
            if let Ok(overview) = member.report(report, REPORT_TIMEOUT).await {
                match overview.rollouts.first() {
                    Some(stage) => count(&mut counted, stage, is_bad.load(Ordering::SeqCst)),
                    None => counted = rollout::Report::default(),
                }
            }
            sleep(REPORT_PERIOD).await;
        }
    })
}

fn count(counted: &mut rollout::Report, stage: &Stage, is_bad: bool) {
    if counted.number != stage.number {
        *counted = rollout::Report {
            number: stage.number,
            ..rollout::Report::default()
        };
    }
    counted.phase = Some(stage.phase);
    let new = (stage.share * REQUESTS as f64).round() as u64;
    let mut add = |is_new: bool, number: u64| {
        let version = match is_new {
            true => &mut counted.new,
            false => &mut counted.old,
        };
        let counts: &mut Counts = version.route_mut("a").expect("it is the only one");
        for _ in 0..number {
            counts.sent += 1;
            counts.record(TIME, is_new && is_bad);
        }
    };
    add(true, new);
    add(false, REQUESTS - new);
}

/// Three control processes with two entries.
struct Deployment {
    group: ControlGroup,
    entries: Vec<JoinHandle<()>>,
    is_bad: IsBad,
}

impl Deployment {
    async fn start() -> Deployment {
        let group = ControlGroup::start();
        let leader = group.wait_for_leader().await;
        let client = group.operator(leader);
        let first = client.submit(&submission(0, "a", text("first"))).await;
        assert_that!(first, ok(eq(&Submitted::InForce { version: 1 })));
        let is_bad = IsBad::default();
        let mut entries = Vec::new();
        for name in ["entry-1", "entry-2"] {
            let member = group.member(name);
            wait_until(&member, |view| fresh_version(view) == Some(1)).await;
            entries.push(serve(member, is_bad.clone()));
        }
        Deployment {
            group,
            entries,
            is_bad,
        }
    }

    async fn execute(&self, process: usize, operation: Operation) -> Reply {
        let process = self.group.processes[process].as_ref();
        let node = process.expect("the process runs").node.clone();
        node.execute(operation).await
    }

    /// Returns the roll-out as the first process tells that can be sure of it.
    async fn read(&self) -> Rollout {
        let deadline = Instant::now() + Duration::from_secs(60);
        loop {
            for process in 0..3 {
                if self.group.processes[process].is_none() {
                    continue;
                }
                let read = Operation::ReadRollout(SERVICE.into());
                if let Reply::Rollout(rollout) = self.execute(process, read).await {
                    return rollout;
                }
            }
            assert!(Instant::now() < deadline, "nobody tells of the roll-out");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the leader, and starts it again once there is another one.
    async fn kill_leader(&mut self) {
        let leader = self.group.wait_for_leader().await;
        self.group.crash(leader);
        self.group.wait_for_leader().await;
        self.group.restart(leader).await;
    }

    /// Waits until one of the phases has begun.
    async fn wait_for(&self, phases: &[Phase]) -> Rollout {
        let deadline = Instant::now() + Duration::from_secs(60);
        loop {
            let rollout = self.read().await;
            if phases.contains(&rollout.phase) {
                return rollout;
            }
            assert!(Instant::now() < deadline, "{rollout:?}, not {phases:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for entry in &self.entries {
            entry.abort();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledges_an_order_again_at_any_process_and_lets_one_of_two_different_ones_win() {
    let deployment = Deployment::start().await;
    let unknown = Operation::BeginRollout(Order {
        service: "nowhere".into(),
        to: "v2".into(),
        duration_ms: 1_000,
    });
    let refused = deployment.execute(0, unknown).await;
    assert_that!(refused, matches_pattern!(Reply::Invalid(anything())));
    let read = Operation::ReadRollout(SERVICE.into());
    assert_that!(deployment.execute(1, read).await, eq(&Reply::NoRollout));
    let (first, second) = tokio::join!(
        deployment.execute(0, order("v2")),
        deployment.execute(1, order("v3")),
    );
    let won = match (&first, &second) {
        (Reply::Acknowledged, Reply::Conflict(_)) => ("v2", "v3"),
        (Reply::Conflict(_), Reply::Acknowledged) => ("v3", "v2"),
        other => panic!("{other:?}"),
    };
    for process in 0..3 {
        let again = deployment.execute(process, order(won.0)).await;
        assert_that!(again, eq(&Reply::Acknowledged));
        let other = deployment.execute(process, order(won.1)).await;
        assert_that!(other, matches_pattern!(Reply::Conflict(anything())));
    }
    let rollout = deployment.read().await;
    assert_that!(rollout.to, eq(won.0));
    assert_that!(rollout.phase, eq(Phase::Canary));
}

// An order or a state that only one process knows may be lost with it.
#[tokio::test(flavor = "multi_thread")]
async fn neither_acknowledges_nor_tells_without_a_quorum() {
    let mut deployment = Deployment::start().await;
    let acknowledged = deployment.execute(0, order("v2")).await;
    assert_that!(acknowledged, eq(&Reply::Acknowledged));
    let leader = deployment.group.wait_for_leader().await;
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        deployment.group.crash(other);
    }
    let again = deployment.execute(leader, order("v2")).await;
    assert_that!(again, matches_pattern!(Reply::Unavailable(anything())));
    let read = Operation::ReadRollout(SERVICE.into());
    let read = deployment.execute(leader, read).await;
    assert_that!(read, matches_pattern!(Reply::Unavailable(anything())));
    for other in others {
        deployment.group.restart(other).await;
    }
    assert_that!(deployment.read().await.to, eq("v2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn completes_a_good_version_though_the_leader_is_killed_between_each_two_steps() {
    let mut deployment = Deployment::start().await;
    let acknowledged = deployment.execute(0, order("v2")).await;
    assert_that!(acknowledged, eq(&Reply::Acknowledged));
    deployment.kill_leader().await;
    assert_that!(deployment.read().await.phase, eq(Phase::Canary));
    sleep(Duration::from_secs(3)).await;
    deployment.kill_leader().await;
    deployment.wait_for(&[Phase::Moving, Phase::Moved]).await;
    deployment.kill_leader().await;
    let moved = deployment.wait_for(&[Phase::Moved, Phase::Completed]).await;
    if moved.phase == Phase::Moved {
        deployment.kill_leader().await;
    }
    let rollout = deployment
        .wait_for(&[Phase::Completed, Phase::RolledBack])
        .await;
    assert_that!(rollout.phase, eq(Phase::Completed), "{rollout:?}");
    assert_that!(rollout.phase_at, le(rollout.deadline()));
    deployment.kill_leader().await;
    assert_that!(deployment.read().await, eq(&rollout));
}

#[tokio::test(flavor = "multi_thread")]
async fn rolls_a_version_back_that_turns_bad_though_the_leader_is_killed() {
    let mut deployment = Deployment::start().await;
    let acknowledged = deployment.execute(0, order("v2")).await;
    assert_that!(acknowledged, eq(&Reply::Acknowledged));
    sleep(Duration::from_secs(3)).await;
    deployment.is_bad.store(true, Ordering::SeqCst);
    deployment.kill_leader().await;
    let rollout = deployment
        .wait_for(&[Phase::Completed, Phase::RolledBack])
        .await;
    assert_that!(rollout.phase, eq(Phase::RolledBack), "{rollout:?}");
    assert_that!(rollout.reason, contains_substring("route a"));
    deployment.kill_leader().await;
    assert_that!(deployment.read().await, eq(&rollout));
    let other = deployment.execute(0, order("v3")).await;
    assert_that!(other, eq(&Reply::Acknowledged));
}

// The phases that the log has hold after a kill of all processes as well.
#[tokio::test(flavor = "multi_thread")]
async fn continues_after_all_processes_were_killed() {
    let mut deployment = Deployment::start().await;
    let acknowledged = deployment.execute(0, order("v2")).await;
    assert_that!(acknowledged, eq(&Reply::Acknowledged));
    let before = deployment.read().await;
    for process in 0..3 {
        deployment.group.crash(process);
    }
    for process in 0..3 {
        deployment.group.restart(process).await;
    }
    assert_that!(deployment.read().await, eq(&before));
    let again = deployment.execute(1, order("v2")).await;
    assert_that!(again, eq(&Reply::Acknowledged));
    let rollout = deployment
        .wait_for(&[Phase::Completed, Phase::RolledBack])
        .await;
    assert_that!(rollout.phase, eq(Phase::Completed), "{rollout:?}");
    assert_that!(rollout.number, eq(before.number));
}

// An entry of an earlier release would send the new version as much as the old one.
#[tokio::test(flavor = "multi_thread")]
async fn begins_no_rollout_while_an_entry_does_not_keep_to_it() {
    let deployment = Deployment::start().await;
    let member = deployment.group.member("entry-3");
    wait_until(&member, |view| fresh_version(view) == Some(1)).await;
    let older = tokio::spawn(async move {
        loop {
            let _ = member.report(Report::default(), REPORT_TIMEOUT).await;
            sleep(REPORT_PERIOD).await;
        }
    });
    sleep(REPORT_PERIOD * 5).await;
    let refused = deployment.execute(0, order("v2")).await;
    assert_that!(refused, matches_pattern!(Reply::Unavailable(anything())));
    older.abort();
    // Its last report counts for some time.
    sleep(Duration::from_secs(3)).await;
    let acknowledged = deployment.execute(0, order("v2")).await;
    assert_that!(acknowledged, eq(&Reply::Acknowledged));
}
