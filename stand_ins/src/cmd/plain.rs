//! `stand-ins plain`: runs a plain service.

use std::io;

use clap::ArgMatches;
use stand_ins::plain::{Plain, Settings};

use super::arguments::{announcer_settings, class, listen, text, wait_until_stopped};

pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let plain = Plain::start(Settings {
        upstream: text(matches, "name").into(),
        service: text(matches, "service").into(),
        listen: listen(matches),
        data_centre: text(matches, "data-centre").into(),
        class: class(matches)?,
        announce: announcer_settings(matches)?,
        ..Settings::default()
    })
    .await?;
    println!("plain: listens on {}", plain.address());
    wait_until_stopped(plain.lifecycle()).await
}
