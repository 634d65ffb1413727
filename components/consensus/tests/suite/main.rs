//! Tests of the replicated log in a simulated group.

mod arbitrary_messages;
mod chaos;
mod disk;
mod election;
mod growth;
mod guards;
mod leases;
mod margins;
#[path = "../../../storage/tests/suite/memory.rs"]
mod memory;
mod message_sizes;
mod repairs;
mod scenarios;
mod server;
mod world;
