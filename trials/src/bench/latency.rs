//! Latency through the entry and without it, by turns.

use std::io;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::Row;
use super::client::Client;
use super::rig::Rig;

/// Calls of each kind and path.
const CALLS: u64 = 2_000;
/// Streams of each path, and their tokens.
const STREAMS: u64 = 50;
const TOKENS: usize = 200;
const LONGEST_NANOSECONDS: u64 = 60_000_000_000;

/// Two histograms in nanoseconds.
struct Pair {
    direct: Histogram<u64>,
    entry: Histogram<u64>,
}

impl Pair {
    fn new() -> Pair {
        let empty =
            || Histogram::new_with_bounds(1, LONGEST_NANOSECONDS, 3).expect("the bounds are valid");
        Pair {
            direct: empty(),
            entry: empty(),
        }
    }

    fn rows(&self, what: &str) -> Vec<Row> {
        let mut rows = Vec::new();
        for (name, quantile) in [("p50", 0.50), ("p99", 0.99)] {
            let at = |it: &Histogram<u64>| it.value_at_quantile(quantile) as f64 / 1e6;
            let (direct, entry) = (at(&self.direct), at(&self.entry));
            rows.push(Row::new(format!("{what}, direct, {name}"), direct, "ms"));
            rows.push(Row::new(
                format!("{what}, through the entry, {name}"),
                entry,
                "ms",
            ));
            rows.push(Row::new(
                format!("{what}, added, {name}"),
                entry - direct,
                "ms",
            ));
        }
        rows
    }
}

/// Measures reads of the plain service, one after the other.
pub(super) async fn reads(rig: &Rig) -> io::Result<Vec<Row>> {
    let (direct, entry) = (rig.direct(rig.plain.address()), rig.through_entry());
    let mut pair = Pair::new();
    for number in 0..CALLS {
        pair.direct
            .saturating_record(timed(direct.read(number)).await?);
        pair.entry
            .saturating_record(timed(entry.read(number)).await?);
    }
    Ok(pair.rows("read of a plain service"))
}

/// Measures whole answers of one token.
pub(super) async fn answers(rig: &Rig) -> io::Result<Vec<Row>> {
    const SHARE: u64 = 10;
    let (direct, entry) = (rig.direct(rig.engine.address()), rig.through_entry());
    let mut pair = Pair::new();
    for number in 0..CALLS / SHARE {
        pair.direct
            .saturating_record(timed(direct.answer(number)).await?);
        pair.entry
            .saturating_record(timed(entry.answer(number)).await?);
    }
    Ok(pair.rows("whole answer of one token"))
}

/// Measures times between tokens of streams that run together.
pub(super) async fn tokens(rig: &Rig) -> io::Result<Vec<Row>> {
    let (direct, entry) = (rig.direct(rig.engine.address()), rig.through_entry());
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        for (client, is_direct) in [(&direct, true), (&entry, false)] {
            streams.spawn(gaps(client.clone(), number, is_direct));
        }
    }
    let mut pair = Pair::new();
    while let Some(ended) = streams.join_next().await {
        let (gaps, is_direct) = ended.map_err(io::Error::other)??;
        let histogram = if is_direct {
            &mut pair.direct
        } else {
            &mut pair.entry
        };
        for gap in gaps {
            histogram.saturating_record(gap.as_nanos() as u64);
        }
    }
    Ok(pair.rows("between tokens"))
}

async fn gaps(client: Client, number: u64, direct: bool) -> io::Result<(Vec<Duration>, bool)> {
    let times = client.stream_times(number, TOKENS).await?;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Ok((gaps, direct))
}

async fn timed(call: impl Future<Output = io::Result<()>>) -> io::Result<u64> {
    let started = Instant::now();
    call.await?;
    Ok(started.elapsed().as_nanos() as u64)
}
