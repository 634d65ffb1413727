//! Checks of services, except of their dependencies.

use indexmap::IndexMap;

use crate::Text;
use crate::check::report::Report;
use crate::text::{Kind, Service};

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    for (name, service) in &text.services {
        check_kind(report, name, service);
        check_limits(report, name, service, text);
        check_routes(report, name, service);
    }
    check_model_names(report, text);
}

fn check_kind(report: &mut Report<'_, '_>, name: &str, service: &Service) {
    let path = ["services", name];
    report.error_if(
        !super::is_valid_name(name),
        &path,
        format!("service name \"{name}\" is not usable"),
        super::NAME_HELP,
    );
    report.error_if(
        service.kind == Kind::Model && service.models.is_empty(),
        &path,
        format!("model service \"{name}\" serves no model"),
        "add models = [{ name = \"...\", version = \"...\" }], or set kind = \"plain\"",
    );
    report.error_if(
        service.kind == Kind::Plain && !service.models.is_empty(),
        &["services", name, "models"],
        format!("plain service \"{name}\" can't serve models"),
        "take models out, or set kind = \"model\"",
    );
    report.error_if(
        service.kind == Kind::Model && !service.routes.is_empty(),
        &["services", name, "routes"],
        format!("model service \"{name}\" has no routes of its own"),
        "routes belong to plain services; calls to models may always be repeated",
    );
}

fn check_limits(report: &mut Report<'_, '_>, name: &str, service: &Service, text: &Text) {
    let path = |key| ["services", name, key];
    report.error_if(
        service.min_instances > service.max_instances,
        &path("min-instances"),
        format!(
            "service \"{name}\" wants at least {} and at most {} instances",
            service.min_instances, service.max_instances
        ),
        "make max-instances at least min-instances",
    );
    let rate = service.requests_per_second_per_instance;
    report.error_if(
        !rate.is_finite() || rate <= 0.0,
        &path("requests-per-second-per-instance"),
        format!("an instance of service \"{name}\" can't carry {rate} requests per second"),
        "give the measured rate of one instance within the latency target, above 0",
    );
    let expected = service.expected_requests_per_second;
    report.error_if(
        !expected.is_finite() || expected < 0.0,
        &path("expected-requests-per-second"),
        format!("service \"{name}\" can't expect {expected} requests per second"),
        "give the rate at the peak, 0 or more",
    );
    report.error_if(
        service.kind == Kind::Model && service.timeout <= text.latency.first_token,
        &path("timeout"),
        format!("service \"{name}\" times out before the latency target for the first token"),
        "make timeout long enough for a whole answer",
    );
    report.error_if(
        service.timeout.is_zero(),
        &path("timeout"),
        format!("service \"{name}\" has a timeout of 0"),
        "give a duration such as \"30s\"",
    );
}

fn check_routes(report: &mut Report<'_, '_>, name: &str, service: &Service) {
    for (index, route) in service.routes.iter().enumerate() {
        let index = index.to_string();
        report.error_if(
            !route.path.starts_with('/'),
            &["services", name, "routes", &index, "path"],
            format!(
                "path \"{}\" of service \"{name}\" has no leading slash",
                route.path
            ),
            "write the path after the service's name, such as \"/exposures\"",
        );
        let earlier = service.routes.iter().take(index.parse().unwrap_or(0));
        let shadowing = earlier.filter(|other| {
            let covers_method = other.method.is_empty() || other.method == route.method;
            covers_method && route.path.starts_with(other.path.as_str())
        });
        report.warn_if(
            shadowing.count() > 0,
            &["services", name, "routes", &index],
            format!(
                "route \"{}\" of service \"{name}\" is never reached",
                route.path
            ),
            "the first route that matches counts: put it before the shorter path",
        );
    }
}

fn check_model_names(report: &mut Report<'_, '_>, text: &Text) {
    let mut served_by: IndexMap<&str, &str> = IndexMap::new();
    for (service_name, service) in &text.services {
        for (index, model) in service.models.iter().enumerate() {
            let index = index.to_string();
            let names = std::iter::once(&model.name).chain(&model.adapters);
            for name in names {
                let earlier = served_by.insert(name, service_name);
                report.error_if(
                    earlier.is_some(),
                    &["services", service_name, "models", &index, "name"],
                    format!(
                        "model or adapter \"{name}\" is served twice, by services \"{}\" and \"{service_name}\"",
                        earlier.unwrap_or_default()
                    ),
                    "give each model and adapter a name of its own",
                );
                report.error_if(
                    name.is_empty(),
                    &["services", service_name, "models", &index, "name"],
                    format!("a model or adapter of service \"{service_name}\" has no name"),
                    "",
                );
            }
        }
    }
}
