//! Free ports outside the ephemeral range.
//!
//! A returned port is not reserved: its user binds it later. Until then only a process that asks
//! for this port number can take it, since the system assigns ports of the ephemeral range only.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpSocket;

/// File with the lowest and the highest ephemeral port.
const EPHEMERAL_RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// Lower ports are left to well-known services.
const LOWEST_PORT: u16 = 10_000;
/// Distance between the first candidates of processes with consecutive process ids.
const STRIDE_PORTS: u32 = 1_009;

/// Number of ports that this process has tried.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns `count` ports that are free on `address` and that this process has not returned before.
///
/// # Errors
/// Fails when the ephemeral range cannot be read, when `address` does not belong to this machine,
/// and when all ports below the range have been tried.
pub fn find_free(address: IpAddr, count: usize) -> io::Result<Vec<u16>> {
    let ephemeral = first_ephemeral()?;
    (0..count).map(|_| next_free(address, ephemeral)).collect()
}

/// Returns the lowest ephemeral port, the first that the system assigns to outgoing connections.
///
/// # Errors
/// Fails when the ephemeral range cannot be read or parsed.
pub fn first_ephemeral() -> io::Result<u16> {
    let failed = |cause: &str| {
        let message = "failed to read the range of ephemeral ports";
        io::Error::other(format!("{message} from {EPHEMERAL_RANGE_FILE}: {cause}"))
    };
    let range =
        fs::read_to_string(EPHEMERAL_RANGE_FILE).map_err(|cause| failed(&cause.to_string()))?;
    let first = range.split_whitespace().next().unwrap_or_default();
    first
        .parse()
        .map_err(|_| failed(&format!("\"{}\" does not start with a port", range.trim())))
}

fn next_free(address: IpAddr, ephemeral: u16) -> io::Result<u16> {
    loop {
        let port = next_candidate(ephemeral)?;
        match try_bind(SocketAddr::new(address, port)) {
            Ok(()) => return Ok(port),
            Err(cause) if cause.kind() == io::ErrorKind::AddrInUse => {}
            Err(cause) => {
                let message = format!("failed to bind port {port} on {address}: {cause}");
                return Err(io::Error::new(cause.kind(), message));
            }
        }
    }
}

/// Binds a socket to `address` and closes it, to test whether the port is free.
///
/// The socket does not listen: a child process forked by another thread holds a copy of the socket
/// until it calls exec, and the copy of a listening socket would keep the port in use.
fn try_bind(address: SocketAddr) -> io::Result<()> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}

/// Returns the next port to try, which may be in use.
fn next_candidate(ephemeral: u16) -> io::Result<u16> {
    let span = u32::from(ephemeral.saturating_sub(LOWEST_PORT));
    let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
    if tried >= span {
        let message =
            format!("all {span} ports from {LOWEST_PORT} to below {ephemeral} have been tried");
        return Err(io::Error::other(message));
    }
    let first = std::process::id() % span * STRIDE_PORTS % span;
    let offset = (first + tried) % span;
    u16::try_from(u32::from(LOWEST_PORT) + offset).map_err(io::Error::other)
}
