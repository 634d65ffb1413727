//! Verdicts on parts of prompts.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use quarantine::{Crash, Evidence, Kind, PartId, Report, Watch};

use crate::fleet::{BAD, COMMON, Fleet, TERM};

#[test]
fn names_the_part_that_three_crashes_have_in_common_at_all_entries() {
    let mut fleet = Fleet::new(9);
    fleet.crash(&[(0, &[COMMON, BAD]), (1, &[COMMON, 7])]);
    fleet.begin_well(&[COMMON]);
    fleet.pass(Duration::from_millis(250));
    fleet.crash(&[(3, &[COMMON, 8]), (4, &[COMMON, 9, BAD])]);
    fleet.begin_well(&[COMMON]);
    fleet.pass(Duration::from_millis(250));
    assert_that!(fleet.quarantined(), is_empty());
    fleet.crash(&[(5, &[COMMON, 7, BAD]), (6, &[COMMON, 9])]);
    fleet.begin_well(&[COMMON]);
    fleet.pass(Duration::from_millis(1_500));
    assert_that!(fleet.quarantined(), eq(&vec![BAD]));
}

#[test]
fn counts_one_process_that_crashed_once() {
    let mut fleet = Fleet::new(3);
    let bad: &[PartId] = &[COMMON, BAD];
    fleet.crash(&[(0, bad), (1, bad), (2, bad)]);
    fleet.pass(Duration::from_secs(2));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn acquits_parts_with_which_answers_begin_well_elsewhere() {
    let mut fleet = Fleet::new(9);
    for _ in 0..20 {
        fleet.crash(&[(0, &[COMMON, 7]), (1, &[COMMON, 8])]);
        fleet.pass(Duration::from_millis(250));
        fleet.begin_well(&[COMMON, 7]);
        fleet.begin_well(&[COMMON, 8]);
        fleet.pass(Duration::from_millis(250));
    }
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn names_no_part_that_was_sound_after_upstreams_crash_together() {
    let mut fleet = Fleet::new(9);
    fleet.begin_well(&[COMMON, 7]);
    fleet.pass(Duration::from_secs(30));
    for _ in 0..9 {
        fleet.crash(&[(0, &[COMMON, 7]), (1, &[COMMON, 8])]);
    }
    fleet.pass(Duration::from_secs(3));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn names_a_part_that_was_sound_before_it_crashes_upstreams() {
    let mut fleet = Fleet::new(9);
    fleet.begin_well(&[COMMON, BAD]);
    for _ in 0..5 {
        fleet.pass(Duration::from_millis(750));
        fleet.crash(&[(0, &[COMMON, BAD])]);
        fleet.begin_well(&[COMMON]);
    }
    fleet.pass(Duration::from_millis(1_500));
    assert_that!(fleet.quarantined(), eq(&vec![BAD]));
}

#[test]
fn names_the_last_of_parts_that_always_come_together() {
    let mut fleet = Fleet::new(3);
    for crash in 1..=4 {
        fleet.crash(&[(0, &[3, BAD])]);
        fleet.pass(Duration::from_millis(1_500));
        let expected = if crash < 4 { vec![] } else { vec![BAD] };
        assert_that!(fleet.quarantined(), eq(&expected), "{crash} crashes");
    }
}

#[test]
fn charges_no_other_part_with_crashes_that_are_explained() {
    let mut fleet = Fleet::new(3);
    fleet.condemn_bad_part();
    for _ in 0..5 {
        fleet.crash(&[(0, &[COMMON, BAD]), (1, &[COMMON, 7])]);
        fleet.pass(Duration::from_millis(500));
    }
    assert_that!(fleet.quarantined(), eq(&vec![BAD]));
}

#[test]
fn waits_for_entries_that_know_the_part_to_be_sound() {
    let mut fleet = Fleet::new(2);
    fleet.pass(Duration::from_secs(3));
    fleet.begin_well(&[7]);
    for _ in 0..3 {
        fleet.crash(&[(0, &[7])]);
        fleet.now += Duration::from_millis(150);
        fleet.report_of(0);
    }
    fleet.pass(Duration::from_secs(2));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn waits_for_entries_of_which_a_new_leader_has_not_heard() {
    let mut fleet = Fleet::new(2);
    fleet.begin_well(&[7]);
    for _ in 0..3 {
        fleet.crash(&[(0, &[7])]);
        fleet.now += Duration::from_millis(150);
        fleet.report_of(0);
    }
    fleet.pass(Duration::from_secs(2));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn decides_without_an_entry_that_does_not_answer() {
    let mut fleet = Fleet::new(3);
    fleet.report();
    for _ in 0..3 {
        fleet.crash(&[(0, &[BAD])]);
        for _ in 0..3 {
            fleet.now += Duration::from_millis(250);
            fleet.report_of(0);
            fleet.report_of(1);
        }
    }
    assert_that!(fleet.entries[1].refusal(&[BAD], fleet.now), some(eq(BAD)));
}

#[test]
fn counts_a_crash_once_though_it_is_reported_again_after_a_lost_answer() {
    let mut fleet = Fleet::new(1);
    fleet.crash(&[(0, &[BAD])]);
    for _ in 0..20 {
        fleet.now += Duration::from_millis(250);
        let report = fleet.entries[0].report(fleet.now);
        let process = ("entry-0".into(), 1);
        fleet.evidence.record(&process, &report, fleet.now);
    }
    fleet.pass(Duration::from_secs(1));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn grants_three_trials_in_all_to_one_entry_each() {
    let mut fleet = Fleet::new(9);
    fleet.condemn_bad_part();
    let mut sent = 0;
    for _ in 0..2_000 {
        fleet.now += Duration::from_millis(500);
        fleet.keep_record();
        for entry in 0..9 {
            let now = fleet.now;
            if fleet.entries[entry].refusal(&[COMMON, BAD], now).is_none() {
                sent += 1;
                fleet.crash(&[(entry, &[COMMON, BAD])]);
            }
        }
        fleet.report();
    }
    assert_that!(sent, eq(Kind::Part.trial_pauses().len()));
}

#[test]
fn grants_no_trial_before_it_is_recorded() {
    let mut fleet = Fleet::new(1);
    fleet.condemn_bad_part();
    fleet.pass(Kind::Part.trial_pauses()[0]);
    fleet.entries[0].refusal(&[BAD], fleet.now);
    fleet.report();
    fleet.evidence.begin_trials(fleet.now);
    fleet.entries[0].refusal(&[BAD], fleet.now);
    assert_that!(fleet.report_of(0).trials, is_empty());
    fleet.evidence.open_trials();
    fleet.entries[0].refusal(&[BAD], fleet.now);
    assert_that!(fleet.report_of(0).trials, eq(&vec![BAD]));
}

#[test]
fn lifts_a_verdict_once_an_answer_begins_well() {
    let mut fleet = Fleet::new(9);
    fleet.condemn_bad_part();
    fleet.pass(Duration::from_secs(1));
    fleet.begin_well(&[COMMON, BAD]);
    fleet.pass(Duration::from_millis(500));
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn keeps_verdicts_and_trials_at_a_new_leader() {
    let mut fleet = Fleet::new(9);
    fleet.condemn_bad_part();
    let is_to_be_recorded = fleet.evidence.take_changed();
    assert_that!(is_to_be_recorded, eq(true));
    let records = fleet.evidence.records(fleet.now);
    fleet.evidence = Evidence::new(Kind::Part, TERM + 1, &records, fleet.now);
    fleet.entries[3] = Watch::default();
    fleet.report();
    assert_that!(fleet.quarantined(), eq(&vec![BAD]));
    assert_that!(records[0].trials, eq(0));
}

#[test]
fn keeps_a_verdict_at_an_entry_that_is_cut_off() {
    let mut fleet = Fleet::new(2);
    fleet.condemn_bad_part();
    fleet.now += Duration::from_secs(300);
    assert_that!(
        fleet.entries[1].refusal(&[COMMON, BAD], fleet.now),
        some(eq(BAD))
    );
}

#[test]
fn drops_a_verdict_for_which_no_prompt_comes() {
    let mut fleet = Fleet::new(1);
    fleet.condemn_bad_part();
    fleet.now += Duration::from_secs(700);
    fleet.report();
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn keeps_reports_small_however_many_crashes_there_are() {
    let mut watch = Watch::default();
    let now = Instant::now();
    for crash in 0..1_000_u64 {
        let parts: Vec<PartId> = (0..100).map(|part| crash * 100 + part).collect();
        watch.record_crash(&format!("u-{crash}").into(), crash, &parts, now);
        watch.record_crash(&format!("u-{crash}").into(), crash, &parts[50..], now);
    }
    let Report { crashes, .. } = watch.report(now);
    assert_that!(crashes.len(), le(64));
    let suspects = crashes.iter().map(|crash: &Crash| crash.suspects.len());
    assert_that!(suspects.sum::<usize>(), le(64 * 128));
}
