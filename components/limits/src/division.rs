//! The leader's division of an account's limit among the entries.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId};
use indexmap::IndexMap;

use crate::{Rate, SlidingWindow, Statement};

/// Fraction of the unspent limit that is divided evenly; the rest is for entries that ask for more.
const EVEN_FRACTION: f64 = 0.75;
/// Fraction of the limit below which less of what is unspent is divided evenly: even shares that
/// are smaller than a request are of no use.
const SCARCE_FRACTION: f64 = 0.5;
/// Largest fraction of the unspent limit that an entry receives in addition to what it asks for.
const MAX_EXTRA_FRACTION: f64 = 1.0 / 16.0;
/// What an entry receives in addition, as a fraction of what it spent within the window.
const EXTRA_RECENT_FRACTION: f64 = 1.0 / 32.0;
/// Time within which the entries that reach a new leader state what they hold. Until all have done
/// so, or this time is over, processes that held an allotment before keep just that.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Time after an entry's last statement for which its allotment is kept for it.
pub const ALLOTMENT_RETENTION: Duration = Duration::from_secs(60);
/// Time between two searches for entries that are silent for so long.
const SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// Division of one account's limit among the entries, by allotments.
///
/// An allotment is what an entry may spend within any window, also while it does not reach the
/// leader. The allotments add up to the limit at most, hence the entries together never spend more
/// than the limit within a window, however many there are and however the load moves. An entry's
/// allotment is what it spent recently and an even share of what nobody spent; entries that need
/// more ask for it.
#[derive(Clone, Debug)]
pub struct Division {
    window: Duration,
    entries: IndexMap<NodeId, Entry>,
    /// Sum of the entries' allotments.
    allotments: f64,
    /// Sum of the tokens that the entries spent within the window.
    recent: f64,
    /// What processes that are gone may have spent.
    gone: SlidingWindow,
    /// What all processes spent before this leader, as assumed when it took over, and their number.
    assumed: Option<(SlidingWindow, usize)>,
    /// Number of processes that this leader has taken over and that have not made a statement.
    unheard: usize,
    learning_until: Option<Instant>,
    /// When silent entries were searched for.
    searched_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// Number of its newest statement; `None` if it has not made any to this leader.
    number: Option<u64>,
    /// Largest allotment that it may hold.
    allotment: f64,
    recent: f64,
    at: Instant,
}

impl Division {
    /// Returns the division of an account that no entry has an allotment of.
    pub fn new(window: Duration) -> Self {
        Division {
            window,
            entries: IndexMap::new(),
            allotments: 0.0,
            recent: 0.0,
            gone: SlidingWindow::new(window),
            assumed: None,
            unheard: 0,
            learning_until: None,
            searched_at: None,
        }
    }

    /// Returns the division of a new leader. Each of `processes` is assumed to hold an even share
    /// until it states what it holds; `assumed` is what they spent together.
    pub fn taken_over(
        window: Duration,
        processes: &[(NodeId, Incarnation)],
        assumed: SlidingWindow,
        rate: Rate,
        now: Instant,
    ) -> Self {
        let allotment = (rate.within(window) / processes.len().max(1) as f64).floor();
        let entry = |incarnation| Entry {
            incarnation,
            number: None,
            allotment,
            recent: 0.0,
            at: now,
        };
        let entries: IndexMap<_, _> = processes
            .iter()
            .map(|(node, incarnation)| (node.clone(), entry(*incarnation)))
            .collect();
        Division {
            allotments: allotment * entries.len() as f64,
            assumed: Some((assumed, entries.len())),
            unheard: entries.len(),
            learning_until: Some(now + LEARNING_TIME),
            entries,
            ..Division::new(window)
        }
    }

    /// Returns the allotment of an entry that sent `statement`, or `None` if it has sent a later
    /// one.
    pub fn divide(
        &mut self,
        node: &NodeId,
        incarnation: Incarnation,
        number: u64,
        statement: Statement,
        rate: Rate,
        now: Instant,
    ) -> Option<f64> {
        self.drop_silent(now);
        let known = self.entries.get(node).copied();
        match known {
            Some(entry) if entry.incarnation != incarnation => self.replace(node, entry, now),
            Some(entry) if entry.number.is_some_and(|newest| number <= newest) => return None,
            Some(entry) => self.subtract(entry),
            None => {}
        }
        let (recent, held) = (statement.recent as f64, statement.allotment as f64);
        self.recent += recent;
        let allotment = match known {
            Some(entry) if entry.incarnation == incarnation && self.is_learning(now) => held,
            _ => self.allotment(node, statement, rate, now),
        };
        // The answer may be lost: the entry may keep what it holds until its next statement.
        let entry = Entry {
            incarnation,
            number: Some(number),
            allotment: allotment.max(held),
            recent,
            at: now,
        };
        self.allotments += entry.allotment;
        self.entries.insert(node.clone(), entry);
        Some(allotment)
    }

    /// Returns the allotment of an entry whose former allotment is subtracted from the sum.
    fn allotment(&mut self, node: &NodeId, statement: Statement, rate: Rate, now: Instant) -> f64 {
        let limit = (rate.within(self.window) - self.gone.total(now)).max(1.0);
        let free = (limit - self.allotments).max(0.0);
        let unspent = (limit - self.recent).max(0.0);
        let others = self.entries.len() - usize::from(self.entries.contains_key(node));
        let plenty = (unspent / (limit * SCARCE_FRACTION)).clamp(0.0, 1.0);
        let even = unspent * EVEN_FRACTION * plenty / (others + 1) as f64;
        let extra = match statement.wanted {
            0 => 0.0,
            wanted => {
                let extra = (statement.recent as f64 * EXTRA_RECENT_FRACTION).max(wanted as f64);
                wanted as f64 + extra.min(unspent * MAX_EXTRA_FRACTION)
            }
        };
        let desired = statement.recent as f64 + even.max(extra);
        desired.min(free).floor()
    }

    /// Reports whether processes may hold allotments that this leader does not know yet.
    fn is_learning(&self, now: Instant) -> bool {
        self.unheard > 0 && self.learning_until.is_some_and(|until| now < until)
    }

    /// Records that the process of an entry was replaced by a later one. The former one can have
    /// spent its whole allotment; one that this leader has not heard of, an even share of what all
    /// spent.
    fn replace(&mut self, node: &NodeId, entry: Entry, now: Instant) {
        self.subtract(entry);
        self.entries.swap_remove(node);
        match (&self.assumed, entry.number) {
            (Some((assumed, count)), None) => self.gone.add_all(assumed, 1.0 / *count as f64),
            _ => self.gone.add(entry.allotment, now),
        }
    }

    fn subtract(&mut self, entry: Entry) {
        self.unheard -= usize::from(entry.number.is_none());
        self.allotments -= entry.allotment;
        self.recent -= entry.recent;
    }

    /// Drops entries that have not made a statement for a long time.
    fn drop_silent(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SEARCH_PERIOD;
        if self.searched_at.is_some_and(is_recent) {
            return;
        }
        self.searched_at = Some(now);
        let is_silent =
            |entry: &Entry| now.saturating_duration_since(entry.at) >= ALLOTMENT_RETENTION;
        let silent = self.entries.values().copied().filter(is_silent);
        for entry in silent.collect::<Vec<_>>() {
            self.subtract(entry);
        }
        self.entries.retain(|_, entry| !is_silent(entry));
    }
}
