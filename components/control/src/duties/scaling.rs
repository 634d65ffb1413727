//! Orders to the cloud for a number of instances per service and slot.

use std::time::Instant;

use compact_str::{CompactString, format_compact};
use config::Text;
use config::ids::ServiceId;
use config::text::Scaling;
use indexmap::IndexMap;
use placement::Slot;
use placement::autoscaler::{self, Forecast, Input, Supply};
use state::{Command, Output};
use tracing::{info, warn};
use upstream::{Announcement, Availability};

use super::Duties;
use crate::external::Fence;
use crate::node::workload::Needed;
use crate::replica::Replica;

/// HTTP status with which the cloud refuses an order for a slot without capacity.
const NO_CAPACITY_STATUS: u16 = 409;
/// Lowest HTTP status of an error of the cloud itself.
const MIN_SERVER_ERROR: u16 = 500;

impl<R: Replica<Command = Command, Output = Output>> Duties<R> {
    /// Orders the instances that each service needs now.
    pub(super) async fn scale(&mut self, term: u64, fence: &Fence) {
        let Some((_, text)) = self.node.text() else {
            return;
        };
        let live = self.node.upstreams();
        for (name, service) in &text.services {
            if let Some(scaling) = &service.scaling {
                self.scale_service(term, fence, name, scaling, &text, &live)
                    .await;
            }
        }
    }

    async fn scale_service(
        &mut self,
        term: u64,
        fence: &Fence,
        name: &ServiceId,
        scaling: &Scaling,
        text: &Text,
        live: &[Announcement],
    ) {
        let announced: Vec<_> = live.iter().filter(|a| a.service == *name).collect();
        let supply = supply(&announced);
        let now = Instant::now();
        let serving = supply.values().map(|supply| supply.serving).sum();
        let batch = announced.iter().map(|a| a.capacity.batch).max();
        let (input, basis) = self.input(name, text, serving, batch.unwrap_or(1), now);
        let autoscaler = self.autoscalers.entry(name.clone()).or_default();
        let was_by_work = autoscaler.status().is_some();
        let orders = autoscaler.plan(scaling, &supply, input, now);
        if let Some(status) = autoscaler.status() {
            if !was_by_work {
                info!(
                    "placement: the instances of {name} follow the value of answers from now on: it is \
                     balanced by work, {} are wanted, {} serve or were ordered",
                    status.wanted, status.ordered
                );
            }
            self.node.metrics.scaling.show(name, &status);
        }
        for order in orders {
            self.send_order(term, fence, name, &order, &basis).await;
        }
    }

    /// Returns what is known of a service besides its instances, and from what it follows.
    fn input(
        &self,
        name: &ServiceId,
        text: &Text,
        serving: u32,
        batch: u32,
        now: Instant,
    ) -> (Input, CompactString) {
        let mut workload = self.node.workload();
        let needed = workload.needed(name, text, serving, batch, now);
        let basis = needed.as_ref().map(basis).unwrap_or_default();
        let forecast = needed.map_or(Forecast::default(), |needed| Forecast {
            sizing: needed.sizing,
            is_learned: needed.model.is_learned(),
        });
        let input = Input {
            is_balanced_by_work: workload.is_balanced_by_work(name),
            ..Input::from(forecast)
        };
        (input, basis)
    }

    async fn send_order(
        &mut self,
        term: u64,
        fence: &Fence,
        name: &ServiceId,
        order: &autoscaler::Order,
        basis: &str,
    ) {
        let autoscaler::Order {
            slot,
            count,
            reason,
        } = order;
        let data_centre = &slot.data_centre;
        let call =
            self.protocol
                .encode_scale(fence, self.cloud, name, data_centre, slot.class, *count);
        let status = self.call(term, &call).await;
        let number = fence.number;
        let result = match &status {
            Ok(status) if (200..300).contains(status) => "accepted",
            Ok(_) => "refused",
            Err(_) => "unanswered",
        };
        self.node.metrics.scaling.count_order(name, result);
        let Some(autoscaler) = self.autoscalers.get_mut(name) else {
            return;
        };
        match status {
            Ok(status) if (200..300).contains(&status) => {
                autoscaler.record_order(order, Instant::now());
                info!(
                    order = number,
                    "placement: ordered {count} instances of {name} in {slot}: {reason}; {basis}"
                );
            }
            Ok(NO_CAPACITY_STATUS) => {
                autoscaler.record_refusal(slot, Instant::now());
                info!(
                    order = number,
                    "placement: order of {count} instances of {name} in {slot} refused: no capacity"
                );
            }
            Ok(status) => {
                match status >= MIN_SERVER_ERROR {
                    true => autoscaler.record_error(order, Instant::now()),
                    false => autoscaler.record_refusal(slot, Instant::now()),
                }
                warn!(
                    order = number,
                    "placement: order of {count} instances of {name} in {slot} refused: status {status}"
                );
            }
            Err(error) => {
                autoscaler.record_failure(order, Instant::now());
                warn!(
                    order = number,
                    "placement: order of {count} instances of {name} in {slot} failed: {error}"
                );
            }
        }
    }
}

/// Says from what the number of instances follows, for the log.
fn basis(needed: &Needed) -> CompactString {
    let Needed { load, model, .. } = needed;
    format_compact!(
        "{:.1} requests per second of {:.0} prompt tokens and {:.0} events, {:.4} ms per token, \
         {:.1} ms per event, from {} samples",
        load.requests_per_second,
        model.tokens,
        model.events,
        model.prefill_ms_per_token,
        model.event_ms,
        model.samples,
    )
}

fn supply(upstreams: &[&Announcement]) -> IndexMap<Slot, Supply> {
    let mut supply: IndexMap<Slot, Supply> = IndexMap::new();
    for announcement in upstreams {
        let slot = Slot {
            data_centre: announcement.data_centre.clone(),
            class: announcement.class,
        };
        let counts = supply.entry(slot).or_default();
        match announcement.availability {
            Availability::Serving => counts.serving += 1,
            Availability::Reclaimed { .. } => counts.reclaimed += 1,
            Availability::Leaving => {}
        }
    }
    supply
}
