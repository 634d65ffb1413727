//! Messages between the system's own processes, encoded in CBOR, one per WebSocket message.
//!
//! Each [`Frame`] is sent in an [`Envelope`], which numbers it and echoes the number of the last
//! envelope received from the other end. The echo gives the receiver an upper bound on the frame's
//! age.

mod answer;
mod codec;
mod delta;
mod envelope;
mod frame;
mod hello;
mod malformed;
mod moment_table;
mod push;
mod report;
mod request;
mod speed_table;
mod unknown;
mod work_table;

pub use answer::{Answer, Failure, FreshnessLease, Submitted};
pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use delta::{AgedAnnouncement, Delta, Renewal, fingerprint};
pub use envelope::Envelope;
pub use frame::{CallId, Frame};
pub use hello::{Hello, PROTOCOL_VERSION, Role};
pub use malformed::Malformed;
pub use moment_table::MomentTable;
pub use push::Push;
pub use report::{
    Balance, Balances, DemandTotals, Forwarder, Limits, Overview, Report, Statements, Work,
};
pub use request::{Body, Query, Request};
pub use speed_table::SpeedTable;
pub use unknown::{Kind as UnknownKind, Unknown};
pub use work_table::WorkTable;
