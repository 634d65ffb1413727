//! Entries that the leader names to those that do not reach the upstreams of some services.

use std::time::Duration;

use googletest::prelude::*;
use wire::Report;

use crate::single_control::{control, member, wait_until};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the report of an entry at `port` that reaches no upstream of the services.
fn reach_report(port: u16, out_of_reach: &[&str]) -> Report {
    Report {
        forwarding: Some(([127, 0, 0, 1], port).into()),
        out_of_reach: out_of_reach.iter().map(|name| (*name).into()).collect(),
        ..Report::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn names_entries_that_reach_what_the_reporting_one_does_not() {
    let process = control().await;
    let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let members = names.map(|name| member(name, process.peer_address));
    for member in &members {
        wait_until(member, |view| view.control_reachable).await;
    }
    let reports = [
        reach_report(1, &["bookings"]),
        reach_report(2, &["bookings"]),
        reach_report(3, &["reports"]),
        Report::default(),
    ];
    let mut named = Vec::new();
    for _ in 0..2 {
        named.clear();
        for (member, report) in members.iter().zip(reports.clone()) {
            let overview = member.report(report, ANSWER_TIMEOUT).await;
            let forwarders = overview.expect("the leader answers").forwarders;
            let nodes = forwarders.iter().map(|entry| entry.node.to_string());
            let mut nodes: Vec<String> = nodes.collect();
            nodes.sort();
            named.push(nodes);
        }
    }
    // The last one takes no requests of others; no entry reaches all services.
    let expected = [
        vec!["entry-3"],
        vec!["entry-3"],
        vec!["entry-1", "entry-2"],
        vec![],
    ];
    assert_that!(
        named,
        eq(&expected.map(|nodes| { nodes.into_iter().map(str::to_owned).collect::<Vec<_>>() }))
    );
}
