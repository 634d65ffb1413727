//! A leader and entries that report to it, without a network.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use quarantine::{Evidence, Kind, Notice, PartId, Watch};

/// Part that all prompts begin with.
pub(crate) const COMMON: PartId = 1;
/// Part that crashes upstreams.
pub(crate) const BAD: PartId = 2;
pub(crate) const TERM: u64 = 1;

/// A leader and entries that report to it every 250 ms.
pub(crate) struct Fleet {
    pub(crate) evidence: Evidence,
    pub(crate) entries: Vec<Watch>,
    pub(crate) now: Instant,
    crashes: u64,
}

impl Fleet {
    pub(crate) fn new(entries: usize) -> Fleet {
        Fleet::of_kind(Kind::Part, entries)
    }

    pub(crate) fn of_kind(kind: Kind, entries: usize) -> Fleet {
        let now = Instant::now() + Duration::from_secs(3_600);
        Fleet {
            evidence: Evidence::new(kind, TERM, &[], now),
            entries: (0..entries).map(|_| Watch::default()).collect(),
            now,
            crashes: 0,
        }
    }

    /// Reports of all entries, one after the other.
    pub(crate) fn report(&mut self) {
        for index in 0..self.entries.len() {
            self.report_of(index);
        }
    }

    pub(crate) fn report_of(&mut self, index: usize) -> Notice {
        let entry = &mut self.entries[index];
        let report = entry.report(self.now);
        let process = (format!("entry-{index}").into(), 1);
        let notice = self.evidence.record(&process, &report, self.now);
        entry.apply(notice.clone(), self.now);
        notice
    }

    /// Lets the time pass, with reports.
    pub(crate) fn pass(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Duration::from_millis(250);
            self.report();
        }
    }

    /// Another upstream crashes under prompts of the given entries.
    pub(crate) fn crash(&mut self, prompts: &[(usize, &[PartId])]) {
        self.crashes += 1;
        let upstream = format!("u-{}", self.crashes).into();
        for (entry, parts) in prompts {
            self.entries[*entry].record_crash(&upstream, self.crashes, parts, self.now);
        }
    }

    /// Crashes three upstreams under prompts with the bad part, and waits for the verdict.
    pub(crate) fn condemn_bad_part(&mut self) {
        for _ in 0..3 {
            self.crash(&[(0, &[COMMON, BAD])]);
            self.begin_well(&[COMMON]);
            self.pass(Duration::from_millis(500));
        }
        assert_that!(self.quarantined(), eq(&vec![BAD]));
    }

    pub(crate) fn begin_well(&mut self, parts: &[PartId]) {
        let now = self.now;
        let last = self.entries.last_mut().expect("there is an entry");
        last.record_begun_well(parts, now);
    }

    /// The parts for which the first entry refuses prompts, as the last one does.
    pub(crate) fn quarantined(&mut self) -> Vec<PartId> {
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
    pub(crate) fn keep_record(&mut self) {
        self.evidence.begin_trials(self.now);
        if self.evidence.take_changed() {
            self.evidence.open_trials();
        }
    }
}
