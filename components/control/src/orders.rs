//! Orders to engines and to the cloud API. Only the leader issues them.
//!
//! An order is first recorded in the replicated log, which gives it a fencing number. Upstreams
//! that ignore the number are protected by having one issuer at a time:
//!
//! - a new leader waits for longer than the old leader's lease and the timeout of a call;
//! - the lease is checked again directly before each write to the socket;
//! - the kernel discards bytes that are not acknowledged in time;
//! - orders set a state (they are idempotent), and the state is read back and corrected.

mod cloud;
mod exchange;
mod guarded_stream;
mod issuer;
mod placer;
mod usage;

pub use exchange::{Call, exchange};
pub use issuer::{CALL_TIMEOUT, Outcome};
pub(crate) use placer::run;
