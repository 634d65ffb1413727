//! Control processes with entries' members and operators, on loopback.

mod account_limit;
mod announcements;
mod claims;
mod control_group;
mod crowds;
mod forwarders;
mod forwarding;
mod group;
mod leaves;
mod models;
mod origins;
mod plans;
mod quarantine;
mod relay;
mod replacements;
mod rollouts;
mod silent_connections;
mod single_control;
mod speeds;
mod submissions;
mod unnamed_services;
mod work;
