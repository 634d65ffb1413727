//! The control process: keeps the replicated state and answers entries and operators.

mod announcements;
pub mod client;
pub mod clock;
pub mod difference;
mod documents;
mod duties;
pub mod external;
pub mod leases;
mod machine;
mod memory_replica;
mod metrics;
mod node;
pub mod operators;
pub mod orders;
mod origin_files;
mod peers;
mod process;
mod readable;
pub mod replica;

pub use machine::Machine;
pub use memory_replica::MemoryReplica;
pub use metrics::Metrics;
pub use node::{Node, Settings};
pub use process::{
    ExternalApi, Process, Sockets, run, start_forwarding, start_group, start_group_with_parser,
};
