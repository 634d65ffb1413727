//! HTTP/1.1 servers: listening sockets, limits on connections, request bodies that are read
//! completely, and a graceful stop that answers the requests already received.

mod abort;
mod body;
mod budget;
mod connection_limit;
mod connections;
mod framing;
mod headers;
mod listener;
mod observed_stream;
mod served_body;
mod server;
mod settings;
mod status;
mod tracked;

pub use body::{Body, Collected, Limits, collect, empty, full};
pub use budget::{Budget, Delivery, Reading, Shortage};
pub use connection_limit::{ConnectionLimit, LimitedService};
pub use framing::Framing;
pub use headers::remove_connection_headers;
pub use listener::listen;
pub use observed_stream::{ObservedStream, Observer};
pub use server::{Phase, Server};
pub use settings::Settings;
pub use status::is_final_status;
