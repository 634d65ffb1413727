//! Limits of client accounts over several entries.

use control::client::Outcome;
use fleet::{Control, Decision};
use googletest::prelude::*;

use crate::fleet_of_one::{control, fresh_version, member, operator, submission, text, until};

#[tokio::test(flavor = "multi_thread")]
async fn is_shared_by_all_entries_and_refused_beyond_the_limit() {
    let process = control().await;
    let members = [1, 2, 3].map(|n| member(&format!("entry-{n}"), process.peer_address));
    let source = text("first").replace(
        "[accounts.shop]\n",
        "[accounts.shop]\nrequests-per-second = 0.02\n[accounts.press]\n",
    );
    let submitted = operator(&process).submit(&submission(0, "a", source)).await;
    assert_that!(submitted, ok(eq(&Outcome::InForce { version: 1 })));
    for member in &members {
        until(member, |view| fresh_version(view) == Some(1)).await;
    }
    // The limit gives one request, and the next one after 50 s.
    let mut admitted = 0;
    for member in members.iter().cycle().take(9) {
        let decision = member.allow("shop".into(), 1.0).await;
        admitted += usize::from(decision == Decision::Admitted);
    }
    assert_that!(admitted, eq(1));
    let other = members[0].allow("press".into(), 1.0).await;
    assert_that!(other, eq(Decision::Admitted));
    let stranger = members[0].allow("nobody".into(), 1.0).await;
    assert_that!(stranger, matches_pattern!(Decision::Refused { .. }));
}
