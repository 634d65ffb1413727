//! Large texts in quick succession, before as many entries as a grown deployment has, over links
//! with a bounded bandwidth.

mod deployment;
mod network;
mod text;

use std::time::{Duration, Instant};

use deployment::{Acknowledged, Deployment};
use googletest::prelude::*;
use text::Document;

/// Time from the acknowledgement of a text until no entry serves an older one.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Longest time from sending a text to its acknowledgement, without the time for its routes.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(5);
/// Time after which control processes that were killed count as back.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Longest time from the start of all processes until entries serve.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Routes of the text that is in force first.
const ROUTES: usize = 100;
/// Routes that a text adds.
const MORE_ROUTES: usize = 1_400;

/// Checks that a text was acknowledged, and is in force at all entries, in time.
fn check_in_force(deployment: &Deployment, document: &Document, acknowledged: Acknowledged) {
    let allowed = ACKNOWLEDGE_TIME + document.time_to_read();
    let version = document.version;
    expect_that!(
        acknowledged.elapsed(),
        le(allowed),
        "acknowledgement of version {version}"
    );
    let deadline = acknowledged.at + APPLY_TIME;
    let missing = deployment.wait_until_in_force(version, deadline);
    expect_that!(
        missing.len(),
        eq(0),
        "entries without version {version} in time"
    );
}

#[gtest]
fn puts_large_texts_in_force_at_all_entries_in_quick_succession() {
    let deployment = Deployment::start();
    let first = Document::new(3, ROUTES);
    deployment.submit(&first);
    deployment.wait_until_in_force(3, Instant::now() + RECOVERY_TIME);
    let term = deployment.term();

    let larger = first.with_more_routes(5, MORE_ROUTES);
    let changed = larger.with_other_timeouts(8);
    let largest = changed.with_more_routes(11, MORE_ROUTES);
    let changed_again = largest.with_other_timeouts(14);
    for document in [larger, changed, largest, changed_again] {
        let acknowledged = deployment.submit(&document);
        check_in_force(&deployment, &document, acknowledged);
    }
    expect_that!(deployment.term(), eq(term), "the leader stepped down");
}

#[gtest]
fn acknowledges_large_texts_that_follow_each_other_at_once() {
    let deployment = Deployment::start();
    let first = Document::new(3, ROUTES);
    deployment.submit(&first);
    deployment.wait_until_in_force(3, Instant::now() + RECOVERY_TIME);

    let mut document = first.with_more_routes(4, MORE_ROUTES);
    let mut submitted = Vec::new();
    for version in 5..12 {
        submitted.push((document.clone(), deployment.submit(&document)));
        document = document.with_other_timeouts(version);
    }
    for (document, acknowledged) in submitted {
        check_in_force(&deployment, &document, acknowledged);
    }
}

#[gtest]
fn puts_a_large_text_in_force_although_the_leader_is_killed() {
    let mut deployment = Deployment::start();
    let first = Document::new(3, ROUTES);
    deployment.submit(&first);
    deployment.wait_until_in_force(3, Instant::now() + RECOVERY_TIME);

    let larger = first.with_more_routes(5, MORE_ROUTES);
    let acknowledged = deployment.submit(&larger);
    deployment.restart_leader();
    let deadline = acknowledged.at + CONTACT_TIME + APPLY_TIME;
    let missing = deployment.wait_until_in_force(5, deadline);
    assert_that!(missing.len(), eq(0), "entries without the text in time");
}

#[gtest]
fn serves_a_large_text_soon_after_all_processes_restart() {
    let mut deployment = Deployment::start();
    let first = Document::new(3, ROUTES);
    deployment.submit(&first);
    let larger = first.with_more_routes(5, MORE_ROUTES);
    let largest = larger.with_more_routes(8, MORE_ROUTES);
    deployment.submit(&larger);
    deployment.submit(&largest);

    deployment.restart_all();
    let missing = deployment.wait_until_in_force(8, Instant::now() + RECOVERY_TIME);
    assert_that!(missing.len(), eq(0), "entries without the text in time");
}
