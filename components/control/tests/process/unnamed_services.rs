//! Announcements of services that the text in force doesn't name.

use control::external::{Operation, Reply};
use control::{MemoryReplica, Process};
use fleet::{Control, Member};
use googletest::prelude::*;
use state::text::Replacement;
use upstream::Announcement;

use crate::announcements::{accepts_work, announcement};
use crate::single_control::{control, fresh_version, member, replacement, text, wait_until};

fn announced(service: &str, sequence: u64) -> Operation {
    Operation::Announce(Box::new(Announcement {
        service: service.into(),
        address: ([127, 0, 0, 1], 8_080).into(),
        ..announcement("i-1", sequence)
    }))
}

/// Starts a control process and an entry that has a text in force.
async fn process_with_text() -> (Process<MemoryReplica>, Member) {
    let process = control().await;
    let entry = member("entry-1", process.peer_address);
    process.node.execute(replacement(1, "first")).await;
    wait_until(&entry, |view| fresh_version(view) == Some(1)).await;
    (process, entry)
}

async fn acknowledges(process: &Process<MemoryReplica>, operation: Operation) -> bool {
    process.node.execute(operation).await == Reply::Acknowledged
}

// An upstream was refused for as long as the lease of another writer's announcement, which came first
// and named its id.
#[tokio::test(flavor = "multi_thread")]
async fn do_not_keep_an_upstream_out_of_its_own() {
    let (process, entry) = process_with_text().await;
    assert_that!(
        acknowledges(&process, announced("nothing", 9)).await,
        eq(true)
    );
    assert_that!(
        acknowledges(&process, announced("bookings", 1)).await,
        eq(true)
    );
    wait_until(&entry, |view| accepts_work(view, "i-1")).await;
    // It stays there when the other writer names it once more.
    assert_that!(
        acknowledges(&process, announced("nothing", 10)).await,
        eq(false)
    );
    assert_that!(
        acknowledges(&process, announced("bookings", 2)).await,
        eq(true)
    );
    assert_that!(accepts_work(&entry.view().load(), "i-1"), eq(true));
    assert_that!(process.node.upstreams().len(), eq(1));
}

// An upstream that starts before the text that names its service is served with that text, not a
// heartbeat later.
#[tokio::test(flavor = "multi_thread")]
async fn serve_as_soon_as_a_text_names_them() {
    let (process, entry) = process_with_text().await;
    assert_that!(
        acknowledges(&process, announced("tours", 1)).await,
        eq(true)
    );
    assert_that!(process.node.upstreams().len(), eq(0));
    let second = Replacement {
        version: 2,
        operator: "ana".into(),
        source: text("second") + "[services.tours]\nkind = \"plain\"\n",
    };
    let replaced = process.node.execute(Operation::Replace(second)).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 2 }));
    wait_until(&entry, |view| accepts_work(view, "i-1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn are_taken_while_there_is_no_text() {
    let process = control().await;
    let entry = member("entry-1", process.peer_address);
    assert_that!(
        acknowledges(&process, announced("tours", 1)).await,
        eq(true)
    );
    wait_until(&entry, |view| accepts_work(view, "i-1")).await;
}
