//! Metrics of the orders for instances by count.

use placement::autoscaler::Status;
use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of the orders for instances by count; set by the leader only.
#[derive(Clone, Debug)]
pub(crate) struct Scaling {
    /// Orders by service and result: `accepted`, `refused`, `unanswered`.
    orders: IntCounterVec,
    /// Instances of the last plan of each service that is balanced by work, by state.
    instances: IntGaugeVec,
    /// Slots of each such service that were sold out at the last order.
    sold_out: IntGaugeVec,
}

impl Scaling {
    /// Creates the metrics in a registry.
    pub(super) fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric registered once");
            gauge
        };
        let opts = Opts::new(
            "chervilloft_control_scaling_orders_total",
            "Orders for instances by count.",
        );
        let orders = IntCounterVec::new(opts, &["service", "result"]).expect("valid metric");
        registry
            .register(Box::new(orders.clone()))
            .expect("metric registered once");
        Scaling {
            orders,
            instances: gauge(
                "chervilloft_control_scaling_instances",
                "Instances of the last plan, by state.",
                &["service", "state"],
            ),
            sold_out: gauge(
                "chervilloft_control_scaling_sold_out_slots",
                "Slots without instances to sell.",
                &["service"],
            ),
        }
    }

    /// Counts an order.
    pub(crate) fn count_order(&self, service: &str, result: &str) {
        self.orders.with_label_values(&[service, result]).inc();
    }

    /// Shows the sums of a plan.
    pub(crate) fn show(&self, service: &str, status: &Status) {
        let states = [
            ("wanted", status.wanted),
            ("ordered", status.ordered),
            ("warm", status.warm),
            ("sufficient", status.sufficient),
            ("after-loss", status.after_loss),
        ];
        for (state, count) in states {
            let gauge = self.instances.with_label_values(&[service, state]);
            gauge.set(i64::from(count));
        }
        let gauge = self.sold_out.with_label_values(&[service]);
        gauge.set(i64::from(status.sold_out));
    }
}
