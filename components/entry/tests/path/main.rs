//! The request path of an entry in this process, with scripted upstreams on loopback.

mod behaviour;
mod bench;
mod caller;
mod fake;
mod framing;
mod handover;
mod reader;

mod admission;
mod announcements;
mod completeness;
mod input;
mod keyed;
mod models;
mod moves;
mod plain;
mod reconnects;
mod stop;
