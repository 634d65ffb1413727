//! Decisions on requests by the leader's plans, and the demand that an entry reports for them.

use std::time::{Duration, Instant};

use admission::{Class, Plan, Report, Totals};
use config::ids::ServiceId;
use gateway::{Classes, Decision, Plans};
use googletest::prelude::*;

const TARGET: Duration = Duration::from_millis(500);

fn service() -> ServiceId {
    "model".into()
}

fn class(rank: u8, account: &str) -> Class {
    Class::new(rank, Some(account))
}

/// Returns a plan that admits rank 0, and of rank 1 nothing from one account.
fn plan() -> Plan {
    let farm = class(1, "farm").account;
    let encoded = format!("[[[0,1000,1000],[1,500,1000]],[[1,{farm},0]],2000]");
    serde_json::from_str(&encoded).expect("it is a plan")
}

#[test]
fn refuses_requests_beyond_the_share_unless_there_is_room() {
    let plan = plan();
    let decide = |class, has_room| {
        let decisions = (0..100).map(|n| {
            let hash = admission::hash(&format!("request-{n}"));
            Decision::new(&plan, class, hash, || has_room)
        });
        decisions.collect::<Vec<_>>()
    };
    assert_that!(
        decide(class(0, "farm"), false),
        each(eq(&Decision::Admitted))
    );
    assert_that!(
        decide(class(1, "shop"), false),
        each(eq(&Decision::Admitted))
    );
    assert_that!(decide(class(1, "farm"), true), each(eq(&Decision::Room)));
    // The average time is 2 s.
    let spread = Duration::from_secs(1)..=Duration::from_secs(3);
    for decision in decide(class(1, "farm"), false) {
        let is_refused = matches!(decision, Decision::Refused(after) if spread.contains(&after));
        assert_that!(is_refused, eq(true), "{decision:?}");
    }
}

/// Guards against decisions by a plan that says nothing of the present load.
#[test]
fn forgets_a_plan_after_two_seconds() {
    let mut plans = Plans::default();
    let start = Instant::now();
    let newest = |plans: &Plans, ms| plans.newest(&service(), start + Duration::from_millis(ms));
    assert_that!(newest(&plans, 0), none());
    plans.set(&[(service(), plan())], start);
    assert_that!(newest(&plans, 1_990), some(anything()));
    assert_that!(newest(&plans, 2_000), none());
    plans.set(&[], start + Duration::from_millis(2_500));
    assert_that!(newest(&plans, 2_600), none());
}

fn requests(reports: &[(ServiceId, Report)]) -> Vec<(Class, u64)> {
    let rows = reports.iter().flat_map(|(_, report)| &report.rows);
    rows.map(|row| (row.class, row.totals.requests)).collect()
}

/// Guards against reports that state what the leader knows, four times a second.
#[test]
fn reports_all_classes_at_first_and_then_those_that_changed() {
    let mut classes = Classes::default();
    let (shop, farm) = (class(0, "shop"), class(1, "farm"));
    classes.add(&service(), shop, 20.5, 100.0);
    classes.add(&service(), shop, 20.5, 100.0);
    classes.add(&service(), farm, 1.0, 2.0);
    let first = classes.report();
    assert_that!(first[0].1.is_whole, eq(true));
    assert_that!(requests(&first), eq(&vec![(shop, 2), (farm, 1)]));
    let totals = Totals {
        requests: 2,
        compute_ms: 41,
        place_ms: 200,
    };
    assert_that!(first[0].1.rows[0].totals, eq(totals));
    classes.record_answer(true);
    classes.add(&service(), farm, 1.0, 2.0);
    let second = classes.report();
    assert_that!(second[0].1.is_whole, eq(false));
    assert_that!(requests(&second), eq(&vec![(farm, 2)]));
    classes.record_answer(true);
    assert_that!(requests(&classes.report()), is_empty());
}

/// Guards against a leader that never hears of classes which are rarely asked for.
#[test]
fn reports_all_classes_after_a_lost_answer_and_each_second() {
    let mut classes = Classes::default();
    classes.add(&service(), class(0, "shop"), 20.0, 100.0);
    classes.report();
    classes.record_answer(true);
    classes.report();
    classes.record_answer(false);
    assert_that!(classes.report()[0].1.is_whole, eq(true));
    classes.record_answer(true);
    let whole: Vec<_> = (0..8)
        .map(|_| {
            let is_whole = classes.report()[0].1.is_whole;
            classes.record_answer(true);
            is_whole
        })
        .collect();
    assert_that!(whole.iter().filter(|whole| **whole).count(), eq(2));
}

#[test]
fn counts_answers_that_begin_late() {
    let mut classes = Classes::default();
    // Nothing is known of a service that is not balanced by work.
    classes.record_first_event(&service(), TARGET, TARGET);
    assert_that!(classes.report(), is_empty());
    classes.add(&service(), class(0, "shop"), 20.0, 100.0);
    classes.record_first_event(&service(), TARGET, TARGET);
    classes.record_first_event(&service(), TARGET * 2, TARGET);
    let report = &classes.report()[0].1;
    assert_that!((report.begun, report.late), eq((2, 1)));
}

#[test]
fn bounds_the_classes_that_are_told_apart() {
    let mut classes = Classes::default();
    for number in 0..1_000 {
        let account = format!("account-{number}");
        classes.add(&service(), class(0, &account), 1.0, 1.0);
    }
    let reported = requests(&classes.report());
    assert_that!(reported.len(), eq(admission::MAX_CLASSES + 1));
    let all: u64 = reported.iter().map(|(_, requests)| requests).sum();
    assert_that!(all, eq(1_000));
}
