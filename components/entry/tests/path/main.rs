//! The request path in one process, against scripted upstreams on loopback.

mod bench;
mod caller;
mod fake;
mod handover;
mod reader;
mod script;

mod admission;
mod announcements;
mod input;
mod keyed;
mod models;
mod moves;
mod parked;
mod plain;
mod stop;
