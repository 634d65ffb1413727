//! The entries and the leader of a simulation.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId};
use limits::{Decision, Division, Headroom, Holding, RECORD_PERIOD, Rate, SlidingWindow};

/// Time from a statement to the arrival of its answer.
const ROUND_TRIP: Duration = Duration::from_millis(10);

/// All entries, and their leader.
pub(crate) struct Fleet {
    rate: Rate,
    window: Duration,
    leader: Leader,
    /// Slices of the last record, and its time.
    record: (Vec<(Duration, f64)>, Instant),
    entries: Vec<Entry>,
    incarnation: Incarnation,
    draws: usize,
}

struct Leader {
    pace: SlidingWindow,
    division: Division,
}

struct Entry {
    node: NodeId,
    holding: Holding,
    /// Total of the newest statement, and its time.
    stated: (u64, Instant),
    number: u64,
    /// Answer of the leader, and when it arrives.
    answer: Option<(Instant, Headroom)>,
}

impl Entry {
    fn new(index: usize, now: Instant) -> Self {
        Entry {
            node: format!("entry-{index}").into(),
            holding: Holding::default(),
            stated: (0, now),
            number: 0,
            answer: None,
        }
    }
}

impl Fleet {
    pub(crate) fn new(count: usize, rate: Rate, window: Duration, now: Instant) -> Self {
        Fleet {
            rate,
            window,
            leader: Leader {
                pace: SlidingWindow::new(window),
                division: Division::new(window),
            },
            record: (Vec::new(), now),
            entries: (0..count).map(|index| Entry::new(index, now)).collect(),
            incarnation: 1,
            draws: 0,
        }
    }

    /// Sends an entry's statement to the leader.
    pub(crate) fn report(&mut self, entry: usize, now: Instant) {
        let headroom = self.exchange(entry, 0, now);
        self.entries[entry].answer = Some((now + ROUND_TRIP, headroom));
        if now >= self.record.1 + RECORD_PERIOD && self.leader.pace.needs_record(self.rate, now) {
            self.record = (self.leader.pace.slices(now), now);
        }
    }

    /// Applies the leader's answer if it has arrived.
    pub(crate) fn receive(&mut self, entry: usize, now: Instant) {
        let entry = &mut self.entries[entry];
        if let Some((_, headroom)) = entry.answer.take_if(|(due, _)| *due <= now) {
            entry.holding.apply(headroom, self.window, now);
        }
    }

    /// Decides on a request at an entry. A draw is answered at once.
    pub(crate) fn admit(
        &mut self,
        entry: usize,
        tokens: u64,
        is_connected: bool,
        now: Instant,
    ) -> bool {
        let decision = self.entries[entry].holding.take(tokens, self.rate, now);
        match decision {
            Decision::Draw if is_connected => {
                self.draws += 1;
                let headroom = self.exchange(entry, tokens, now);
                let entry = &mut self.entries[entry];
                entry.answer = None;
                entry.holding.apply(headroom, self.window, now);
                let decision = entry.holding.take(tokens, self.rate, now);
                if decision == Decision::Draw {
                    entry.holding.pause_draws(now);
                }
                decision == Decision::Admitted
            }
            decision => decision == Decision::Admitted,
        }
    }

    /// Replaces the leader by one that has the record only.
    pub(crate) fn replace_leader(&mut self, incarnation: Incarnation, now: Instant) {
        let (slices, recorded_at) = &self.record;
        let since = now - *recorded_at;
        let assumed = SlidingWindow::from_record(slices, since, self.rate, self.window, now);
        let nodes = self.entries.iter().map(|entry| entry.node.clone());
        let processes: Vec<_> = nodes.map(|node| (node, incarnation)).collect();
        self.leader = Leader {
            division: Division::taken_over(
                self.window,
                &processes,
                assumed.clone(),
                self.rate,
                now,
            ),
            pace: assumed,
        };
    }

    /// Replaces all entries by processes that know nothing, and returns the former incarnation.
    pub(crate) fn restart_entries(&mut self, now: Instant) -> Incarnation {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            *entry = Entry::new(index, now);
        }
        self.incarnation += 1;
        self.incarnation - 1
    }

    /// Returns the number of draws so far.
    pub(crate) fn draws(&self) -> usize {
        self.draws
    }

    /// Returns the incarnation of the entries.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn exchange(&mut self, entry: usize, wanted: u64, now: Instant) -> Headroom {
        let entry = &mut self.entries[entry];
        let statement = entry.holding.statement(wanted, now);
        entry.number += 1;
        let Leader { pace, division } = &mut self.leader;
        let spent = statement.total.saturating_sub(entry.stated.0);
        pace.add_over(spent as f64, now - entry.stated.1, now);
        entry.stated = (statement.total, now);
        let allotment = division.divide(
            &entry.node,
            self.incarnation,
            entry.number,
            statement,
            self.rate,
            now,
        );
        Headroom {
            available: pace.unreserved(self.rate, now),
            allotment: allotment.expect("statements arrive in order"),
        }
    }
}
