//! `stand-ins weights`: runs a weight store.

use std::io;

use clap::ArgMatches;
use stand_ins::weights::{Settings, Weights};

use super::arguments::{listen, wait_until_stopped};

pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let rate = matches.get_one::<f64>("bytes-per-second").copied();
    let size = matches.get_one::<u64>("bytes").copied();
    let weights = Weights::start(Settings {
        listen: listen(matches),
        bytes_per_second: rate.unwrap_or(1.0),
        default_size: size.map(|size| size as usize),
        ..Settings::default()
    })
    .await?;
    println!("weights: listens on {}", weights.address());
    wait_until_stopped(weights.lifecycle()).await
}
