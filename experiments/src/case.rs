//! What happens in a run.

use crate::{Micros, SECOND};

/// One of the cases of the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Case {
    /// The usual demand.
    Steady,
    /// Twice the usual demand.
    Overload,
    /// All reclaimable instances of one data centre go, and starts there are refused.
    Reclaim,
    /// Load reports are two seconds old.
    Lag,
    /// A tenth of the cache events is lost.
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

    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Case::Steady => "steady",
            Case::Overload => "overload 2x",
            Case::Reclaim => "reclaim wave",
            Case::Lag => "reports lag 2 s",
            Case::Gaps => "event gaps 10%",
        }
    }

    pub(crate) fn demand(self) -> f64 {
        match self {
            Case::Overload => 2.0,
            _ => 1.0,
        }
    }

    pub(crate) fn report_lag(self) -> Micros {
        match self {
            Case::Lag => 2 * SECOND,
            _ => SECOND / 10,
        }
    }

    /// Returns the share of cache events that is lost.
    pub(crate) fn event_loss(self) -> f64 {
        match self {
            Case::Gaps => 0.1,
            _ => 0.0,
        }
    }
}
