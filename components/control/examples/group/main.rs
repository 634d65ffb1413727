//! Measures a control group with real files and its entries, in one process on loopback.
//!
//! Run with `cargo run --release -p control --example group`, and with `-- leaves` for the leaves of
//! upstreams alone.

mod local_fleet;
mod measure;

#[tokio::main]
async fn main() {
    if std::env::args().any(|argument| argument == "leaves") {
        return measure_leaves().await;
    }
    for voters in [3, 5] {
        measure::leader_loss(voters).await;
        measure::claim_rate(voters).await;
    }
    for entries in [3, 10, 30] {
        measure::submission_latency(entries).await;
    }
    for upstreams in [0, 10, 100, 400] {
        measure::idle_traffic(upstreams).await;
    }
    measure_leaves().await;
}

async fn measure_leaves() {
    for entries in [10, 100, 300] {
        measure::leaves(entries).await;
    }
}
