//! The control process: keeps the replicated state and answers entries and operators.

pub mod client;
pub mod clock;
pub mod difference;
mod documents;
mod duties;
pub mod leases;
mod machine;
mod memory;
mod metrics;
mod node;
pub mod operators;
pub mod orders;
pub mod outside;
mod peers;
mod process;
pub mod replica;
mod spread;

pub use machine::Machine;
pub use memory::Memory;
pub use metrics::Metrics;
pub use node::{Node, Settings};
pub use process::{Outside, Process, Sockets, run, start_group};
