//! Who is let in, and in which order: limits of client accounts, fair queues, retry budget.

mod bucket;
mod budget;
mod gate;
mod queue;
mod usage;

pub use bucket::Bucket;
pub use budget::Budget;
pub use gate::{Gate, Permit};
pub use queue::{Place, Queue};
pub use usage::{InProgress, Rates, Usage};
