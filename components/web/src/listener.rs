//! Listening sockets.

use std::net::SocketAddr;

use errors::{Error, Peer, Result, Step};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Listens on `address`, even if connections of an earlier process are still closing.
///
/// # Errors
/// Returns an error if the process can't listen on the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|error| Error::Io(Step::Listen, Peer::Address(address), error))
}
