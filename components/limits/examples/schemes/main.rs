//! Compares schemes that enforce a limit over ten entries: messages per second at the leader, and
//! how far admissions exceed or fall short of the limit. Then plays the token limit of an account
//! at up to 2,200 entries, beside faults.
//!
//! Run with `cargo run --release -p limits --example schemes`.

mod arrivals;
#[path = "../../tests/excess/fleet.rs"]
mod fleet;
mod scheme;
mod score;
#[path = "../../tests/excess/simulation.rs"]
mod simulation;
mod tokens;

use std::time::Duration;

use arrivals::Load;
use limits::Policy;
use scheme::Scheme;

/// Limits, in requests per second.
const RATES: [f64; 3] = [10.0, 100.0, 1_000.0];
/// Offered load as a multiple of the limit.
const LOADS: [f64; 4] = [0.5, 0.95, 2.0, 10.0];
/// Fractions of the load that reach the busiest entry.
const SKEWS: [f64; 2] = [0.1, 0.5];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    println!("limit load skew scheme messages/s over_pct under_pct under_spread_pct");
    for rate in RATES {
        for factor in LOADS {
            for skew in SKEWS {
                for scheme in schemes() {
                    print(rate, factor, skew, &scheme);
                }
            }
        }
    }
    tokens::print();
}

fn schemes() -> Vec<Scheme> {
    let mut schemes = vec![Scheme::AskEach, Scheme::StaticSplit];
    // Largest batch in units; its time at the full rate, lease and shortest wait in milliseconds.
    let batches = [
        (5.0, 1_000, 1_000, 200),
        (20.0, 1_000, 1_000, 200),
        (100.0, 1_000, 1_000, 200),
        (20.0, 1_000, 200, 200),
        (20.0, 1_000, 5_000, 200),
        (100.0, 50, 1_000, 200),
        (100.0, 50, 5_000, 50),
        (100.0, 50, 5_000, 200),
        (100.0, 50, 5_000, 500),
    ];
    for (max_batch, max_batch_ms, lease_ms, min_retry_ms) in batches {
        schemes.push(Scheme::Leased(Policy {
            max_batch,
            max_batch_time: Duration::from_millis(max_batch_ms),
            lease: Duration::from_millis(lease_ms),
            min_retry_after: Duration::from_millis(min_retry_ms),
            ..Policy::default()
        }));
    }
    schemes
}

fn print(rate: f64, factor: f64, skew: f64, scheme: &Scheme) {
    let scores: Vec<_> = SEEDS
        .iter()
        .map(|seed| {
            let load = Load {
                rate: rate * factor,
                skew,
                seed: *seed,
            };
            scheme.run(rate, &load)
        })
        .collect();
    let mean = |value: &dyn Fn(&score::Score) -> f64| {
        scores.iter().map(value).sum::<f64>() / scores.len() as f64
    };
    let under: Vec<f64> = scores.iter().map(|s| s.under).collect();
    let spread = under.iter().copied().fold(f64::MIN, f64::max)
        - under.iter().copied().fold(f64::MAX, f64::min);
    println!(
        "{rate} {factor} {skew} {scheme} {:.1} {:.1} {:.1} {:.1}",
        mean(&|s| s.messages),
        100.0 * mean(&|s| s.over),
        100.0 * mean(&|s| s.under),
        100.0 * spread,
    );
}
