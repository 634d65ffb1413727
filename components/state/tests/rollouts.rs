//! Roll-outs in the replicated state.

use googletest::prelude::*;
use state::rollouts::{Advance, MAX_ROLLOUTS, Order, Outcome, Phase, REPEAT_MS};
use state::{Change, Command, Output, Position, State};

const MINUTE: u64 = 60_000;

fn apply_at(state: &mut State, at: u64, change: Change) -> Output {
    let index = state.applied().index + 1;
    state.apply(Position { term: 1, index }, Command { at, change })
}

fn order(service: &str, to: &str) -> Order {
    Order {
        service: service.into(),
        to: to.into(),
        duration_ms: MINUTE,
    }
}

fn begin(state: &mut State, at: u64, order: Order) -> Outcome {
    match apply_at(state, at, Change::BeginRollout(order)) {
        Output::Rollout(outcome) => outcome,
        output => panic!("unexpected output {output:?}"),
    }
}

fn advance(state: &mut State, at: u64, number: u64, phase: Phase) -> bool {
    let advance = Advance {
        service: "shop".into(),
        number,
        phase,
        reason: "why".into(),
    };
    apply_at(state, at, Change::AdvanceRollout(advance)) == Output::Advanced(true)
}

fn number(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Begun(number) => *number,
        Outcome::InProgress(to) => panic!("another one to {to} is in progress"),
    }
}

// A repeated order that began a second roll-out would move its deadline.
#[gtest]
fn acknowledges_the_same_order_again_and_refuses_another_one() {
    let mut state = State::default();
    let first = begin(&mut state, 1_000, order("shop", "v2"));
    expect_that!(begin(&mut state, 4_000, order("shop", "v2")), eq(&first));
    let other = begin(&mut state, 5_000, order("shop", "v3"));
    expect_that!(other, eq(&Outcome::InProgress("v2".into())));
    let longer = Order {
        duration_ms: 2 * MINUTE,
        ..order("shop", "v2")
    };
    expect_that!(
        begin(&mut state, 5_000, longer),
        eq(&Outcome::InProgress("v2".into()))
    );
    let rollout = state.rollouts().get("shop").expect("it is known");
    expect_that!(rollout.begun_at, eq(1_000));
    expect_that!(rollout.deadline(), eq(61_000));
    expect_that!(
        begin(&mut state, 6_000, order("mail", "v3")),
        matches_pattern!(Outcome::Begun(_))
    );
}

// An order that is sent again after a roll-back would send the bad version more requests.
#[gtest]
fn begins_no_ended_rollout_again_until_well_after_its_deadline() {
    let mut state = State::default();
    let first = begin(&mut state, 1_000, order("shop", "v2"));
    expect_that!(
        advance(&mut state, 2_000, number(&first), Phase::RolledBack),
        eq(true)
    );
    expect_that!(begin(&mut state, 3_000, order("shop", "v2")), eq(&first));
    let later = 61_000 + REPEAT_MS;
    let second = begin(&mut state, later, order("shop", "v2"));
    expect_that!(number(&second), gt(number(&first)));
    let third = begin(&mut state, later + 1, order("shop", "v3"));
    expect_that!(third, eq(&Outcome::InProgress("v2".into())));
}

// A leader that lost its lease may still propose a phase that it decided on.
#[gtest]
fn begins_only_phases_that_follow_the_current_one_of_the_same_rollout() {
    let mut state = State::default();
    let first = number(&begin(&mut state, 1_000, order("shop", "v2")));
    expect_that!(
        advance(&mut state, 2_000, first + 1, Phase::Moved),
        eq(false)
    );
    expect_that!(
        advance(&mut state, 2_000, first, Phase::Completed),
        eq(false)
    );
    expect_that!(advance(&mut state, 3_000, first, Phase::Moving), eq(true));
    expect_that!(advance(&mut state, 3_000, first, Phase::Moving), eq(false));
    expect_that!(advance(&mut state, 4_000, first, Phase::Moved), eq(true));
    expect_that!(
        advance(&mut state, 5_000, first, Phase::Completed),
        eq(true)
    );
    expect_that!(
        advance(&mut state, 6_000, first, Phase::RolledBack),
        eq(false)
    );
    let rollout = state.rollouts().get("shop").expect("it is known");
    expect_that!(rollout.phase, eq(Phase::Completed));
    expect_that!(rollout.phase_at, eq(5_000));
}

#[gtest]
fn keeps_rollouts_in_a_snapshot() {
    let mut state = State::default();
    begin(&mut state, 1_000, order("shop", "v2"));
    let bytes = state.snapshot().expect("it can be encoded");
    expect_that!(
        State::restore(&bytes).expect("it can be decoded"),
        eq(&state)
    );
}

// Orders for ever other services would grow the state without bound.
#[gtest]
fn keeps_a_bounded_number_of_rollouts() {
    let mut state = State::default();
    for index in 0..MAX_ROLLOUTS + 5 {
        begin(&mut state, 1_000, order(&format!("service-{index}"), "v2"));
    }
    expect_that!(state.rollouts().iter().count(), eq(MAX_ROLLOUTS));
}
