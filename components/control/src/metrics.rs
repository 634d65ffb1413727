//! Metrics of the control process.

mod scaling;

use config::release;
use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::node::plans::Planned;

use scaling::Scaling;

/// Counters and gauges of one control process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of entries and operators, by kind and result.
    pub requests: IntCounterVec,
    /// Version of the newest text applied here.
    pub version: IntGauge,
    /// 1 while this process is the leader, 0 otherwise.
    pub leads: IntGauge,
    /// 1 while the group has a leader as far as this process knows, 0 otherwise.
    pub has_leader: IntGauge,
    /// Voters that may be lost at once while the others are still a quorum, as the leader sees it; 0
    /// where this process is not the leader.
    pub tolerated_losses: IntGauge,
    /// 1 while this process leads a group that tolerates fewer losses than it should, 0 otherwise.
    pub margin_reduced: IntGauge,
    /// Claims in the replicated state.
    pub claims: IntGauge,
    /// Claims whose outcome is unknown.
    pub unknowns: IntGauge,
    /// Tokens that each account with a limit spent within the last window at all entries, as the
    /// leader counts them.
    pub account_spent: IntGaugeVec,
    /// Orders for instances by count, and the plans behind them.
    pub(crate) scaling: Scaling,
    /// Share of each rank's work that is admitted, as the leader plans it.
    admitted_share: GaugeVec,
    /// What the engines of a service can take, relative to what follows from their number and the model.
    capacity_factor: GaugeVec,
    /// Phases of roll-outs that this process began as the leader, by service and phase.
    pub rollout_phases: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let opts = Opts::new(
            "chervilloft_control_requests_total",
            "Requests of entries and operators.",
        );
        let requests = IntCounterVec::new(opts, &["kind", "result"]).expect("valid metric");
        registry
            .register(Box::new(requests.clone()))
            .expect("metric registered once");
        let opts = Opts::new(
            "chervilloft_control_account_spent_tokens",
            "Tokens spent within the last window of the account's limit.",
        );
        let account_spent = IntGaugeVec::new(opts, &["account"]).expect("valid metric");
        registry
            .register(Box::new(account_spent.clone()))
            .expect("metric registered once");
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = GaugeVec::new(Opts::new(name, help), labels).expect("valid metric");
            registry
                .register(Box::new(gauges.clone()))
                .expect("metric registered once");
            gauges
        };
        let admitted_share = gauges(
            "chervilloft_control_admitted_share",
            "Share of the requested work that is admitted, by service and rank.",
            &["service", "rank"],
        );
        let capacity_factor = gauges(
            "chervilloft_control_capacity_factor",
            "What the engines of a service can take, relative to the model.",
            &["service"],
        );
        let opts = Opts::new(
            "chervilloft_control_rollout_phases_total",
            "Phases of roll-outs that began.",
        );
        let rollout_phases = IntCounterVec::new(opts, &["service", "phase"]).expect("valid metric");
        registry
            .register(Box::new(rollout_phases.clone()))
            .expect("metric registered once");
        let opts = Opts::new("chervilloft_build_info", "This build; always 1.");
        let build = IntGaugeVec::new(opts, &["build", "level"]).expect("valid metric");
        registry
            .register(Box::new(build.clone()))
            .expect("metric registered once");
        let level = release::OWN.to_string();
        build.with_label_values(&[release::build(), &level]).set(1);
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric registered once");
            gauge
        };
        Metrics {
            requests,
            version: gauge("chervilloft_control_version", "Version of the newest text."),
            leads: gauge("chervilloft_control_leads", "1 while this process leads."),
            has_leader: gauge(
                "chervilloft_control_has_leader",
                "1 while the group has a leader.",
            ),
            tolerated_losses: gauge(
                "chervilloft_control_tolerated_losses",
                "Voters that may be lost at once, as the leader sees it.",
            ),
            margin_reduced: gauge(
                "chervilloft_control_margin_reduced",
                "1 while the group tolerates fewer losses than it should.",
            ),
            claims: gauge("chervilloft_control_claims", "Claims that are kept."),
            unknowns: gauge(
                "chervilloft_control_unknown_claims",
                "Claims whose outcome is unknown.",
            ),
            account_spent,
            scaling: Scaling::new(&registry),
            admitted_share,
            capacity_factor,
            rollout_phases,
            registry,
        }
    }
}

impl Metrics {
    /// Records the plan of a service.
    pub(crate) fn record_plan(&self, planned: &Planned) {
        for (rank, share) in &planned.ranks {
            let labels = [planned.service.as_str(), &rank.to_string()];
            self.admitted_share.with_label_values(&labels).set(*share);
        }
        let service = [planned.service.as_str()];
        let factor = self.capacity_factor.with_label_values(&service);
        factor.set(planned.capacity_factor);
    }

    /// Adds metrics that are counted elsewhere in the process.
    pub(crate) fn register(&self, collectors: Vec<Box<dyn Collector>>) {
        for collector in collectors {
            let registered = self.registry.register(collector);
            registered.expect("metric registered once");
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        match encoded {
            Ok(()) => bytes,
            Err(_) => Vec::new(),
        }
    }
}
