//! Kinds of subjects, and what it takes to put one of each kind into quarantine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What may crash upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// A part of prompts, by its identifier. No two prompts with it need to be alike.
    #[default]
    Part,
    /// A request, by its fingerprint. It comes again and again.
    Request,
}

/// Crashes after which a subject is put into quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Threshold {
    pub(crate) crashes: usize,
    /// Least time from the first of them to the last.
    pub(crate) span: Duration,
}

/// Threshold of a subject with which an answer has begun well before.
const KNOWN: Threshold = Threshold {
    crashes: 5,
    span: Duration::from_secs(2),
};

impl Kind {
    /// Returns the threshold of a subject with which an answer has begun well before, if `is_known`,
    /// or of another one.
    pub(crate) fn threshold(self, is_known: bool) -> Threshold {
        match self {
            _ if is_known => KNOWN,
            // Upstreams that fail together, as those of a data centre, may all hold a new part.
            Kind::Part => Threshold {
                crashes: 3,
                span: Duration::from_millis(300),
            },
            // A request is at one upstream at a time, so that crashes at the same moment are none
            // of its own.
            Kind::Request => Threshold {
                crashes: 3,
                span: Duration::ZERO,
            },
        }
    }

    /// Returns the crashes after which a subject comes under suspicion, so that entries are asked
    /// what they know of it.
    pub(crate) fn suspicious_crashes(self) -> usize {
        match self {
            Kind::Part => 1,
            // Most requests that an upstream runs when it crashes never come again.
            Kind::Request => 2,
        }
    }

    /// Returns the time from the verdict, or from the trial before, to each trial.
    pub fn trial_pauses(self) -> &'static [Duration] {
        const PAUSES: [Duration; 3] = [
            Duration::from_secs(15),
            Duration::from_secs(60),
            Duration::from_secs(240),
        ];
        match self {
            Kind::Part => &PAUSES,
            // A request that was sent just before its verdict counts like a trial.
            Kind::Request => &PAUSES[1..],
        }
    }
}
