//! What a server observes of the stream of a connection.

use std::sync::Arc;

use tokio::net::TcpStream;

use crate::Observer;
use crate::abort::Abort;
use crate::connections::Guard;

/// Records when heads begin to arrive, and resets the connection if that is requested.
pub(crate) struct Tracked {
    guard: Arc<Guard>,
    abort: Abort,
}

impl Tracked {
    pub(crate) fn new(guard: Arc<Guard>, abort: Abort) -> Tracked {
        Tracked { guard, abort }
    }
}

impl Observer for Tracked {
    fn on_read(&self) {
        self.guard.record_bytes();
    }

    fn on_close(&self, stream: &TcpStream) {
        self.abort.on_close(stream);
    }
}
