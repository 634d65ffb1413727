//! HTTP for operators: texts, status, unknown outcomes, the bill, health and metrics.

mod gate;
mod routes;
mod server;

pub use gate::Gate;
pub use server::Server;
