//! `chervilloft control`: keeps the replicated state until the process is told to stop.

use clap::ArgMatches;
use errors::Result;

use super::{files, runtime};
use crate::cli;

/// Runs the control process.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let settings = files::settings(&cli::path(matches, "settings"))?;
    let keys = files::keys(&settings)?;
    let _log = logging::start(&settings.log)?;
    runtime::several()?.block_on(control::run(settings, keys))
}
