//! Loopback addresses and ports of one fleet.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const OCTETS: u32 = 250;

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other fleet of this machine is likely to use.
#[derive(Clone, Copy, Debug)]
pub struct Address(Ipv4Addr);

impl Address {
    /// Returns the next address of this process.
    pub fn next() -> Address {
        let process = std::process::id();
        let octet = |number: u32| (number % OCTETS + 2) as u8;
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let (high, low) = (octet(process / OCTETS), octet(process));
        Address(Ipv4Addr::new(127, high, low, octet(fleet)))
    }

    /// Returns the IP number.
    pub fn ip(self) -> IpAddr {
        IpAddr::V4(self.0)
    }

    /// Returns `count` different ports that are free here.
    ///
    /// # Errors
    /// Fails when the system has none.
    pub fn ports(self, count: usize) -> io::Result<Vec<u16>> {
        // All are held until the last is known, so that no port is named twice.
        let listeners: io::Result<Vec<TcpListener>> =
            (0..count).map(|_| TcpListener::bind((self.0, 0))).collect();
        listeners?
            .iter()
            .map(|listener| listener.local_addr().map(|address| address.port()))
            .collect()
    }

    /// Returns the socket address of `port`.
    pub fn at(self, port: u16) -> SocketAddr {
        SocketAddr::from((self.0, port))
    }
}
