//! Requests and parts of prompts that crash upstreams, as this entry knows them.

use std::time::Instant;

use compact_str::{CompactString, format_compact};
use quarantine::{Fingerprint, Notice, PartId, Report, SubjectId, Watch};

use crate::balancer::Choice;
use crate::call::Call;

/// Watches over both kinds of subjects.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    parts: Watch,
    requests: Watch,
}

/// What crashes upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A part of prompts.
    Part(PartId),
    /// A request.
    Request(Fingerprint),
}

impl Subject {
    /// Returns the name for logs.
    pub fn name(self) -> CompactString {
        match self {
            Subject::Part(part) => format_compact!("part {part:x}"),
            Subject::Request(fingerprint) => format_compact!("request {fingerprint:x}"),
        }
    }
}

impl Quarantine {
    /// Returns the subject for which a call is refused, if there is one. A trial of the subject is
    /// used up.
    pub(crate) fn refusal(&mut self, call: &Call, now: Instant) -> Option<Subject> {
        let request = self.requests.refusal(&[call.fingerprint], now);
        match request {
            Some(fingerprint) => Some(Subject::Request(fingerprint)),
            None => {
                let part = self.parts.refusal(&call.shared_parts, now);
                part.map(Subject::Part)
            }
        }
    }

    /// Returns the subject for which a call would be refused, if there is one. Uses up no trial.
    pub(crate) fn preview(&self, call: &Call, now: Instant) -> Option<Subject> {
        let request = self.requests.would_refuse(&[call.fingerprint], now);
        match request {
            Some(fingerprint) => Some(Subject::Request(fingerprint)),
            None => {
                let part = self.parts.would_refuse(&call.shared_parts, now);
                part.map(Subject::Part)
            }
        }
    }

    /// Returns the subject of a call that is in quarantine, if there is one.
    pub(crate) fn subject(&self, call: &Call) -> Option<Subject> {
        let request = self.requests.quarantined(&[call.fingerprint]);
        match request {
            Some(fingerprint) => Some(Subject::Request(fingerprint)),
            None => {
                let part = self.parts.quarantined(&call.shared_parts);
                part.map(Subject::Part)
            }
        }
    }

    /// Records that the answer to a call has begun well.
    pub(crate) fn record_begun_well(&mut self, call: &Call, now: Instant) {
        self.requests.record_begun_well(&[call.fingerprint], now);
        self.parts.record_begun_well(&call.shared_parts, now);
    }

    /// Reports whether a crash has been recorded already.
    pub(crate) fn knows_crash(&self, choice: &Choice) -> bool {
        self.requests
            .knows_crash(&choice.upstream, choice.incarnation)
    }

    /// Records that an upstream crashed while the answer to a call had not begun well.
    pub(crate) fn record_crash(&mut self, choice: &Choice, call: &Call, at: Instant) {
        let record = |watch: &mut Watch, subjects: &[SubjectId]| {
            watch.record_crash(&choice.upstream, choice.incarnation, subjects, at);
        };
        record(&mut self.requests, &[call.fingerprint]);
        if !call.shared_parts.is_empty() {
            record(&mut self.parts, &call.shared_parts);
        }
    }

    /// Returns the statements about parts and about requests for the next report to the leader.
    pub(crate) fn report(&mut self, now: Instant) -> (Report, Report) {
        (self.parts.report(now), self.requests.report(now))
    }

    /// Applies the leader's answers to the statements, and returns the subjects that they put into
    /// quarantine or take out.
    pub(crate) fn apply(&mut self, parts: Notice, requests: Notice, now: Instant) -> Vec<Subject> {
        let parts = self.parts.apply(parts, now);
        let requests = self.requests.apply(requests, now);
        let parts = parts.into_iter().map(Subject::Part);
        parts
            .chain(requests.into_iter().map(Subject::Request))
            .collect()
    }
}
