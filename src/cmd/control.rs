//! `chervilloft control`: runs a control process until it receives a signal to stop.

use std::sync::Arc;

use clap::ArgMatches;
use config::Settings;
use config::settings::Interface;
use control::ExternalApi;
use errors::Result;

use super::{files, runtime};
use crate::cli;

/// Runs the control process.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let settings = files::settings(&cli::path(matches, "settings"))?;
    let keys = files::keys(&settings)?;
    let _log = logging::start(&settings.log)?;
    let external = external(&settings);
    match settings.interface {
        Interface::Own => {
            runtime::multi_threaded()?.block_on(control::run(settings, keys, external))
        }
        Interface::Platform => {
            runtime::single_threaded()?.block_on(control::run(settings, keys, external))
        }
    }
}

/// Returns the API for upstreams and operators of the platform, if the settings state its address.
fn external(settings: &Settings) -> Option<ExternalApi> {
    let address = settings.control.listen?;
    let lease = settings.control.announcement_lease;
    match settings.interface {
        Interface::Own => None,
        Interface::Platform => Some(ExternalApi {
            protocol: Arc::new(platform::OperatorProtocol { lease }),
            address,
        }),
    }
}
