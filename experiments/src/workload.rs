//! Seeded arrivals of the requests of the two users' callers.

use config::text::Priority;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use upstream::blocks::{BLOCK_TOKENS, BlockHash};

use crate::job::Arrival;
use crate::{Case, Micros, SECOND, User};

/// Number of entries; each request arrives at a random one.
pub(crate) const ENTRIES: usize = 10;

/// Requests per second of [`User::Cetak`].
const CETAK_RATE: f64 = 26.0;
/// Number of standards documents against which [`User::Cetak`] checks job tickets.
const STANDARDS: usize = 48;
/// Mean requests per second of [`User::Armor`].
const ARMOR_RATE: f64 = 22.0;
/// Number of farms for which [`User::Armor`] requests reports.
const FARMS: usize = 160;
/// Time between two peaks of the demand of [`User::Armor`].
const SEASON_SECONDS: f64 = 60.0;
/// Amplitude of the demand of [`User::Armor`], relative to its mean.
const SEASON_AMPLITUDE: f64 = 0.3;

/// Returns the arrivals of a run, oldest first.
pub(crate) fn arrivals(user: User, case: Case, seed: u64, until: Micros) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        let rate = rate(user, seconds) * case.demand_factor();
        seconds += -(1.0 - rng.random::<f64>()).ln() / rate;
        let micros = (seconds * SECOND as f64) as Micros;
        if micros >= until {
            return arrivals;
        }
        let number = arrivals.len() as u64;
        arrivals.push(match user {
            User::Cetak => ticket_request(&mut rng, micros, number),
            User::Armor => farm_request(&mut rng, micros, number),
        });
    }
}

fn rate(user: User, seconds: f64) -> f64 {
    match user {
        User::Cetak => CETAK_RATE,
        User::Armor => {
            let phase = seconds / SEASON_SECONDS * std::f64::consts::TAU;
            ARMOR_RATE * (1.0 + SEASON_AMPLITUDE * phase.sin())
        }
    }
}

/// Returns a request of [`User::Cetak`]: a check of a job ticket against a standards document, or a
/// short request without one.
fn ticket_request(rng: &mut StdRng, at: Micros, number: u64) -> Arrival {
    let answer_tokens = rng.random_range(60..200);
    let mut blocks = block_hashes(1, 8);
    if rng.random_bool(0.75) {
        let standard = zipf(rng, STANDARDS, 0.9) as u64;
        let length = 120 + (standard * 97) % 260;
        blocks.extend(block_hashes(100 + standard, length));
        blocks.extend(block_hashes(1_000_000 + number, rng.random_range(6..40)));
    } else {
        blocks.extend(block_hashes(1_000_000 + number, rng.random_range(10..60)));
    }
    arrival(rng, at, blocks, answer_tokens, Priority::Normal)
}

/// Returns a request of [`User::Armor`]: a report on a farm, or a short alert with high priority.
fn farm_request(rng: &mut StdRng, at: Micros, number: u64) -> Arrival {
    if rng.random_bool(0.3) {
        let answer_tokens = rng.random_range(30..60);
        let mut blocks = block_hashes(2, 10);
        blocks.extend(block_hashes(1_000_000 + number, 4));
        return arrival(rng, at, blocks, answer_tokens, Priority::High);
    }
    let answer_tokens = rng.random_range(120..300);
    let farm = zipf(rng, FARMS, 0.6) as u64;
    let mut blocks = block_hashes(1, 12);
    blocks.extend(block_hashes(100 + farm, 60 + (farm * 31) % 120));
    blocks.extend(block_hashes(1_000_000 + number, rng.random_range(5..30)));
    arrival(rng, at, blocks, answer_tokens, Priority::Normal)
}

fn arrival(
    rng: &mut StdRng,
    at: Micros,
    blocks: Vec<BlockHash>,
    answer_tokens: usize,
    priority: Priority,
) -> Arrival {
    Arrival {
        at,
        entry: rng.random_range(0..ENTRIES),
        prompt_tokens: blocks.len() * BLOCK_TOKENS + rng.random_range(0..BLOCK_TOKENS),
        blocks,
        answer_tokens,
        priority,
    }
}

/// Returns `length` block hashes that depend on `name` and on their index only.
fn block_hashes(name: u64, length: u64) -> Vec<BlockHash> {
    (0..length).map(|n| mix(name << 24 | n)).collect()
}

/// Returns a hash of `n` that is never 0.
pub(crate) fn mix(n: u64) -> u64 {
    let x = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) | 1
}

/// Returns a rank below `count` from a Zipf distribution.
fn zipf(rng: &mut StdRng, count: usize, exponent: f64) -> usize {
    let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
    let total: f64 = (0..count).map(weight).sum();
    let mut rest = rng.random::<f64>() * total;
    for rank in 0..count {
        rest -= weight(rank);
        if rest <= 0.0 {
            return rank;
        }
    }
    count - 1
}
