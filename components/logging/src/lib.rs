//! Structured logs on the standard output, as text or JSON, with one line per event.

pub mod excerpt;

use std::io::stdout;

use config::release;
use config::settings::{Format, Log};
use errors::{Error, Peer, Result, Step};
use tracing::info;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the output.
const BUFFER_CAPACITY: usize = 64 * 1_024;

/// Keeps the log running. Dropping it writes the lines that are still buffered.
#[must_use = "lines are lost when the guard is dropped early"]
pub struct Guard(#[allow(dead_code)] WorkerGuard);

/// Starts the log. A separate thread writes the lines, so that requests never wait for the output;
/// when the buffer is full, further lines are dropped.
///
/// # Errors
/// Fails if the filter is not valid, or if the process has already started a log.
pub fn start(settings: &Log) -> Result<Guard> {
    let filter = EnvFilter::try_new(&settings.filter)
        .map_err(|error| invalid(format!("log filter \"{}\": {error}", settings.filter)))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFER_CAPACITY)
        .finish(stdout());
    install(settings.format, filter, writer)?;
    info!(
        build = release::build(),
        level = release::OWN,
        "start: this process is of build {}",
        release::build()
    );
    Ok(Guard(guard))
}

fn install(format: Format, filter: EnvFilter, writer: NonBlocking) -> Result<()> {
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false);
    let started = match format {
        Format::Text => lines.try_init(),
        Format::Json => lines.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| Error::Other(Step::Load, Peer::Local, error))
}

fn invalid(message: String) -> Error {
    Error::Invalid(Step::Load, Peer::Local, message)
}
