//! Conditions under which a run is simulated.

use crate::{Micros, SECOND};

/// Demand, faults and delays of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Case {
    /// Normal demand, no reclaims, no lost cache events, and load reports that are 0.1 s old.
    Steady,
    /// Twice the normal demand.
    Overload,
    /// All reclaimable instances of one data centre are reclaimed, and starts there are refused.
    Reclaim,
    /// Load reports are two seconds old.
    Lag,
    /// 10 % of the cache events are lost.
    Gaps,
}

impl Case {
    /// All cases.
    pub const ALL: [Case; 5] = [
        Case::Steady,
        Case::Overload,
        Case::Reclaim,
        Case::Lag,
        Case::Gaps,
    ];

    /// Returns the name that the table prints and the option `--case` accepts.
    pub fn name(self) -> &'static str {
        match self {
            Case::Steady => "steady",
            Case::Overload => "overload 2x",
            Case::Reclaim => "reclaim wave",
            Case::Lag => "reports lag 2 s",
            Case::Gaps => "event gaps 10%",
        }
    }

    /// Returns the demand relative to the normal one.
    pub(crate) fn demand_factor(self) -> f64 {
        match self {
            Case::Overload => 2.0,
            _ => 1.0,
        }
    }

    /// Returns the time from an engine's load report to its arrival at the entries.
    pub(crate) fn report_lag(self) -> Micros {
        match self {
            Case::Lag => 2 * SECOND,
            _ => SECOND / 10,
        }
    }

    /// Returns the share of cache events that are lost, from 0 to 1.
    pub(crate) fn event_loss(self) -> f64 {
        match self {
            Case::Gaps => 0.1,
            _ => 0.0,
        }
    }
}
