//! What would become of a request, for explanations: nothing is sent, counted or drawn.

use std::time::{Duration, Instant};

use config::ids::{NodeId, UpstreamId};
use limits::Process;

use super::{
    Attempts, NO_UPSTREAM_RETRY_AFTER, Way, criteria, or_wait, refusal, refusal_before_attempt,
    through, way,
};
use crate::balancer::{Choice, Explanation, Shortage};
use crate::call::Call;
use crate::core::{Core, lock};
use crate::{Refusal, permits};

/// What would become of a request, and what that depends on.
pub(crate) struct Preview {
    pub(crate) explanation: Explanation,
    pub(crate) max_wait: Duration,
    pub(crate) work_ms: f64,
    pub(crate) course: Course,
}

/// What would become of a request.
pub(crate) enum Course {
    /// It is sent to an upstream.
    Sent(Box<Choice>),
    /// Another entry is asked to send it.
    Forwarded(NodeId),
    /// The leader is asked for a permit for one of the processes.
    NeedsPermit {
        wanted: Vec<Process>,
        /// The refusal if none of them is permitted.
        otherwise: Refusal,
    },
    Refused(Refusal),
}

/// Returns what would become of `call` after attempts at the upstreams `excluded`.
pub(crate) fn preview(core: &Core, call: &Call, excluded: &[UpstreamId], now: Instant) -> Preview {
    let criteria = criteria(core, call, excluded, None, None);
    let (explanation, wanted) = {
        let balancer = lock(&core.balancer);
        (
            balancer.explain(&criteria, now),
            balancer.limited(&criteria, now),
        )
    };
    let mut attempts = Attempts::default();
    let course = match refusal_before_attempt(core, call, &mut attempts) {
        Some(refusal) => Course::Refused(refusal),
        None => match way(core, call, &attempts, through::peek) {
            Way::Direct => direct(core, call, &explanation, wanted, now),
            Way::Through(other) => Course::Forwarded(other.node),
            Way::Closed => Course::Refused(Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER)),
        },
    };
    Preview {
        max_wait: criteria.max_wait,
        work_ms: criteria.work_ms,
        explanation,
        course,
    }
}

/// Returns what would become of a request for which this entry chooses the upstream.
fn direct(
    core: &Core,
    call: &Call,
    explanation: &Explanation,
    wanted: Vec<Process>,
    now: Instant,
) -> Course {
    let refused = |shortage: Shortage| refusal(shortage, &mut Attempts::default());
    match &explanation.result {
        Ok(choice) => Course::Sent(Box::new(choice.clone())),
        Err(shortage) if wanted.is_empty() => Course::Refused(refused(*shortage)),
        Err(shortage) => match permits::pause(core, &call.service, now) {
            Some(wait) => Course::Refused(refused(or_wait(*shortage, wait))),
            None => Course::NeedsPermit {
                wanted,
                otherwise: refused(*shortage),
            },
        },
    }
}
