//! Who is let in, and in which order: limits of client accounts, fair queues, retry budget.

mod budget;
mod gate;
mod queue;
mod usage;

pub use budget::Budget;
pub use gate::{Gate, Permit};
pub use queue::{Place, Queue};
pub use usage::{InProgress, Rates, Usage};
