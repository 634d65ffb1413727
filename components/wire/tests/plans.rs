//! Demand by class and plans of admission in messages.

use admission::{Class, Plan, Report, Row, Totals};
use googletest::prelude::*;
use serde::Serialize;
use wire::{Answer, Envelope, Frame, Overview};

fn encoded(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("it can be encoded");
    bytes
}

/// Returns the plan of a service whose accounts have different shares in three ranks.
fn plan(accounts: u32) -> Plan {
    let rows = (0..3).flat_map(|rank| {
        (0..accounts).map(move |account| (rank, account.wrapping_mul(2_654_435_761), 300 + account))
    });
    let rows: Vec<(u8, u32, u32)> = rows.collect();
    let ranks = [(0, 1_000, 1_000), (1, 500, 1_000), (2, 333, 1_000)];
    let bytes = encoded(&(ranks, rows, 1_500));
    ciborium::from_reader(bytes.as_slice()).expect("it is a plan")
}

fn overview_bytes(overview: Overview) -> usize {
    let answer = Answer::Overview(Box::new(overview));
    let envelope = Envelope(1, 1, Frame::Answer(1, Ok(answer)));
    wire::encode(&envelope)
        .expect("an answer can be encoded")
        .len()
}

/// Guards against overviews that grow while nothing is short.
#[test]
fn adds_nothing_to_an_overview_without_plans() {
    let bytes = encoded(&Overview::default());
    let text = String::from_utf8_lossy(&bytes);
    assert_that!(text.contains("plans"), eq(false));
}

/// An overview goes to 86 entries four times a second.
#[test]
fn takes_less_than_a_kilobyte_for_a_plan_of_thirty_accounts() {
    let plans = vec![("model".into(), plan(30))];
    let with = overview_bytes(Overview {
        plans: plans.clone(),
        ..Overview::default()
    });
    let without = overview_bytes(Overview::default());
    assert_that!(with - without, le(1_024));
    let bytes = encoded(&plans);
    let decoded: Vec<(config::ids::ServiceId, Plan)> =
        ciborium::from_reader(bytes.as_slice()).expect("it can be decoded");
    assert_that!(decoded, eq(&plans));
}

#[test]
fn encodes_a_row_of_the_demand_in_few_bytes() {
    let row = Row {
        class: Class::new(2, Some("shop")),
        totals: Totals {
            requests: 60_000,
            compute_ms: 3_000_000,
            place_ms: 9_000_000,
        },
    };
    let bytes = encoded(&row);
    assert_that!(bytes.len(), le(24));
    let decoded: Row = ciborium::from_reader(bytes.as_slice()).expect("it can be decoded");
    assert_that!(decoded, eq(row));
}

/// Guards against two releases that don't understand each other.
#[test]
fn reads_messages_without_the_fields() {
    let report = wire::Report::default();
    let bytes = encoded(&report);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert_that!(text.contains("classes"), eq(false));
    let decoded: wire::Report = ciborium::from_reader(bytes.as_slice()).expect("it is a report");
    assert_that!(decoded, eq(&report));
    let with = wire::Report {
        classes: vec![("model".into(), Report::default())],
        ..report
    };
    let bytes = encoded(&with);
    let decoded: wire::Report = ciborium::from_reader(bytes.as_slice()).expect("it is a report");
    assert_that!(decoded, eq(&with));
}
