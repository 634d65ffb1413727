//! Verdicts from the reports of several entries.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use quarantine::{Crash, Evidence, Kind, Notice, PartId, Report, Watch};

/// Part that all prompts begin with.
const COMMON: PartId = 1;
/// Part that crashes upstreams.
const BAD: PartId = 2;
const TERM: u64 = 1;

/// A leader and entries that report to it every 250 ms.
struct Fleet {
    evidence: Evidence,
    entries: Vec<Watch>,
    now: Instant,
    crashes: u64,
}

impl Fleet {
    fn new(entries: usize) -> Fleet {
        Fleet::of_kind(Kind::Part, entries)
    }

    fn of_kind(kind: Kind, entries: usize) -> Fleet {
        let now = Instant::now() + Duration::from_secs(3_600);
        Fleet {
            evidence: Evidence::new(kind, TERM, &[], now),
            entries: (0..entries).map(|_| Watch::default()).collect(),
            now,
            crashes: 0,
        }
    }

    /// Reports of all entries, one after the other.
    fn report(&mut self) {
        for index in 0..self.entries.len() {
            self.report_of(index);
        }
    }

    fn report_of(&mut self, index: usize) -> Notice {
        let entry = &mut self.entries[index];
        let report = entry.report(self.now);
        let process = (format!("entry-{index}").into(), 1);
        let notice = self.evidence.record(&process, &report, self.now);
        entry.apply(notice.clone(), self.now);
        notice
    }

    /// Lets the time pass, with reports.
    fn pass(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Duration::from_millis(250);
            self.report();
        }
    }

    /// Another upstream crashes under prompts of the given entries.
    fn crash(&mut self, prompts: &[(usize, &[PartId])]) {
        self.crashes += 1;
        let upstream = format!("u-{}", self.crashes).into();
        for (entry, parts) in prompts {
            self.entries[*entry].record_crash(&upstream, self.crashes, parts, self.now);
        }
    }

    /// Crashes three upstreams under prompts with the bad part, and waits for the verdict.
    fn condemn_bad_part(&mut self) {
        for _ in 0..3 {
            self.crash(&[(0, &[COMMON, BAD])]);
            self.begin_well(&[COMMON]);
            self.pass(Duration::from_millis(500));
        }
        assert_that!(self.quarantined(), eq(&vec![BAD]));
    }

    fn begin_well(&mut self, parts: &[PartId]) {
        let now = self.now;
        let last = self.entries.last_mut().expect("there is an entry");
        last.record_begun_well(parts, now);
    }

    /// The parts for which the first entry refuses prompts, as the last one does.
    fn quarantined(&mut self) -> Vec<PartId> {
        let now = self.now;
        let mut by_entry = self.entries.iter_mut().map(|entry| {
            let parts = 0..100;
            let refused = parts.filter(|part| entry.refusal(&[*part], now).is_some());
            refused.collect::<Vec<PartId>>()
        });
        let first = by_entry.next().expect("there is an entry");
        assert_that!(by_entry.all(|other| other == first), eq(true));
        first
    }

    /// Records the verdicts, as the control group does twice a second.
    fn keep_record(&mut self) {
        self.evidence.begin_trials(self.now);
        if self.evidence.take_changed() {
            self.evidence.open_trials();
        }
    }
}

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

/// Fingerprint of a request that crashes upstreams.
const CRASHING: PartId = 50;

#[test]
fn names_a_request_after_three_crashes_however_close_to_each_other() {
    let mut fleet = Fleet::of_kind(Kind::Request, 4);
    for entry in 0..3 {
        fleet.crash(&[(entry, &[CRASHING]), (3, &[entry as PartId])]);
    }
    fleet.pass(Duration::from_millis(1_500));
    assert_that!(fleet.quarantined(), eq(&vec![CRASHING]));
}

#[test]
fn asks_entries_for_no_request_that_upstreams_ran_at_one_crash_only() {
    let mut fleet = Fleet::of_kind(Kind::Request, 2);
    for crash in 0..20 {
        let bystanders: Vec<PartId> = (0..60).map(|number| 1_000 + crash * 60 + number).collect();
        fleet.crash(&[(0, &bystanders)]);
        fleet.pass(Duration::from_millis(250));
        assert_that!(fleet.report_of(0).watched, is_empty());
    }
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn names_no_request_that_is_answered_between_the_crashes() {
    let mut fleet = Fleet::of_kind(Kind::Request, 3);
    for _ in 0..8 {
        fleet.crash(&[(0, &[COMMON])]);
        fleet.pass(Duration::from_millis(250));
        fleet.begin_well(&[COMMON]);
        fleet.pass(Duration::from_millis(250));
    }
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn lets_a_request_through_twice_at_most_after_its_verdict() {
    let mut fleet = Fleet::of_kind(Kind::Request, 2);
    for _ in 0..3 {
        fleet.crash(&[(0, &[CRASHING])]);
        fleet.pass(Duration::from_millis(500));
    }
    fleet.pass(Duration::from_secs(1));
    assert_that!(fleet.quarantined(), eq(&vec![CRASHING]));
    let mut sent = 0;
    for _ in 0..2_000 {
        fleet.now += Duration::from_millis(500);
        fleet.keep_record();
        let now = fleet.now;
        if fleet.entries[0].refusal(&[CRASHING], now).is_none() {
            sent += 1;
            fleet.crash(&[(0, &[CRASHING])]);
        }
        fleet.report();
    }
    assert_that!(sent, eq(2));
}
