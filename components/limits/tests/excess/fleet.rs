//! The entries and the leader of a simulation.

use std::time::{Duration, Instant};

use limits::{Balance, Headroom, RECORD_PERIOD, Rate, SlidingWindow};

/// Time from a report to the arrival of its answer.
const ROUND_TRIP: Duration = Duration::from_millis(10);

/// All entries, and their leader.
pub(crate) struct Fleet {
    rate: Rate,
    window: Duration,
    leader: SlidingWindow,
    /// Slices of the last record, and its time.
    record: (Vec<(Duration, f64)>, Instant),
    entries: Vec<Entry>,
}

struct Entry {
    balance: Balance,
    recent: SlidingWindow,
    /// Tokens that were not reported yet.
    unreported: f64,
    /// Tokens admitted since the newest report was sent.
    since_report: f64,
    reported_at: Instant,
    /// Answer of the leader, and when it arrives.
    answer: Option<(Instant, Headroom)>,
}

impl Entry {
    fn new(rate: Rate, window: Duration, count: usize, now: Instant) -> Self {
        Entry {
            balance: Balance::local(rate.burst / count as f64, now),
            recent: SlidingWindow::new(window),
            unreported: 0.0,
            since_report: 0.0,
            reported_at: now,
            answer: None,
        }
    }
}

impl Fleet {
    pub(crate) fn new(count: usize, rate: Rate, window: Duration, now: Instant) -> Self {
        let entries = (0..count).map(|_| Entry::new(rate, window, count, now));
        Fleet {
            rate,
            window,
            leader: SlidingWindow::new(window),
            record: (Vec::new(), now),
            entries: entries.collect(),
        }
    }

    /// Sends an entry's report to the leader.
    pub(crate) fn report(&mut self, entry: usize, now: Instant) {
        let entry = &mut self.entries[entry];
        let interval = now - entry.reported_at;
        let tokens = std::mem::take(&mut entry.unreported);
        self.leader.add_over(tokens, interval, now);
        entry.since_report = 0.0;
        entry.reported_at = now;
        entry.answer = Some((now + ROUND_TRIP, self.leader.headroom(self.rate, now)));
        if now >= self.record.1 + RECORD_PERIOD && self.leader.needs_record(self.rate, now) {
            self.record = (self.leader.slices(now), now);
        }
    }

    /// Applies the leader's answer if it has arrived.
    pub(crate) fn receive(&mut self, entry: usize, now: Instant) {
        let entry = &mut self.entries[entry];
        if let Some((_, headroom)) = entry.answer.take_if(|(due, _)| *due <= now) {
            let headroom = Headroom {
                available: headroom.available - entry.since_report,
                remaining: headroom.remaining - entry.since_report,
                ..headroom
            };
            entry.balance = Balance::new(headroom, now);
        }
    }

    /// Decides on a request at an entry.
    pub(crate) fn admit(&mut self, entry: usize, tokens: f64, _: bool, now: Instant) -> bool {
        let count = self.entries.len() as u32;
        let entry = &mut self.entries[entry];
        let own = entry.recent.total(now);
        let is_admitted = entry.balance.take(tokens, self.rate, own, count, now);
        if is_admitted {
            entry.recent.add(tokens, now);
            entry.unreported += tokens;
            entry.since_report += tokens;
        }
        is_admitted
    }

    /// Replaces the leader by one that has the record only.
    pub(crate) fn replace_leader(&mut self, now: Instant) {
        let (slices, recorded_at) = &self.record;
        let since = now - *recorded_at;
        self.leader = SlidingWindow::from_record(slices, since, self.rate, self.window, now);
    }

    /// Replaces all entries by processes that know nothing.
    pub(crate) fn restart_entries(&mut self, now: Instant) {
        let count = self.entries.len();
        for entry in &mut self.entries {
            *entry = Entry::new(self.rate, self.window, count, now);
        }
    }
}
