//! What days cost with both plans.

use std::fmt::Write;

use googletest::prelude::*;

use crate::cloud::Answer;
use crate::day::{Case, Outcome, run};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

fn cases() -> [(&'static str, Case); 5] {
    let case = |mean, reclaims_s, max_count| Case {
        mean,
        reclaims_s,
        max_count,
        ..Case::default()
    };
    [
        ("quiet", case(36.0, (4.6, 45.0), 30)),
        ("usual", case(50.0, (4.6, 30.0), 30)),
        ("heavy", case(70.0, (4.6, 30.0), 30)),
        ("few places", case(36.0, (4.6, 30.0), 20)),
        ("no reclaims", case(36.0, (1_000.0, 1_000.0), 30)),
    ]
}

/// Means over the seeds.
struct Means {
    total: f64,
    paid: f64,
    missing: f64,
    at_start: f64,
    out_of_bounds: f64,
    orders: f64,
    refused: f64,
}

fn means(case: &Case, is_balanced_by_work: bool) -> Means {
    let day = |seed| {
        run(&Case {
            seed,
            is_balanced_by_work,
            ..case.clone()
        })
    };
    let days: Vec<Outcome> = SEEDS.map(day).collect();
    let mean = |of: fn(&Outcome) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
    Means {
        total: mean(Outcome::total),
        paid: mean(|day| day.paid),
        missing: mean(|day| day.missing),
        at_start: mean(|day| day.missing_at_start),
        out_of_bounds: mean(|day| day.out_of_bounds),
        orders: mean(|day| day.sent.len() as f64),
        refused: mean(|day| {
            let sold_out = day.sent.iter();
            let sold_out = sold_out.filter(|sent| sent.answer == Some(Answer::SoldOut));
            sold_out.count() as f64
        }),
    }
}

/// Guards against a plan that saves engines and loses answers, or the reverse: both plans as a table.
#[gtest]
fn loses_less_for_less_than_the_plan_by_requests() {
    let mut table = String::new();
    for (name, case) in cases() {
        let before = means(&case, false);
        let after = means(&case, true);
        for (plan, day) in [("by requests", &before), ("by work", &after)] {
            writeln!(
                table,
                "{name}, {plan}: total {:.0}, paid {:.0}, missing {:.0}, of these {:.0} in the first \
                 12 s and {:.0} beyond all bounds, orders {:.0}, sold out {:.0}",
                day.total,
                day.paid,
                day.missing,
                day.at_start,
                day.out_of_bounds,
                day.orders,
                day.refused
            )
            .expect("a string takes all");
        }
        expect_that!(after.total, lt(before.total), "{name}");
        // What is missing beyond the bounds of all data centres no plan can order.
        let missing = |day: &Means| day.missing - day.out_of_bounds;
        expect_that!(missing(&after), lt(missing(&before) * 0.85), "{name}");
        expect_that!(after.at_start, lt(before.at_start * 0.2), "{name}");
        let needs_fewer_orders = after.orders < before.orders * 0.75 || name == "heavy";
        expect_that!(needs_fewer_orders, eq(true), "{name}");
    }
    insta::assert_snapshot!(table);
}
