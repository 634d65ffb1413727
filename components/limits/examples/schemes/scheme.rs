//! Schemes that enforce a limit over all entries.

use std::fmt;
use std::time::{Duration, Instant};

use config::ids::NodeId;
use limits::{Bucket, Decision, Meter, Policy, Report, Share};

use crate::arrivals::{Arrival, ENTRIES, Load};
use crate::score::Score;

/// Capacity of a bucket, as time at its rate.
const BURST: Duration = Duration::from_secs(1);

/// A scheme that enforces a limit over all entries.
pub(crate) enum Scheme {
    /// The leader decides on each request.
    AskEach,
    /// Each entry enforces an equal part of the limit by itself.
    StaticSplit,
    /// Entries spend leased batches, and draw again when one is spent or its lease has expired.
    Leased(Policy),
}

impl fmt::Display for Scheme {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scheme::AskEach => f.write_str("ask-each"),
            Scheme::StaticSplit => f.write_str("static-split"),
            Scheme::Leased(policy) => write!(
                f,
                "leased-N{}-T{}ms-B{}ms-P{}ms",
                policy.max_batch,
                policy.lease.as_millis(),
                policy.max_batch_time.as_millis(),
                policy.min_retry_after.as_millis()
            ),
        }
    }
}

impl Scheme {
    pub(crate) fn run(&self, rate: f64, load: &Load) -> Score {
        let arrivals = load.arrivals();
        let start = Instant::now();
        let (admitted, messages) = match self {
            Scheme::AskEach => ask_each(rate, &arrivals, start),
            Scheme::StaticSplit => (static_split(rate, &arrivals, start), 0),
            Scheme::Leased(policy) => leased(rate, &arrivals, start, *policy),
        };
        Score::new(rate, arrivals.len(), &admitted, messages)
    }
}

fn ask_each(rate: f64, arrivals: &[Arrival], start: Instant) -> (Vec<Duration>, usize) {
    let mut bucket = Bucket::new(rate, BURST, start);
    let admitted = arrivals
        .iter()
        .filter(|arrival| bucket.take(1.0, 0.0, start + arrival.at))
        .map(|arrival| arrival.at)
        .collect();
    (admitted, 2 * arrivals.len())
}

fn static_split(rate: f64, arrivals: &[Arrival], start: Instant) -> Vec<Duration> {
    let mut buckets = [Bucket::new(rate / ENTRIES as f64, BURST, start); ENTRIES];
    arrivals
        .iter()
        .filter(|arrival| buckets[arrival.entry].take(1.0, 0.0, start + arrival.at))
        .map(|arrival| arrival.at)
        .collect()
}

fn leased(
    rate: f64,
    arrivals: &[Arrival],
    start: Instant,
    policy: Policy,
) -> (Vec<Duration>, usize) {
    let mut meter = Meter::new(policy);
    let mut shares = [Share::default(); ENTRIES];
    let (mut admitted, mut messages) = (Vec::new(), 0);
    for arrival in arrivals {
        let now = start + arrival.at;
        let share = &mut shares[arrival.entry];
        let mut decision = share.decide(1.0, now);
        if decision == Decision::Draw {
            messages += 2;
            let report = Report {
                account: "shop".into(),
                unspent: share.take_unspent(now),
                wanted: 1.0,
            };
            let entry: NodeId = format!("entry-{}", arrival.entry).into();
            share.accept(meter.draw(&entry, &report, rate, now), now);
            decision = share.decide(1.0, now);
        }
        if decision == Decision::Admitted {
            admitted.push(arrival.at);
        }
    }
    (admitted, messages)
}
