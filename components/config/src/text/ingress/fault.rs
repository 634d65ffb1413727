//! Faults of routes and account keys.

use quick_error::quick_error;

use crate::ids::{AccountId, ServiceId};

quick_error! {
    /// A fault of a route or an account's keys. Routes are identified by their index, from 0.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Fault {
        /// Two routes have the same host and prefix.
        DuplicateRoute(route: usize) {
            display("route {route} has the host and prefix of an earlier route")
        }
        /// A route names a service that does not exist.
        UnknownService(route: usize, service: ServiceId) {
            display("route {route} names service \"{service}\", which does not exist")
        }
        /// The weights of a route add up to 0.
        ZeroWeight(route: usize) {
            display("the weights of route {route} add up to 0")
        }
        /// The timeout of a route is 0.
        ZeroTimeout(route: usize) {
            display("the timeout of route {route} is 0")
        }
        /// The prefix of a route does not begin and end with a slash.
        InvalidPrefix(route: usize) {
            display("the prefix of route {route} does not begin and end with a slash")
        }
        /// Two accounts have the same key. The message does not show the key.
        DuplicateKey(first: AccountId, second: AccountId) {
            display("accounts \"{first}\" and \"{second}\" hold the same key")
        }
    }
}

impl Fault {
    /// Returns the index of the route that has the fault; `None` if an account has it.
    pub fn route(&self) -> Option<usize> {
        match self {
            Fault::DuplicateRoute(index)
            | Fault::UnknownService(index, _)
            | Fault::ZeroWeight(index)
            | Fault::ZeroTimeout(index)
            | Fault::InvalidPrefix(index) => Some(*index),
            Fault::DuplicateKey(..) => None,
        }
    }
}
