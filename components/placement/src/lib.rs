//! Decides how many instances of each service run in which data centre and class and which models
//! they load, and forecasts the spend of the coming month. The crate uses no sockets and no clock:
//! callers pass the current time.

mod allocation;
pub mod autoscaler;
mod backoff;
mod decision;
pub mod forecast;
mod history;
mod inputs;
mod instance;
pub mod ledger;
mod planner;
mod settings;
mod slot;

pub use allocation::{Allocation, Need, Offer, allocate};
pub use decision::{Action, Alternative, Decision};
pub use inputs::Inputs;
pub use instance::{Instance, State};
pub use ledger::Ledger;
pub use planner::Planner;
pub use settings::Settings;
pub use slot::Slot;
