//! What the leader tells entries of a roll-out.

use config::ids::ServiceId;
use serde::{Deserialize, Serialize};
use state::rollouts::{Number, Phase};
use upstream::Software;

/// What the leader tells entries of a roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stage {
    /// Service of the roll-out.
    pub service: ServiceId,
    /// Number of the roll-out.
    pub number: Number,
    /// New version; all others are old ones.
    pub to: Software,
    /// Current phase.
    pub phase: Phase,
    /// Share of the service's requests that the new version gets, from 0 to 1.
    pub share: f64,
}
