//! Admission priority while the engines of a service can't take all requests.
//!
//! Entries report what callers ask for, by rank and client account, as totals. The leader keeps a
//! [`Planner`] for each service: it compares the demand with what the engines can take, and makes a
//! [`Plan`] of the shares that are admitted. Entries decide about each request by the newest plan and
//! the request's identifier, without asking anybody.
//!
//! Two things are scarce at an engine: its time to compute prompts, and the places of its batch.
//! [`Demand`] has a figure for each.
//!
//! The crate has no network and no clock; callers pass the current time.

mod capacity;
mod class;
mod demand;
mod division;
mod ledger;
mod plan;
mod planner;
mod rate;
mod report;

pub use capacity::{Load, Supply};
pub use class::{AccountKey, Class, MAX_CLASSES, MAX_RANK, account_key};
pub use demand::Demand;
pub use ledger::Process;
pub use plan::{MAX_PLAN_AGE, Plan, hash};
pub use planner::Planner;
pub use report::{Report, Row, Totals};
