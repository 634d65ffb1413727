//! Contradictions between the announcements of one upstream.

use std::net::SocketAddr;

use config::ids::ServiceId;
use quick_error::quick_error;

use crate::Announcement;

quick_error! {
    /// Contradiction between an announcement and what is known of its upstream.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Conflict {
        /// The upstream serves another service.
        Service(known: ServiceId) {
            display("the upstream serves \"{known}\"")
        }
        /// The process of the upstream has another address.
        Address(known: SocketAddr) {
            display("the upstream's process is at {known}")
        }
    }
}

impl Announcement {
    /// Returns why this announcement can't be of the upstream that announced `known` and still serves. An
    /// upstream stays in its service, and for as long as its process runs at its address; another writer
    /// may name its id.
    pub fn conflict_with(&self, known: &Announcement) -> Option<Conflict> {
        match self {
            new if new.service != known.service => Some(Conflict::Service(known.service.clone())),
            new if new.incarnation == known.incarnation && new.address != known.address => {
                Some(Conflict::Address(known.address))
            }
            _ => None,
        }
    }
}
