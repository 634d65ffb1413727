//! `stand-ins ports`: prints free ports.

use std::io;

use clap::ArgMatches;
use stand_ins::ports;

/// Prints `--count` ports that are free on `--address`, one per line.
pub(super) fn run(matches: &ArgMatches) -> io::Result<()> {
    let address = matches.get_one::<std::net::IpAddr>("address").copied();
    let count = matches.get_one::<u64>("count").copied().unwrap_or(1);
    let address = address.ok_or_else(|| io::Error::other("argument \"--address\" is missing"))?;
    let count = usize::try_from(count).map_err(io::Error::other)?;
    for port in ports::find_free(address, count)? {
        println!("{port}");
    }
    Ok(())
}
