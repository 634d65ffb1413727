//! Parts of prompts in quarantine, over a restart of the control process.

use std::time::{Duration, Instant};

use control::Machine;
use fleet::Member;
use googletest::prelude::*;
use quarantine::{Crash, Kind, PartId, Report};
use tokio::time::sleep;

use crate::single_control::{control_with, member, wait_until};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const BAD: PartId = 0xbad;

/// Reports until the leader names the bad part or request.
async fn report_until_quarantined(member: &Member, kind: Kind, report: &Report) {
    let began = Instant::now();
    loop {
        let (quarantine, requests) = match kind {
            Kind::Part => (report.clone(), Report::default()),
            Kind::Request => (Report::default(), report.clone()),
        };
        let report = wire::Report {
            quarantine,
            requests,
            ..wire::Report::default()
        };
        let overview = member.report(report, ANSWER_TIMEOUT).await;
        let overview = overview.expect("the leader answers");
        let (notice, other) = match kind {
            Kind::Part => (overview.quarantine, overview.requests),
            Kind::Request => (overview.requests, overview.quarantine),
        };
        assert_that!(other.quarantined, is_empty());
        if notice.quarantined == [BAD] {
            return;
        }
        assert_that!(began.elapsed(), lt(ANSWER_TIMEOUT));
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_a_part_in_quarantine_over_a_restart_of_all_processes() {
    check_restart(Kind::Part).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keeps_a_request_in_quarantine_over_a_restart_of_all_processes() {
    check_restart(Kind::Request).await;
}

async fn check_restart(kind: Kind) {
    let process = control_with(Machine::default(), Duration::from_secs(8)).await;
    let before = member("entry-1", process.peer_address);
    wait_until(&before, |view| view.control_reachable).await;
    let crash = |number: u64| Crash {
        upstream: format!("u-{number}").into(),
        incarnation: 1,
        age_ms: number * 400,
        suspects: vec![(BAD, 1)],
    };
    let crashes = Report {
        crashes: (1..=3).map(crash).collect(),
        ..Report::default()
    };
    report_until_quarantined(&before, kind, &crashes).await;
    let machine = process.node.machine().clone();
    let began = Instant::now();
    while machine.read().verdicts().as_of(0).is_empty() {
        assert_that!(began.elapsed(), lt(ANSWER_TIMEOUT));
        sleep(Duration::from_millis(20)).await;
    }
    before.stop();
    let later = control_with(machine, Duration::from_secs(8)).await;
    let after = member("entry-2", later.peer_address);
    wait_until(&after, |view| view.control_reachable).await;
    report_until_quarantined(&after, kind, &Report::default()).await;
}
