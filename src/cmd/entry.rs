//! `chervilloft entry`: takes requests from callers until the process is told to stop.

use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use config::{Keys, Settings};
use errors::Result;
use fleet::{Member, Standalone};

use super::{files, runtime};
use crate::cli;

/// Runs the entry process.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let settings = files::settings(&cli::path(matches, "settings"))?;
    let keys = files::keys(&settings)?;
    let _log = logging::start(&settings.log)?;
    match settings.entry.standalone_text.clone() {
        Some(path) => {
            let (text, _) = files::text(&path)?;
            entry::run(settings, keys, Standalone::new(text))
        }
        None => run_member(settings, keys),
    }
}

fn run_member(settings: Settings, keys: Keys) -> Result<()> {
    let runtime = runtime::several()?;
    let _context = runtime.enter();
    let member = Member::start(fleet::Settings {
        node: settings.node.clone(),
        incarnation: incarnation(),
        peers: settings.control_peers.clone(),
        secret: keys.fleet.clone(),
        ..Default::default()
    });
    let served = entry::run(settings, keys, member.clone());
    runtime.block_on(member.leave());
    served
}

fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
