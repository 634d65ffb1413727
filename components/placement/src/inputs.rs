//! Inputs of a plan.

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
    /// Requests per second by service, measured over the last minutes. For a service that is
    /// missing, the demand that the text expects is used.
    pub demand: &'a IndexMap<ServiceId, f64>,
    /// Current prices per instance hour. For a slot that is missing, the price in the text is used.
    pub prices: &'a IndexMap<Slot, f64>,
    /// All known instances.
    pub instances: &'a [Instance],
    /// Current time.
    pub now: Instant,
}
