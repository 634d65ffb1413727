//! What the leader tells entries of each other's work.

use std::time::Duration;

use googletest::prelude::*;
use wire::{Report, Work};

use crate::single_control::{control, member, wait_until};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const WORK: Work = Work {
    requests: 3,
    prefill_tokens: 9_000,
    work_ms: None,
};

#[tokio::test(flavor = "multi_thread")]
async fn is_told_in_the_form_that_each_entry_reads() {
    let process = control().await;
    let members = ["entry-1", "entry-2"].map(|name| member(name, process.peer_address));
    for member in &members {
        wait_until(member, |view| view.control_reachable).await;
    }
    let busy = Report {
        work: vec![("engine-1".into(), WORK)],
        ..Report::default()
    };
    let told = members[0].report(busy, ANSWER_TIMEOUT).await;
    let told = told.expect("the leader answers");
    assert_that!(told.work, eq(&vec![("engine-1".into(), WORK)]));
    assert_that!(told.work_table, none());
    let reads_table = Report {
        reads_work_table: true,
        ..Report::default()
    };
    let told = members[1].report(reads_table, ANSWER_TIMEOUT).await;
    let told = told.expect("the leader answers");
    assert_that!(told.work, is_empty());
    let table = told.work_table.expect("the entry reads it");
    assert_that!(table.of([("engine-1", 1)]), eq(&vec![(1, WORK)]));
}
