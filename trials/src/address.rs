//! Loopback address and ports of a fleet.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use stand_ins::ports;

/// Number of values of each of the last three octets; the lowest value is 2.
const OCTET_COUNT: u32 = 250;

/// Addresses returned so far in this process.
static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other fleet of this machine is likely to use.
#[derive(Clone, Copy, Debug)]
pub struct Address(Ipv4Addr);

impl Address {
    /// Returns the next address.
    ///
    /// It is made from the process id and a counter, so that fleets have different addresses.
    pub fn next() -> Address {
        let process = std::process::id();
        let octet = |number: u32| (number % OCTET_COUNT + 2) as u8;
        let fleet = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let (high, low) = (octet(process / OCTET_COUNT), octet(process));
        Address(Ipv4Addr::new(127, high, low, octet(fleet)))
    }

    /// Returns the IP address.
    pub fn ip(self) -> IpAddr {
        IpAddr::V4(self.0)
    }

    /// Returns `count` ports that are free at this address, lie below the system's range for
    /// outgoing connections and have not been returned before in this process.
    ///
    /// # Errors
    /// Fails when the range for outgoing connections can't be read, or no port is left.
    pub fn ports(self, count: usize) -> io::Result<Vec<u16>> {
        ports::find_free(self.ip(), count)
    }

    /// Returns the socket address of `port` at this address.
    pub fn with_port(self, port: u16) -> SocketAddr {
        SocketAddr::from((self.0, port))
    }
}
