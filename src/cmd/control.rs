//! `chervilloft control`: keeps the replicated state until the process is told to stop.

use config::{Keys, Settings};
use errors::Result;

use super::runtime;

/// Runs the control process.
///
/// # Errors
/// Fails when the process can't start.
pub(crate) fn run(settings: Settings, keys: Keys) -> Result<()> {
    runtime::several()?.block_on(control::run(settings, keys))
}
