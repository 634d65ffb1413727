//! Admission control: limits of client accounts, fair queues and the retry budget.

mod budget;
mod limiter;
mod permits;
mod queue;
mod usage;

pub use budget::Budget;
pub use limiter::{Limiter, Permit};
pub(crate) use permits::Permits;
pub use queue::{Queue, Waiter};
pub use usage::{Quota, Slot, Usage};
