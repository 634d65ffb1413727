//! Socket options.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sets the socket options of a connection: no delay of small writes, a limit on the time for which
/// sent bytes may stay unacknowledged, and no lingering. With the latter two, nothing is delivered
/// long after this end has closed the connection.
pub(crate) fn set_options(stream: &TcpStream, tcp_user_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(tcp_user_timeout))?;
    socket.set_linger(Some(Duration::ZERO))
}
