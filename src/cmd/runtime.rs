//! Asynchronous runtimes of the commands.

use errors::{Error, Peer, Result, Step};
use tokio::runtime::{Builder, Runtime};

/// Returns a runtime with one thread.
pub(crate) fn single_threaded() -> Result<Runtime> {
    build(&mut Builder::new_current_thread())
}

/// Returns a runtime with a thread for each core.
pub(crate) fn multi_threaded() -> Result<Runtime> {
    build(&mut Builder::new_multi_thread())
}

fn build(builder: &mut Builder) -> Result<Runtime> {
    let built = builder.enable_all().build();
    built.map_err(|error| Error::Io(Step::Load, Peer::Local, error))
}
