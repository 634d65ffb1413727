//! The leader's plans for services that can't take all requests.

use std::time::{Duration, Instant};

use admission::{Class, Plan, Row, Totals};
use fleet::{Control, Member};
use googletest::prelude::*;
use tokio::time::sleep;
use upstream::{Announcement, Capacity};
use wire::Report;

use crate::announcements::{accepts_work, announcement};
use crate::single_control::{control, member, operator, submission, text, wait_until};

/// Longest wait for an answer that is due at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for a plan to change.
const PLAN_TIMEOUT: Duration = Duration::from_secs(30);
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Requests per second at each entry and rank; each takes a usual engine for 50 ms.
const RATE: f64 = 40.0;

fn text_with_route() -> String {
    let route = "[[ingress.routes]]\nname = \"all\"\nhost = \"one.example\"\nprefix = \"/\"\n\
                 splits = [{ service = \"bookings\" }]\ntimeout = \"8s\"\ntarget = \"500ms\"\n";
    text("first") + route
}

/// Returns the report of an entry whose callers asked for `requests` of two ranks.
fn report(requests: u64) -> Report {
    let row = |rank| Row {
        class: Class::new(rank, Some("shop")),
        totals: Totals {
            requests,
            compute_ms: requests * 50,
            place_ms: requests * 100,
        },
    };
    let classes = admission::Report {
        is_whole: true,
        rows: vec![row(0), row(1)],
        ..admission::Report::default()
    };
    Report {
        classes: vec![("bookings".into(), classes)],
        ..Report::default()
    }
}

/// Reports the demand of `members` at `rate` until `wanted` holds for the plan that they get.
async fn report_until(
    members: &[Member],
    rate: f64,
    requests: &mut f64,
    wanted: impl Fn(Option<&Plan>) -> bool,
) {
    let (start, before) = (Instant::now(), *requests);
    loop {
        let elapsed = start.elapsed();
        *requests = before + elapsed.as_secs_f64() * rate;
        for member in members {
            let overview = member
                .report(report(*requests as u64), ANSWER_TIMEOUT)
                .await;
            let plans = overview.expect("the leader answers").plans;
            if wanted(plans.first().map(|(_, plan)| plan)) {
                return;
            }
        }
        assert!(elapsed < PLAN_TIMEOUT, "the plan is not as wanted");
        sleep(REPORT_PERIOD).await;
    }
}

/// Guards against plans that entries don't get, or that outlast the shortage.
#[tokio::test(flavor = "multi_thread")]
async fn tell_entries_what_to_admit_while_more_is_asked_for_than_the_engines_take() {
    let process = control().await;
    let members = ["entry-1", "entry-2"].map(|name| member(name, process.peer_address));
    let submitted = operator(&process)
        .submit(&submission(0, "a", text_with_route()))
        .await;
    assert_that!(submitted, ok(anything()));
    let engine = Announcement {
        capacity: Capacity {
            batch: 16,
            ..Capacity::default()
        },
        ..announcement("engine-1", 1)
    };
    assert_that!(members[0].announce(engine).await, ok(anything()));
    for member in &members {
        wait_until(member, |view| accepts_work(view, "engine-1")).await;
    }
    let mut requests = 1_000.0;
    let share = |plan: &Plan, rank| plan.share(Class::new(rank, Some("shop")));
    let is_short = |plan: Option<&Plan>| {
        plan.is_some_and(|plan| share(plan, 1) < 0.5 && share(plan, 1) < share(plan, 0))
    };
    report_until(&members, RATE, &mut requests, is_short).await;
    let is_over = |plan: Option<&Plan>| plan.is_none();
    report_until(&members, 0.0, &mut requests, is_over).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn are_not_made_for_services_of_which_entries_report_no_classes() {
    let process = control().await;
    let member = member("entry-1", process.peer_address);
    wait_until(&member, |view| view.control_reachable).await;
    for _ in 0..2 {
        let overview = member.report(Report::default(), ANSWER_TIMEOUT).await;
        assert_that!(overview.expect("the leader answers").plans, is_empty());
        sleep(Duration::from_millis(1_100)).await;
    }
}
