//! The count of one request against its upstream.

use std::sync::Arc;
use std::time::Instant;

use crate::balancer::{End, Pick};
use crate::core::{Core, lock};

/// Counts a request against its upstream until it ends or is dropped, as it is when its caller
/// leaves.
pub(crate) struct Ticket {
    core: Arc<Core>,
    pick: Pick,
    sent: Instant,
    computed: bool,
    ended: bool,
}

impl Ticket {
    /// Takes over a request that the balancer has counted.
    pub(crate) fn new(core: &Arc<Core>, pick: Pick) -> Self {
        Ticket {
            core: core.clone(),
            pick,
            sent: Instant::now(),
            computed: false,
            ended: false,
        }
    }

    pub(crate) fn pick(&self) -> &Pick {
        &self.pick
    }

    /// Counts the first event, or the head of a whole answer.
    pub(crate) fn began(&mut self) {
        if !std::mem::replace(&mut self.computed, true) {
            let now = Instant::now();
            lock(&self.core.balancer).began(&self.pick, now - self.sent, now);
        }
    }

    /// Counts the request as ended.
    pub(crate) fn end(&mut self, end: End) {
        if !std::mem::replace(&mut self.ended, true) {
            lock(&self.core.balancer).ended(&self.pick, self.computed, end, Instant::now());
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(End::Answered);
    }
}
