//! Draws permits for requests to upstreams that name a limit.

use std::time::{Duration, Instant};

use config::ids::ServiceId;
use indexmap::IndexMap;
use limits::{PERMIT_LIFETIME, Process};

use crate::core::{Core, lock};

/// Longest wait for the leader's answer to a draw.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a draw without an answer.
const PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(250);
/// Span over which the need for permits is counted.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);

/// Draws of one entry, by service.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    services: IndexMap<ServiceId, Draws>,
}

#[derive(Debug, Default)]
struct Draws {
    /// Until when requests are refused without a draw.
    paused_until: Option<Instant>,
    /// Start of the period in which requests are counted, the count, and that of the period before.
    period: Option<Instant>,
    count: u32,
    before: u32,
}

impl Draws {
    /// Counts a request that needs a permit, and returns how many do within a period.
    fn add_request(&mut self, now: Instant) -> u32 {
        let period = *self.period.get_or_insert(now);
        let elapsed = now.saturating_duration_since(period);
        if elapsed >= DEMAND_PERIOD {
            self.before = match elapsed < 2 * DEMAND_PERIOD {
                true => self.count,
                false => 0,
            };
            self.count = 0;
            self.period = Some(now);
        }
        self.count += 1;
        self.count.max(self.before)
    }
}

/// Returns how long requests to a service are still refused without a draw.
pub(crate) fn pause(core: &Core, service: &ServiceId, now: Instant) -> Option<Duration> {
    let permits = lock(&core.permits);
    let until = permits.services.get(service)?.paused_until?;
    until
        .checked_duration_since(now)
        .filter(|wait| !wait.is_zero())
}

/// Draws a permit for one of the upstreams `wanted`.
///
/// # Errors
/// Returns the time after which there may be permits if there are none.
pub(crate) async fn draw(
    core: &Core,
    service: &ServiceId,
    wanted: Vec<Process>,
) -> Result<(), Duration> {
    let sent_at = Instant::now();
    let count = {
        let mut permits = lock(&core.permits);
        let draws = permits.services.entry(service.clone()).or_default();
        let count = draws.add_request(sent_at);
        match draws.paused_until {
            Some(until) if sent_at < until => return Err(until - sent_at),
            _ => count,
        }
    };
    let drawn = core.member.draw_permits(wanted, count, DRAW_TIMEOUT).await;
    let pause = match drawn {
        Ok(drawn) => match drawn.permit {
            Some(permit) => {
                let until = sent_at + PERMIT_LIFETIME;
                lock(&core.balancer).add_permits(&permit, until);
                return Ok(());
            }
            None => Duration::from_millis(drawn.retry_after_ms),
        },
        Err(_) => PAUSE_AFTER_TIMEOUT,
    };
    let mut permits = lock(&core.permits);
    let draws = permits.services.entry(service.clone()).or_default();
    draws.paused_until = Some(Instant::now() + pause);
    Err(pause)
}
