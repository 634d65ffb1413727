//! Compares ways to keep the limit of one upstream over many entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use limits::{Bucket, Naming, PERMIT_LIFETIME, Permits, Process};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 0x5eed_0026;
/// Simulated time of each run, after the limit is known everywhere.
const LENGTH: Duration = Duration::from_secs(120);
const STEP: Duration = Duration::from_millis(5);
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const WINDOW: Duration = Duration::from_secs(4);

/// How entries share the limit.
#[derive(Clone, Copy, Debug)]
enum Scheme {
    /// A bucket of one request at each entry that refills at an equal part of the limit.
    Parts,
    /// Permits from the leader.
    Permits,
}

/// What one run showed.
struct Figures {
    /// Most requests within a window.
    most: usize,
    /// Requests sent, relative to the limit.
    used: f64,
    /// Draws a second.
    draws: f64,
}

struct Entry {
    permits: VecDeque<Instant>,
    paused_until: Instant,
    part: Bucket,
}

/// Runs `entries` entries at which requests arrive at `load` times the limit.
fn run(scheme: Scheme, entries: usize, limit: f64, load: f64) -> Figures {
    let mut random = StdRng::seed_from_u64(SEED);
    let start = Instant::now();
    let wanted: [Process; 1] = [("u-1".into(), 1)];
    let naming = Naming {
        process: wanted[0].clone(),
        rate: Some(limit),
        age_ms: 0,
    };
    let mut leader = Permits::new(1);
    leader.record(&[naming], start);
    let entry = |_| Entry {
        permits: VecDeque::new(),
        paused_until: start,
        part: Bucket::new(limit / entries as f64, Duration::ZERO, start),
    };
    let mut all: Vec<Entry> = (0..entries).map(entry).collect();
    let (mut sent, mut draws) = (Vec::new(), 0);
    let mut now = start;
    while now < start + LENGTH {
        now += STEP;
        let reporting = entries as f64 * STEP.as_secs_f64() / REPORT_PERIOD.as_secs_f64();
        for _ in 0..whole(reporting, &mut random) {
            let reporter = &mut all[random.random_range(0..entries)];
            for permit in leader.offer(now) {
                let until = now + PERMIT_LIFETIME;
                reporter.permits.extend((0..permit.count).map(|_| until));
            }
        }
        for _ in 0..whole(limit * load * STEP.as_secs_f64(), &mut random) {
            let entry = &mut all[random.random_range(0..entries)];
            let may_send = match scheme {
                Scheme::Parts => entry.part.take(1.0, 0.0, now),
                Scheme::Permits => {
                    entry.permits.retain(|until| now < *until);
                    if entry.permits.is_empty() && now >= entry.paused_until {
                        draws += 1;
                        let drawn = leader.draw(&wanted, 1, entries as u32, now);
                        let pause = Duration::from_millis(drawn.retry_after_ms);
                        entry.paused_until = now + pause;
                        let count = drawn.permit.map_or(0, |permit| permit.count);
                        let until = now + PERMIT_LIFETIME;
                        entry.permits.extend((0..count).map(|_| until));
                    }
                    entry.permits.pop_front().is_some()
                }
            };
            if may_send {
                sent.push(now);
            }
        }
    }
    let most = sent
        .iter()
        .enumerate()
        .map(|(index, first)| sent.partition_point(|at| *at < *first + WINDOW) - index);
    let seconds = LENGTH.as_secs_f64();
    Figures {
        most: most.max().unwrap_or(0),
        used: sent.len() as f64 / (limit * seconds),
        draws: f64::from(draws) / seconds,
    }
}

/// Returns a whole number with the mean `mean`.
fn whole(mean: f64, random: &mut StdRng) -> u32 {
    mean as u32 + u32::from(random.random::<f64>() < mean.fract())
}

fn main() {
    println!(
        "| limit/s | load | entries | allowed in 4 s | parts: most, used % | permits: most, used %, draws/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (limit, load) in [(1.0, 2.0), (1.0, 10.0), (1.0, 100.0), (20.0, 10.0)] {
        for entries in [10, 76, 300, 2_200] {
            let parts = run(Scheme::Parts, entries, limit, load);
            let permits = run(Scheme::Permits, entries, limit, load);
            println!(
                "| {limit} | {load} | {entries} | {} | {}, {:.0} | {}, {:.0}, {:.1} |",
                1.5 * limit * WINDOW.as_secs_f64() + 5.0,
                parts.most,
                parts.used * 100.0,
                permits.most,
                permits.used * 100.0,
                permits.draws,
            );
        }
    }
}
