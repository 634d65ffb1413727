//! When orders are sent, and when not.

use googletest::prelude::*;
use indexmap::IndexMap;
use placement::Slot;

use crate::cloud::{Answer, Reclaim};
use crate::day::{Case, Outcome, run};

/// Time for which a slot is kept after an increase, in seconds.
const KEEP_S: f64 = 18.0;
/// Interval between two rounds, in seconds.
const ROUND_S: f64 = 0.5;

/// A reclaim at 40 s after which nothing is sold anywhere for 13 s.
fn outage() -> Case {
    Case {
        reclaims: Some(vec![Reclaim {
            at_s: 40.0,
            data_centre: 1,
            notice_s: 2.0,
            sold_out_until_s: 53.0,
            is_everywhere: true,
        }]),
        ..Case::default()
    }
}

fn refused(day: &Outcome) -> impl Iterator<Item = &crate::day::Sent> {
    let sent = day.sent.iter();
    sent.filter(|sent| sent.answer == Some(Answer::SoldOut))
}

/// Guards against instances that are ordered after a reclaim and released seconds later.
#[test]
fn keeps_a_slot_for_a_while_after_it_was_increased() {
    for seed in 1..=5 {
        let day = run(&Case {
            seed,
            ..Case::default()
        });
        let mut increased: IndexMap<&Slot, f64> = IndexMap::new();
        let accepted = day.sent.iter();
        let accepted = accepted.filter(|sent| {
            let is_by_work = sent.at_s > 2.0;
            is_by_work && sent.answer == Some(Answer::Accepted)
        });
        for sent in accepted {
            let slot = &sent.order.slot;
            if sent.order.count > sent.before {
                increased.insert(slot, sent.at_s);
            } else if let Some(at_s) = increased.get(slot) {
                // A reclaim in between ends an order.
                let is_lost = sent.order.reason.contains("more");
                let kept_s = sent.at_s - at_s;
                assert_that!(is_lost || kept_s >= KEEP_S, eq(true), "{seed}: {sent:?}");
            }
        }
    }
}

/// Guards against orders for sold-out slots that are sent again every 2 s.
#[test]
fn sends_orders_for_sold_out_slots_less_and_less_often() {
    let day = run(&outage());
    let mut first = IndexMap::new();
    let repeated: Vec<f64> = refused(&day)
        .filter(|sent| first.insert(&sent.order.slot, ()).is_some())
        .map(|sent| sent.at_s)
        .collect();
    let gaps: Vec<f64> = repeated.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_that!(repeated.len(), le(4));
    assert_that!(gaps, each(ge(&3.0)));
    let first_refusal = refused(&day).next().map_or(0.0, |sent| sent.at_s);
    assert_that!(repeated[0] - first_refusal, ge(2.0));
}

/// Guards against a back-off that outlasts the outage.
#[test]
fn notices_the_end_of_an_outage_within_4_s() {
    let day = run(&outage());
    assert_that!(refused(&day).count(), gt(0));
    let accepted = day.sent.iter().find(|sent| {
        let is_increase = sent.order.count > sent.before || sent.order.reason.contains("more");
        let is_accepted = sent.answer == Some(Answer::Accepted);
        let is_reclaimable = sent.order.slot.class == config::text::Class::Reclaimable;
        sent.at_s >= 53.0 && is_increase && is_accepted && is_reclaimable
    });
    assert_that!(accepted.map_or(f64::NAN, |sent| sent.at_s), le(57.0));
}

/// Guards against orders for other counts while the cloud answers nothing.
#[test]
fn repeats_an_order_without_an_answer_and_sends_no_other() {
    let case = Case {
        silence_s: 20.0..40.0,
        ..Case::default()
    };
    let day = run(&case);
    let unanswered: Vec<_> = day.sent.iter().filter(|s| s.answer.is_none()).collect();
    assert_that!(unanswered.len(), all![gt(2), le(40)]);
    let first_round = unanswered[0].at_s;
    let mut counts: IndexMap<&Slot, u32> = IndexMap::new();
    for sent in &unanswered {
        let Some(count) = counts.get(&sent.order.slot) else {
            assert_that!(sent.at_s, lt(first_round + ROUND_S));
            counts.insert(&sent.order.slot, sent.order.count);
            continue;
        };
        assert_that!(sent.order.count, eq(*count));
    }
    let answered = day.sent.iter().find(|sent| sent.at_s >= 40.0);
    let answered = answered.expect("the cloud answers again");
    assert_that!(
        counts.get(&answered.order.slot),
        some(eq(&answered.order.count))
    );
    assert_that!(answered.at_s, le(44.0));
}
