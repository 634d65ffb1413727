//! Submissions and replacements of the operators' text.

use googletest::prelude::*;
use state::text::{
    Edit, MAX_REVISIONS, MAX_SUBMISSIONS, MAX_TEXT_BYTES, Outcome, Replacement, Submission,
};
use state::{Change, Command, Output, Position, State};

/// Applies a change as the next entry of the log, and returns the outcome.
fn apply(state: &mut State, change: Change) -> Outcome {
    let index = state.applied().index + 1;
    let command = Command { at: index, change };
    match state.apply(Position { term: 1, index }, command) {
        Output::Submitted(outcome) => outcome,
        output => panic!("{output:?} is not an outcome"),
    }
}

fn submit(state: &mut State, id: &str, base: u64, source: &str) -> Outcome {
    let submission = Submission {
        id: id.into(),
        base,
        operator: "ana".into(),
        source: source.to_owned(),
    };
    apply(state, Change::Submit(submission))
}

#[test]
fn can_resend_after_many_changes_and_a_restart() {
    let mut state = State::default();
    let first = submit(&mut state, "first", 0, "text");
    for version in 1..500 {
        submit(&mut state, &format!("s{version}"), version, "other");
    }
    let late = submit(&mut state, "late", 3, "text");
    let bytes = state.snapshot().expect("a state can be encoded");
    let mut state = State::restore(&bytes).expect("a snapshot can be decoded");

    assert_that!(state.texts().newest(), eq(500));
    assert_that!(submit(&mut state, "first", 0, "text"), eq(first));
    assert_that!(submit(&mut state, "late", 3, "text"), eq(late));
    assert_that!(first, eq(Outcome::Accepted { version: 1 }));
    assert_that!(late, eq(Outcome::Conflict { newest: 500 }));
}

#[test]
fn does_not_apply_a_submission_twice_after_its_outcome_was_removed() {
    let mut state = State::default();
    submit(&mut state, "first", 0, "text");
    for n in 0..MAX_SUBMISSIONS {
        submit(&mut state, &format!("s{n}"), 99, "other");
    }
    let resent = submit(&mut state, "first", 0, "text");
    assert_that!(resent, eq(Outcome::Conflict { newest: 1 }));
}

#[test]
fn errors_on_a_reused_id_and_a_large_text() {
    let mut state = State::default();
    submit(&mut state, "id", 0, "text");
    let reused = submit(&mut state, "id", 0, "another text");
    let large = submit(&mut state, "large", 1, &"x".repeat(MAX_TEXT_BYTES + 1));
    assert_that!(reused, eq(Outcome::Reused));
    assert_that!(large, eq(Outcome::TooLarge));
    assert_that!(state.texts().newest(), eq(1));
}

#[test]
fn keeps_the_newest_texts_only() {
    let mut state = State::default();
    let count = MAX_REVISIONS as u64 + 2;
    for base in 0..count {
        submit(
            &mut state,
            &format!("s{base}"),
            base,
            &format!("text {base}"),
        );
    }
    assert_that!(state.texts().revision(2), none());
    assert_that!(state.texts().revision(3).is_some(), eq(true));
    let newest = state.texts().revision(count).map(|r| &*r.source);
    assert_that!(newest, some(eq("text 33")));
}

fn replacement(version: u64, source: &str) -> Replacement {
    Replacement {
        version,
        operator: "ana".into(),
        source: source.to_owned(),
    }
}

fn replace(state: &mut State, version: u64, source: &str) -> Outcome {
    apply(state, Change::Replace(replacement(version, source)))
}

#[test]
fn keeps_the_text_with_the_highest_version_in_any_order() {
    let mut state = State::default();
    let accepted = |version| Outcome::Accepted { version };
    let superseded = |newest| Outcome::Superseded { newest };
    assert_that!(replace(&mut state, 5, "five"), eq(accepted(5)));
    assert_that!(replace(&mut state, 9, "nine"), eq(accepted(9)));
    assert_that!(replace(&mut state, 5, "five"), eq(superseded(9)));
    assert_that!(replace(&mut state, 9, "other"), eq(superseded(9)));
    assert_that!(replace(&mut state, 9, "nine"), eq(accepted(9)));
    let bytes = state.snapshot().expect("a state can be encoded");
    let state = State::restore(&bytes).expect("a snapshot can be decoded");
    assert_that!(state.texts().newest(), eq(9));
    let source = state.texts().revision(9).map(|r| &*r.source);
    assert_that!(source, some(eq("nine")));
}

fn edit(state: &mut State, edit: Edit) -> Outcome {
    apply(state, Change::Edit(edit))
}

#[test]
fn applies_an_edit_to_the_text_that_it_was_made_for_only() {
    let mut state = State::default();
    let make = |version, source: &str, base| {
        Edit::new(&replacement(version, source), base).expect("the text can be encoded")
    };
    let accepted = |version| Outcome::Accepted { version };
    let first = make(5, "five", (0, ""));
    assert_that!(edit(&mut state, first.clone()), eq(accepted(5)));
    let second = make(9, "five and four", (5, "five"));
    let concurrent = make(8, "five and three", (5, "five"));
    assert_that!(edit(&mut state, second), eq(accepted(9)));
    let conflict = Outcome::Conflict { newest: 9 };
    assert_that!(edit(&mut state, concurrent), eq(conflict));
    assert_that!(edit(&mut state, first), eq(conflict));
    let older = make(7, "seven", (9, "five and four"));
    assert_that!(
        edit(&mut state, older),
        eq(Outcome::Superseded { newest: 9 })
    );
    let source = state.texts().revision(9).map(|r| &*r.source);
    assert_that!(source, some(eq("five and four")));
}

#[test]
fn tells_replacements_that_would_change_nothing() {
    let mut state = State::default();
    replace(&mut state, 5, "five");
    let outcome = |version, source| {
        let replacement = replacement(version, source);
        state.texts().outcome_without_change(&replacement)
    };
    let superseded = Outcome::Superseded { newest: 5 };
    assert_that!(
        outcome(5, "five"),
        some(eq(Outcome::Accepted { version: 5 }))
    );
    assert_that!(outcome(5, "other"), some(eq(superseded)));
    assert_that!(outcome(4, "four"), some(eq(superseded)));
    assert_that!(outcome(6, "five"), none());
}
