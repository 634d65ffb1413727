//! Measures how memory use and snapshot size grow with the number of claims.
//!
//! Run with `cargo run --release -p state --example size`.

use std::fs;

use state::claim::{Answer, Claim, Settlement};
use state::{Change, Command, Position, State};

/// Numbers of claims at which sizes are printed.
const CLAIM_COUNTS: [u64; 4] = [0, 10_000, 50_000, 100_000];
const ANSWER_BYTES: usize = 128;
const RETENTION_MS: u64 = 86_400_000;
/// Page size in which `/proc/self/statm` counts memory.
const BYTES_PER_PAGE: u64 = 4_096;

fn main() {
    println!("| claims | resident MB | snapshot MB |");
    println!("| --- | --- | --- |");
    let mut state = State::default();
    let mut index = 0;
    let mut apply = |state: &mut State, change: Change| {
        index += 1;
        state.apply(Position { term: 1, index }, Command { at: 1_000, change });
    };
    let entry = || "entry-1".into();
    apply(
        &mut state,
        Change::Join {
            entry: entry(),
            incarnation: 1,
        },
    );
    let mut claimed = 0;
    for count in CLAIM_COUNTS {
        while claimed < count {
            claimed += 1;
            let claim = claim(claimed);
            let settlement = Settlement::Answered(answer());
            apply(
                &mut state,
                Change::Claim {
                    entry: entry(),
                    incarnation: 1,
                    claim: claim.clone(),
                    retention_ms: RETENTION_MS,
                },
            );
            apply(
                &mut state,
                Change::Settle {
                    entry: entry(),
                    incarnation: 1,
                    claim,
                    settlement,
                },
            );
        }
        let snapshot = state.snapshot().expect("the state can be encoded").len();
        println!(
            "| {} | {:.1} | {:.1} |",
            state.claims().len(),
            resident_mb(),
            snapshot as f64 / 1e6
        );
    }
}

fn claim(number: u64) -> Claim {
    Claim {
        account: "kuala-lumpur-shops".into(),
        key: format!("exposure-{number:032}").into(),
        fingerprint: number,
        request: format!("{number:020x}").into(),
        version: 0,
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        content_type: "application/json".into(),
        body: vec![b'x'; ANSWER_BYTES].into(),
    }
}

fn resident_mb() -> f64 {
    let pages = fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|text| text.split(' ').nth(1)?.parse::<u64>().ok());
    (pages.unwrap_or_default() * BYTES_PER_PAGE) as f64 / 1e6
}
