//! Relays between the processes of a fleet.

use std::io;
use std::net::SocketAddr;

use stand_ins::relay::{Mode, Relay, Scope};

/// Relays, one for each pair of a process and a control process that it connects to.
#[derive(Debug, Default)]
pub struct Links {
    links: Vec<Link>,
}

#[derive(Debug)]
struct Link {
    from: String,
    to: String,
    relay: Relay,
}

impl Links {
    /// Starts a relay on `listen` for connections of `from` to the control process `to` at
    /// `target`, and returns its address.
    pub(crate) async fn add(
        &mut self,
        from: &str,
        to: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let relay = Relay::start_on(listen, target).await?;
        let address = relay.address();
        self.links.push(Link {
            from: from.to_owned(),
            to: to.to_owned(),
            relay,
        });
        Ok(address)
    }

    /// Drops all bytes between `node` and the other processes without closing a connection.
    pub fn partition(&self, node: &str) {
        self.set_mode(node, Mode::DropBoth);
    }

    /// Passes bytes of new connections again; connections from before keep dropping theirs.
    pub fn heal(&self, node: &str) {
        let links = self.links_of(node);
        for link in links {
            link.relay.set_mode(Scope::New, Mode::Pass);
        }
    }

    /// Sets the mode of all connections between `node` and the other processes.
    pub fn set_mode(&self, node: &str, mode: Mode) {
        for link in self.links_of(node) {
            link.relay.set_mode(Scope::All, mode);
        }
    }

    fn links_of<'a>(&'a self, node: &'a str) -> impl Iterator<Item = &'a Link> {
        self.links
            .iter()
            .filter(move |link| link.from == node || link.to == node)
    }
}
