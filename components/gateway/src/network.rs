//! How an entry opens connections to upstreams.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::net::TcpStream;

/// A connection that is being opened.
pub type Connecting<'a> = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;

/// Opens connections to upstreams. Tests replace it to cut an entry off from them.
pub trait Network: fmt::Debug + Send + Sync {
    /// Opens a connection to an upstream. The caller limits the time.
    ///
    /// # Errors
    /// Returns the error of the socket.
    fn connect(&self, address: SocketAddr) -> Connecting<'_>;
}

/// The operating system's TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(TcpStream::connect(address))
    }
}
