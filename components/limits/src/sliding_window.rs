//! Tokens that an account spent at all entries within a sliding window, for a limit that the
//! entries share. Entries admit requests without asking the leader and report to it afterwards.
//!
//! The limit holds for every window of a fixed length: the steady rate over the window, and the
//! burst. Requests may be uneven within a window, since a single prompt can use as many tokens as
//! the rate yields in a second, but the limit of a whole window can't be spent at once.
//!
//! Entries decide on a headroom that is some hundred milliseconds old, so an account can exceed its
//! limit; the excess is deducted later. In exchange no request waits for the leader, and none is
//! refused while any part of the limit is left.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::Rate;

/// Longest time between two records of what accounts spent.
pub const RECORD_PERIOD: Duration = Duration::from_millis(500);
/// Tokens that may be spent at once in addition to the burst, as time at the steady rate. An
/// account that spent the limit of a whole window at once would have no tokens for the rest of the
/// window.
const EXTRA_BURST: Duration = Duration::from_secs(1);
/// Age of the newest reports of entries. The leader does not know what was spent since then.
const REPORT_AGE: Duration = Duration::from_millis(250);
/// Slices into which a window is divided. The tokens of a slice leave the window together.
const SLICES: u32 = 16;

/// Tokens spent within the last window, counted in slices.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    length: Duration,
    /// Start and tokens of each slice, oldest first.
    slices: VecDeque<(Instant, f64)>,
}

impl SlidingWindow {
    /// Returns a window of this length in which no tokens were spent.
    pub fn new(length: Duration) -> Self {
        SlidingWindow {
            length,
            slices: VecDeque::new(),
        }
    }

    /// Returns a window in which tokens were spent at the steady rate all the time. A leader starts
    /// with it if there is no record of an account: the account is held to its rate until the
    /// unknown past has left the window.
    pub fn at_steady_rate(rate: Rate, length: Duration, now: Instant) -> Self {
        SlidingWindow {
            length,
            slices: SlidingWindow::steady_slices(rate, length, length, now).collect(),
        }
    }

    /// Returns a window with the slices that an earlier leader recorded `since` ago, given as age
    /// at that time and tokens, oldest first. What was spent after the record is not known: tokens
    /// count as spent at the latest pace until the next record was due, and at the steady rate from
    /// then on.
    pub fn from_record(
        slices: &[(Duration, f64)],
        since: Duration,
        rate: Rate,
        length: Duration,
        now: Instant,
    ) -> Self {
        let recorded = slices
            .iter()
            .filter_map(|(age, tokens)| Some((now.checked_sub(*age + since)?, *tokens)));
        let is_latest = |(age, _): &&(Duration, f64)| *age <= RECORD_PERIOD;
        let latest: f64 = slices.iter().filter(is_latest).map(|(_, sum)| sum).sum();
        let pace = (latest / RECORD_PERIOD.as_secs_f64()).max(rate.per_second);
        let tokens = pace * (since.min(RECORD_PERIOD) + REPORT_AGE).as_secs_f64();
        let at_latest_pace = now.checked_sub(since).map(|at| (at, tokens));
        let steady =
            SlidingWindow::steady_slices(rate, since.saturating_sub(RECORD_PERIOD), length, now);
        let mut window = SlidingWindow {
            length,
            slices: recorded.chain(at_latest_pace).chain(steady).collect(),
        };
        window.expire(now);
        window
    }

    /// Returns slices that spend the steady rate for `time` up to now, oldest first.
    fn steady_slices(
        rate: Rate,
        time: Duration,
        length: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, f64)> {
        let width = length / SLICES;
        let time = time.min(length);
        let count = time.as_nanos().div_ceil(width.as_nanos().max(1));
        let count = u32::try_from(count).unwrap_or(SLICES);
        (1..=count).rev().filter_map(move |back| {
            let began = now.checked_sub(width * back)?;
            let span = time.saturating_sub(width * (back - 1)).min(width);
            Some((began, rate.per_second * span.as_secs_f64()))
        })
    }

    /// Reports whether more than half of the limit was spent. The leader records only such
    /// accounts: for the others the steady rate is a sufficient estimate.
    pub fn needs_record(&mut self, rate: Rate, now: Instant) -> bool {
        self.total(now) > rate.within(self.length) / 2.0
    }

    /// Returns the age of each slice and its tokens, oldest first.
    pub fn slices(&mut self, now: Instant) -> Vec<(Duration, f64)> {
        self.expire(now);
        let slices = self.slices.iter();
        slices
            .map(|(began, tokens)| (now.saturating_duration_since(*began), *tokens))
            .collect()
    }

    /// Adds tokens that are spent now.
    pub fn add(&mut self, tokens: f64, now: Instant) {
        self.expire(now);
        let width = self.length / SLICES;
        match self.slices.back_mut() {
            Some((began, sum)) if now.saturating_duration_since(*began) < width => *sum += tokens,
            _ => self.slices.push_back((now, tokens)),
        }
    }

    /// Adds tokens that were spent evenly over `time` up to now, as reported by an entry whose
    /// previous report is that old.
    pub fn add_over(&mut self, tokens: f64, time: Duration, now: Instant) {
        let width = self.length / SLICES;
        let count = (time.min(self.length).as_nanos() / width.as_nanos().max(1)).max(1);
        let count = u32::try_from(count).unwrap_or(SLICES);
        for back in (1..count).rev() {
            if let Some(at) = now.checked_sub(width * back) {
                self.insert(tokens / f64::from(count), at);
            }
        }
        self.add(tokens / f64::from(count), now);
    }

    /// Adds the slices of another window, each multiplied by `factor`.
    pub fn add_all(&mut self, other: &SlidingWindow, factor: f64) {
        for (began, tokens) in &other.slices {
            self.insert(tokens * factor, *began);
        }
    }

    /// Removes tokens that were added at `at` or later. They are removed from an earlier slice than
    /// they were added to rather than from a later one, so that the total is not too small after
    /// that slice has left the window.
    pub fn remove(&mut self, tokens: f64, at: Instant) {
        let later = self.slices.iter().rev();
        let later = later.take_while(|(began, _)| *began > at).count();
        let index = (self.slices.len() - later).saturating_sub(1);
        if let Some((_, sum)) = self.slices.get_mut(index) {
            *sum -= tokens;
        }
    }

    /// Returns the length of the window.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Changes the length of the window.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Adds a slice that began at an earlier time.
    fn insert(&mut self, tokens: f64, at: Instant) {
        let later = self
            .slices
            .iter()
            .rev()
            .take_while(|(began, _)| *began > at);
        let position = self.slices.len() - later.count();
        self.slices.insert(position, (at, tokens));
    }

    /// Returns the tokens that may be spent at once under the limit `rate`; below zero after the
    /// limit was exceeded.
    pub fn available(&mut self, rate: Rate, now: Instant) -> f64 {
        self.expire(now);
        let mut spent = 0.0;
        let mut available = rate.burst + rate.per_second * EXTRA_BURST.as_secs_f64();
        for (began, sum) in self.slices.iter().rev() {
            spent += sum;
            let span = now.saturating_duration_since(*began) + EXTRA_BURST;
            available = available.min(rate.within(span.min(self.length)) - spent);
        }
        available.min(rate.within(self.length) - spent)
    }

    /// Returns the tokens that all entries may spend now. It deducts what entries spend between two
    /// reports if they continue at the latest pace.
    pub fn unreserved(&mut self, rate: Rate, now: Instant) -> f64 {
        let is_latest = |at: &Instant| now.saturating_duration_since(*at) <= RECORD_PERIOD;
        let latest = self.slices.iter().filter(|(at, _)| is_latest(at));
        let pace = latest.map(|(_, sum)| sum).sum::<f64>() / RECORD_PERIOD.as_secs_f64();
        self.available(rate, now) - pace * REPORT_AGE.as_secs_f64()
    }

    /// Returns the tokens spent within the window.
    pub fn total(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.slices.iter().map(|(_, sum)| sum).sum()
    }

    /// Drops the slices that have left the window.
    fn expire(&mut self, now: Instant) {
        let max_age = self.length + self.length / SLICES;
        while let Some((began, _)) = self.slices.front() {
            if now.saturating_duration_since(*began) < max_age {
                break;
            }
            self.slices.pop_front();
        }
    }
}
