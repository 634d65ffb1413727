//! Rate limits of client accounts and of upstreams, enforced over all entries together.
//!
//! The crate opens no sockets and reads no clock: the caller passes the current time to each call.
//!
//! Limits are shared among entries in three ways:
//!
//! - Batches: the leader keeps a [`Meter`] with a token [`Bucket`] for each account. An entry keeps
//!   a [`Share`] for each account, a batch of units that was drawn from the bucket and that it
//!   spends without asking. It draws again when the batch is spent or its lease has expired.
//! - Allotments: the leader keeps a [`Division`] of each account's limit. An entry holds an
//!   allotment of it, a [`Holding`], which it never exceeds within any window, and states regularly
//!   what it spent. The leader divides the limit again with each [`Statement`], and also sends the
//!   [`Headroom`] that all entries together have at their pace, from the statements it adds up in a
//!   [`SlidingWindow`].
//! - [`Refusals`]: what upstreams that fall after too many refusals say about themselves.
//! - Permits: limits that upstreams name are kept by [`Permits`] of the leader for single requests,
//!   which expire soon.

mod accounts;
mod bucket;
mod decision;
mod division;
mod draw;
mod grant;
mod holding;
mod meter;
mod permits;
mod policy;
mod rate;
pub mod refusals;
mod report;
mod share;
mod sliding_window;
mod statement;

pub use accounts::Accounts;
pub use bucket::Bucket;
pub use decision::Decision;
pub use division::{ALLOTMENT_RETENTION, Division};
pub use draw::{Draw, Limit};
pub use grant::Grant;
pub use holding::Holding;
pub use meter::Meter;
pub use permits::{Drawn, Naming, PERMIT_LIFETIME, Permit, Permits, Process};
pub use policy::Policy;
pub use rate::{Rate, token_rate};
pub use refusals::Refusals;
pub use report::Report;
pub use share::Share;
pub use sliding_window::{RECORD_PERIOD, SlidingWindow};
pub use statement::{Headroom, Statement};
