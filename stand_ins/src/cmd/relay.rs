//! `stand-ins relay`: runs a TCP relay.

use std::io;
use std::net::SocketAddr;

use clap::ArgMatches;
use stand_ins::relay::Relay;

use super::arguments::{listen, wait_until_stopped};

pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let address = |name: &str| {
        let address = matches.get_one::<SocketAddr>(name).copied();
        address.ok_or_else(|| io::Error::other(format!("argument \"--{name}\" is missing")))
    };
    let relay = Relay::start_on(listen(matches), address("target")?).await?;
    let admin = relay.serve_admin(address("admin")?).await?;
    println!("relay: listens on {}, admin on {admin}", relay.address());
    wait_until_stopped(relay.lifecycle()).await
}
