//! The loop that steps the batch while requests are in progress.

use std::sync::Arc;

use tokio::time::Instant;

use super::{Core, lock};

/// Steps the batch until the engine is killed.
pub(super) async fn run(core: Arc<Core>) {
    loop {
        if lock(&core.batch).in_progress() == 0 {
            core.work.notified().await;
        }
        let started = Instant::now();
        let slowdown = lock(&core.switches).slowdown;
        let step = core.settings.step_duration().mul_f64(slowdown.max(0.0));
        tokio::time::sleep_until(started + step).await;
        core.lifecycle.wait_until_thawed().await;
        // Timers fire up to a millisecond late; missed steps are caught up here.
        let steps = (started.elapsed().as_secs_f64() / step.as_secs_f64().max(1e-6)) as u32;
        for _ in 0..steps.clamp(1, MAX_STEPS_AT_ONCE) {
            step_once(&core);
        }
    }
}

/// Maximum steps per wake-up.
const MAX_STEPS_AT_ONCE: u32 = 4;

fn step_once(core: &Core) {
    let prefill = core.settings.prefill_per_step();
    let mut batch = lock(&core.batch);
    let mut cache = lock(&core.cache);
    let mut history = lock(&core.history);
    batch.step(prefill, &mut cache, &mut history);
}
