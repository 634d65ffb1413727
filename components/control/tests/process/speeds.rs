//! What the leader tells entries of the speeds of upstreams.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use performance::{Evidence, Moment};
use wire::{MomentTable, Report, SpeedTable, Work};

use crate::single_control::{control, member, wait_until};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const PROCESS: (&str, u64) = ("engine-1", 3);

fn report(log: f64, age: Duration) -> Report {
    let now = Instant::now();
    let at = now.checked_sub(age).expect("it is later");
    Report {
        work: vec![(
            "engine-1".into(),
            Work {
                requests: 2,
                prefill_tokens: 100,
                work_ms: Some(300),
            },
        )],
        reads_work_table: true,
        speeds: SpeedTable::new([(PROCESS, Evidence::new(10.0, log))]),
        moments: MomentTable::new([(PROCESS, Moment { log, at })], now),
        ..Report::default()
    }
}

/// Guards against speeds and work of which a leader that has just begun tells nothing until entries
/// have learned them anew.
#[tokio::test(flavor = "multi_thread")]
async fn are_the_sums_of_the_first_reports_of_all_entries() {
    let process = control().await;
    let members = ["entry-1", "entry-2"].map(|name| member(name, process.peer_address));
    for member in &members {
        wait_until(member, |view| view.control_reachable).await;
    }
    let first = report(-0.6, Duration::from_millis(400));
    let told = members[0].report(first, ANSWER_TIMEOUT).await;
    assert_that!(told.is_ok(), eq(true));
    let second = report(0.4, Duration::ZERO);
    let told = members[1].report(second.clone(), ANSWER_TIMEOUT).await;
    let told = told.expect("the leader answers");
    let speeds = told.speeds.expect("the entry was not told before");
    let evidence: Vec<Evidence> = speeds.of([PROCESS]).collect();
    assert_that!(evidence[0].weight, near(20.0, 0.1));
    assert_that!(evidence[0].average(), near(-0.1, 0.02));
    let moments = told.moments.of([PROCESS], Instant::now());
    let moment = moments.flatten().next().expect("one is known");
    assert_that!(moment.log, near(0.4, 0.01));
    let table = told.work_table.expect("the entry reads it");
    let work = table.with(&told.work_ms, [("engine-1", 1)]);
    assert_that!(work[0].1.work_ms, some(eq(600)));
    // Speeds change slowly, and are not told with each report.
    let again = members[1].report(second, ANSWER_TIMEOUT).await;
    assert_that!(again.expect("the leader answers").speeds, none());
}
