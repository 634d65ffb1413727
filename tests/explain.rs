//! `chervilloft explain` on the log of an entry.

use std::time::Duration;

use googletest::prelude::*;
use stand_ins::load::Outcome;
use trials::text::DATA_CENTRES;
use trials::upstreams::{chat, start_engines, start_plain, wait_until_reachable};
use trials::{Fleet, Settings, wait_until_within};

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");
/// Longest time after an answer until the log has all lines about it.
const LOG_DELAY: Duration = Duration::from_secs(2);

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn explains_why_an_upstream_was_chosen() {
    let fleet = Fleet::start(Settings::standalone(BINARY)).await.unwrap();
    let _jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[0])
        .await
        .unwrap();
    let _engines = start_engines(&fleet, 2, &DATA_CENTRES).await.unwrap();
    wait_until_reachable(&fleet, &chat(1, 2)).await;
    let observation = fleet.caller().call(&chat(2, 4)).await;
    expect_that!(observation.outcome, eq(&Outcome::Complete));
    let log = fleet.folder().join("entry-1.log").display().to_string();
    let request = &observation.attempts[0].request;
    // The caller has the whole answer before the log's thread has written the last line about it.
    let is_logged = wait_until_within(LOG_DELAY, || async {
        let output = fleet.explain(request, &log).await.unwrap();
        output.text.contains("answered")
    });
    expect_that!(is_logged.await, eq(true));
    let output = fleet.explain(request, &log).await.unwrap();
    expect_that!(output.exit_code, eq(0));
    for part in ["chose an upstream", "prefill", "tokens cached", "answered"] {
        expect_that!(output.text, contains_substring(part));
    }
}
