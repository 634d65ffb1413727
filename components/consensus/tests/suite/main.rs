//! Tests of the replicated log in a simulated group.

mod chaos;
mod disk;
mod election;
mod garbage;
mod guards;
mod hard_cases;
mod leases;
#[path = "../../../storage/tests/suite/memory.rs"]
mod memory;
mod repairs;
mod server;
mod world;
