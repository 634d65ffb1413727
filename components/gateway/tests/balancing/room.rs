//! Room for requests that the plan of admission refuses.

use googletest::prelude::*;

use super::ms;
use crate::fleet::Fleet;

/// Guards against refusals by a plan while half of the places are free and nothing waits.
#[test]
fn knows_of_room_while_engines_are_at_rest() {
    let mut fleet = Fleet::new(4, 2);
    fleet.advance(ms(15_000));
    for rank in 0..4 {
        assert_that!(fleet.has_room(0, 1, rank, ms(600)), eq(true), "rank {rank}");
    }
}

/// Guards against an entry that fills each engine which is idle for a moment with less urgent requests.
#[test]
fn keeps_the_last_room_for_more_urgent_ranks() {
    let mut fleet = Fleet::new(4, 2);
    fleet.advance(ms(15_000));
    // One of four engines has 3,700 tokens to compute, which take 74 ms.
    fleet.choose(0, 1).expect("there are engines");
    let rooms: Vec<_> = (0..4)
        .map(|rank| fleet.has_room(0, 2, rank, ms(300)))
        .collect();
    assert_that!(rooms, eq(&vec![true, true, false, false]));
}

#[test]
fn knows_of_no_room_while_prompts_wait_or_places_are_taken() {
    let mut fleet = Fleet::new(4, 2);
    fleet.advance(ms(15_000));
    for part in 0..20 {
        fleet.choose(0, part).expect("there are engines");
    }
    assert_that!(fleet.has_room(0, 1, 0, ms(600)), eq(false));
    fleet.finish_all();
    assert_that!(fleet.has_room(0, 1, 0, ms(600)), eq(true));
    // 64 places at each engine; the prompts are computed, and the answers go on.
    for part in 0..160 {
        fleet.choose(1, part).expect("there are engines");
        fleet.begin_all();
    }
    fleet.report_all();
    assert_that!(fleet.has_room(0, 1, 0, ms(600)), eq(false));
}

#[test]
fn knows_of_no_room_without_engines() {
    let fleet = Fleet::new(0, 1);
    assert_that!(fleet.has_room(0, 1, 0, ms(600)), eq(false));
}

#[test]
fn counts_the_prompt_and_the_events_as_work() {
    let mut fleet = Fleet::new(1, 1);
    fleet.balance_by_work();
    fleet.tell(performance::Model {
        prefill_ms_per_token: 0.02,
        event_ms: 10.0,
        events: 20.0,
        ..performance::Model::default()
    });
    // 3,700 tokens are not shared.
    assert_that!(fleet.work(0), eq((74.0, 274.0)));
}
