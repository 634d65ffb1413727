//! A load generator with seeded callers, which verify every token and count the outcomes.

mod attempt;
mod call;
mod caller;
mod latency;
mod mix;
mod outcome;
mod plan;
mod report;
mod run;
mod sse;

pub use call::{Call, Generate, Submit};
pub use caller::{Caller, Settings};
pub use latency::Latency;
pub use mix::{Mix, Target};
pub use outcome::{Attempt, AttemptOutcome, Observation, Outcome};
pub use plan::Plan;
pub use report::Report;
pub use run::run;
