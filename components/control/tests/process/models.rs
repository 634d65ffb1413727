//! What the leader learns of engines from the samples of entries.

use std::time::Duration;

use control::external::{Operation, Reply};
use googletest::prelude::*;
use performance::{Model, Sample};
use wire::Report;

use crate::single_control::{control, fresh_version, member, replacement, wait_until};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than the time between two fits.
const FIT_TIME: Duration = Duration::from_millis(1_100);

/// Returns the samples of an entry whose requests take 10 ms and 0.05 ms a token.
fn samples(entry: u32) -> Vec<Sample> {
    let sample = |number: u32| {
        let tokens = 400 * (entry + 2 * number);
        Sample {
            own_tokens: tokens,
            first_event_ms: 10 + tokens / 20,
            events: 10,
            stream_ms: 90,
            ..Sample::default()
        }
    };
    (0..600).map(sample).collect()
}

fn report(samples: Vec<Sample>) -> Report {
    Report {
        samples: vec![("bookings".into(), samples)],
        ..Report::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn learns_from_the_samples_of_all_entries() {
    let process = control().await;
    let members = ["entry-1", "entry-2"].map(|name| member(name, process.peer_address));
    let replaced = process.node.execute(replacement(7, "seven")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 7 }));
    for (number, member) in (0..).zip(&members) {
        wait_until(member, |view| fresh_version(view) == Some(7)).await;
        let overview = member.report(report(samples(number)), ANSWER_TIMEOUT).await;
        assert_that!(overview.is_ok(), eq(true));
    }
    tokio::time::sleep(FIT_TIME).await;
    let overview = members[0].report(Report::default(), ANSWER_TIMEOUT).await;
    let models = overview.expect("the leader answers").models;
    let (service, model) = &models[0];
    assert_that!(service.as_str(), eq("bookings"));
    // As many as are kept; what is assumed no longer counts.
    assert_that!(model.samples, eq(1_024));
    assert_that!(model.prefill_ms_per_token, near(0.05, 0.001));
    assert_that!(model.event_ms, near(10.0, 0.1));
    assert_that!(model.first_event_ms, near(10.0, 2.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn takes_over_the_model_that_an_entry_has_from_an_earlier_leader() {
    let process = control().await;
    let member = member("entry-1", process.peer_address);
    let replaced = process.node.execute(replacement(7, "seven")).await;
    assert_that!(replaced, eq(&Reply::Replaced { newest: 7 }));
    wait_until(&member, |view| fresh_version(view) == Some(7)).await;
    let model = Model {
        samples: 500,
        prefill_ms_per_token: 0.03,
        ..Model::default()
    };
    let report = Report {
        models: vec![("bookings".into(), model)],
        ..Report::default()
    };
    let overview = member.report(report, ANSWER_TIMEOUT).await;
    let models = overview.expect("the leader answers").models;
    assert_that!(models, eq(&vec![("bookings".into(), model)]));
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_no_model_without_samples() {
    let process = control().await;
    let member = member("entry-1", process.peer_address);
    let read = process.node.execute(Operation::Read).await;
    assert_that!(read, eq(&Reply::NoText));
    wait_until(&member, |view| view.control_reachable).await;
    let overview = member.report(Report::default(), ANSWER_TIMEOUT).await;
    assert_that!(overview.expect("the leader answers").models, is_empty());
}
