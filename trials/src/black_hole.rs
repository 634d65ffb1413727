//! Address at which connection attempts neither succeed nor fail.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::Address;

/// Connections that are opened to fill the queue.
const QUEUED_CONNECTIONS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Listener that accepts no connection and whose accept queue is full.
#[derive(Debug)]
pub struct BlackHole {
    address: SocketAddr,
    listener: Socket,
    queued: Vec<TcpStream>,
}

impl BlackHole {
    /// Opens the listener and fills its queue.
    ///
    /// # Errors
    /// Fails when the socket can't be opened.
    pub fn open() -> io::Result<BlackHole> {
        let own = Address::next();
        let address = own.with_port(own.ports(1)?[0]);
        let listener = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        listener.set_reuse_address(true)?;
        listener.bind(&SockAddr::from(address))?;
        listener.listen(0)?;
        let queued = (0..QUEUED_CONNECTIONS)
            .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok());
        Ok(BlackHole {
            address,
            queued: queued.collect(),
            listener,
        })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Empties the queue and returns the listener, to which clients can connect from then on.
    ///
    /// # Errors
    /// Fails when a queued connection can't be accepted.
    pub fn into_listener(self) -> io::Result<TcpListener> {
        drop(self.queued);
        self.listener.set_nonblocking(true)?;
        loop {
            match self.listener.accept() {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(self.listener.into())
    }
}
