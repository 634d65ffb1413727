//! Checks that instance limits and budgets suffice for the expected demand.

use crate::Text;
use crate::check::report::Report;
use crate::text::DataCentre;

const HOURS_PER_MONTH: f64 = 730.0;

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    check_instances(report, text);
    check_demand(report, text);
    check_budgets(report, text);
}

fn check_instances(report: &mut Report<'_, '_>, text: &Text) {
    let wanted: u64 = text
        .services
        .values()
        .map(|service| u64::from(service.min_instances))
        .sum();
    let allowed: u64 = text.data_centres.values().map(max_instances).sum();
    report.error_if(
        !text.data_centres.is_empty() && wanted > allowed,
        &["data-centres"],
        format!("the services want at least {wanted} instances, the data centres allow {allowed}"),
        "raise max-instances of a data centre's class, or lower min-instances of a service",
    );
}

fn check_demand(report: &mut Report<'_, '_>, text: &Text) {
    for (name, service) in &text.services {
        let carried = f64::from(service.max_instances) * service.requests_per_second_per_instance;
        let expected = service.expected_requests_per_second;
        report.error_if(
            expected > carried,
            &["services", name, "max-instances"],
            format!(
                "service \"{name}\" expects {expected} requests per second, but {} instances carry {carried}",
                service.max_instances
            ),
            "raise max-instances, or correct the rates",
        );
    }
}

fn check_budgets(report: &mut Report<'_, '_>, text: &Text) {
    for (name, data_centre) in &text.data_centres {
        let costs = [
            ("reclaimable", data_centre.reclaimable),
            ("on-demand", data_centre.on_demand),
        ];
        for (class, cost) in costs {
            let monthly_cost = cost.price * HOURS_PER_MONTH;
            report.warn_if(
                cost.budget.is_some_and(|budget| budget > 0.0 && budget < monthly_cost),
                &["data-centres", name, class, "budget"],
                format!(
                    "the budget of {class} instances in data centre \"{name}\" does not pay for one instance, which costs {monthly_cost:.2} a month"
                ),
                "raise the budget, or set max-instances = 0 to use none",
            );
        }
    }
}

fn max_instances(data_centre: &DataCentre) -> u64 {
    let classes = [data_centre.reclaimable, data_centre.on_demand];
    classes
        .iter()
        .map(|cost| cost.max_instances.map_or(u64::from(u32::MAX), u64::from))
        .sum()
}
