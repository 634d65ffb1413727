//! Measures a control group with real files and its entries, all in one process on loopback.
//!
//! Run with `cargo run --release -p control --example group`.

mod fleet_of;
mod measure;

#[tokio::main]
async fn main() {
    for voters in [3, 5] {
        measure::leader(voters).await;
        measure::claims(voters).await;
    }
    for entries in [3, 10, 30] {
        measure::in_force(entries).await;
    }
    for upstreams in [0, 10, 100, 400] {
        measure::at_rest(upstreams).await;
    }
}
