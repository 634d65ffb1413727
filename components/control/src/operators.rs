//! HTTP interface for operators: texts, status, calls with an unknown outcome, the ledger, orders,
//! health and metrics.

mod handle;
mod routes;
mod server;

pub use handle::Handle;
pub use server::Server;
