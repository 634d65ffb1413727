//! Tests of the replicated log in a simulated group.

mod chaos;
mod disk;
mod election;
mod server;
mod world;
