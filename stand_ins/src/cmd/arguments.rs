//! Arguments that several subcommands have in common, and the wait for the end of a stand-in.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use config::Keys;
use config::text::Class;
use stand_ins::{Lifecycle, announcer};
use tokio::signal::unix::{SignalKind, signal};

/// Returns the value of a text argument.
pub(super) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns the address to listen on.
pub(super) fn listen(matches: &ArgMatches) -> SocketAddr {
    let listen = matches.get_one::<SocketAddr>("listen");
    *listen.expect("the argument has a default")
}

/// Returns the class of the upstream.
pub(super) fn class(matches: &ArgMatches) -> io::Result<Class> {
    match text(matches, "class").as_str() {
        "reclaimable" => Ok(Class::Reclaimable),
        "on-demand" => Ok(Class::OnDemand),
        other => Err(io::Error::other(format!(
            "class \"{other}\" is unknown: use reclaimable or on-demand"
        ))),
    }
}

/// Returns the settings of the upstream's announcements.
pub(super) fn announcer_settings(matches: &ArgMatches) -> io::Result<announcer::Settings> {
    let entries = matches
        .get_many::<SocketAddr>("entry")
        .into_iter()
        .flatten();
    let keys = match matches.get_one::<PathBuf>("keys") {
        Some(path) => Keys::parse(&std::fs::read_to_string(path)?).map_err(io::Error::other)?,
        None => Keys::default(),
    };
    Ok(announcer::Settings {
        entries: entries.copied().collect(),
        secret: keys.upstreams,
        ..announcer::Settings::default()
    })
}

/// Waits for SIGTERM, SIGINT or the end of the stand-in.
pub(super) async fn wait_until_stopped(lifecycle: &Lifecycle) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = lifecycle.wait_until_killed() => {}
    }
    Ok(())
}
