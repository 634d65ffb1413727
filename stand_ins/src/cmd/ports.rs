//! `stand-ins ports`

use std::io;
use std::net::TcpListener;

use clap::ArgMatches;

/// Prints ports that are free on `--address`, one a line.
pub(super) fn run(matches: &ArgMatches) -> io::Result<()> {
    let address = matches.get_one::<std::net::IpAddr>("address").copied();
    let count = matches.get_one::<u64>("count").copied().unwrap_or(1);
    let address = address.ok_or_else(|| io::Error::other("argument \"--address\" is missing"))?;
    // All are held until the last is known, so that no port is named twice.
    let listeners: io::Result<Vec<TcpListener>> = (0..count)
        .map(|_| TcpListener::bind((address, 0)))
        .collect();
    for listener in &listeners? {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
