//! Fleets of real processes on loopback for tests and measurements.
//!
//! A [`Fleet`] is a set of `chervilloft` processes with their settings, keys and data in a
//! temporary folder. Each fleet listens on its own loopback address, on ports below the system's
//! range for outgoing connections. Processes are killed when the fleet is dropped. The connections
//! to control processes can go through relays that drop their bytes or reset them.

mod address;
pub mod bench;
mod black_hole;
mod fleet;
mod keys;
mod links;
mod operator;
mod process;
mod rng;
mod settings;
mod signal;
pub mod text;
mod trial;
pub mod upstreams;
mod wait;
mod workload;

pub use address::Address;
pub use black_hole::BlackHole;
pub use fleet::Fleet;
pub use keys::{ACCOUNT_KEY, OPERATOR_TOKEN, SECOND_ACCOUNT_KEY};
pub use links::Links;
pub use operator::Output;
pub use process::Process;
pub use rng::Rng;
pub use settings::Settings;
pub use signal::Signal;
pub use trial::Trial;
pub use wait::{wait_until, wait_until_within};
pub use workload::Workload;
