//! What a plan is made from.

use std::time::Instant;

use config::Text;
use config::ids::ServiceId;
use indexmap::IndexMap;

use crate::{Instance, Slot};

/// Everything that one plan reads.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The text in force.
    pub text: &'a Text,
    /// Requests per second by service, as measured over the last minutes; the text's expectation
    /// stands in for a service that is missing.
    pub demand: &'a IndexMap<ServiceId, f64>,
    /// Prices per instance hour now; the text's price stands in for a slot that is missing.
    pub prices: &'a IndexMap<Slot, f64>,
    /// All instances known.
    pub instances: &'a [Instance],
    /// The present.
    pub now: Instant,
}
