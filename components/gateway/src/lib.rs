//! Gateway: the request path for routes by host and path.
//!
//! The gateway finds the route and account of a request, enforces limits, chooses an upstream,
//! forwards the request and streams the answer back.
//!
//! Decisions ([`Table`], [`balancer`], [`Retries`], [`Accounts`], [`Usage`]) do no I/O and read no
//! clock; callers pass the current time. [`Protocol`] translates the messages of callers and
//! upstreams.

mod accounts;
pub mod admission;
pub mod balancer;
mod call;
mod classes;
mod connection;
mod contact;
mod core;
mod crash;
mod demand;
mod dispatch;
mod drain;
mod event_buffer;
mod exchange;
pub mod explain;
mod forward;
mod metrics;
mod network;
mod origin;
mod permits;
mod pool;
mod priority;
mod protocol;
mod quarantine;
mod reach;
mod readiness;
mod refusal;
mod relay;
mod request_log;
mod retries;
mod rollout;
mod samples;
mod server;
mod settings;
mod sync;
mod table;
mod ticket;
mod token_limit;
mod usage;

pub use accounts::Accounts;
pub use balancer::Balancer;
pub use call::{Call, Part, PartId, Prompt};
pub use classes::Classes;
pub use contact::Contact;
pub use event_buffer::{EventBuffer, EventError, MAX_EVENT_BYTES};
pub use forward::Forwarders;
pub use metrics::Metrics;
pub use network::{Connecting, Network, Tcp};
pub use pool::idle_limit;
pub use priority::{Decision, Plans};
pub use protocol::{Head, Load, Metadata, Protocol, Reply};
pub use quarantine::Subject;
pub use reach::{Finding, Reach};
pub use readiness::Readiness;
pub use refusal::Refusal;
pub use retries::{Budget, Retries, Share};
pub use rollout::{Begun, Rollouts};
pub use server::{Gateway, run};
pub use settings::Settings;
pub use table::{Account, Table};
pub use usage::Usage;
