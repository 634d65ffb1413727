//! Checks of dependencies between services.

use crate::Text;
use crate::check::report::Report;
use crate::check::suggestion;

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    for (name, service) in &text.services {
        for (index, dependency) in service.depends_on.iter().enumerate() {
            let names = text.services.keys().map(compact_str::CompactString::as_str);
            report.error_if(
                !text.services.contains_key(dependency),
                &["services", name, "depends-on", &index.to_string()],
                format!(
                    "service \"{name}\" depends on service \"{dependency}\", which does not exist"
                ),
                &suggestion::help(dependency, names),
            );
        }
    }
    check_cycles(report, text);
}

fn check_cycles(report: &mut Report<'_, '_>, text: &Text) {
    let mut reported: Vec<&str> = Vec::new();
    for name in text.services.keys() {
        let cycle = find_cycle(text, name, &mut vec![name.as_str()]);
        let is_reported = cycle.iter().any(|member| reported.contains(member));
        if !cycle.is_empty() && !is_reported {
            report.error_if(
                true,
                &["services", name, "depends-on"],
                format!(
                    "services depend on each other in a circle: {}",
                    cycle.join(" -> ")
                ),
                "take one of these dependencies out",
            );
            reported.extend(cycle);
        }
    }
}

/// Returns a dependency cycle through the first service of `path`; empty if there is none. `path`
/// leads from that service to `name`.
fn find_cycle<'t>(text: &'t Text, name: &str, path: &mut Vec<&'t str>) -> Vec<&'t str> {
    let dependencies = text
        .services
        .get(name)
        .map_or(&[][..], |service| &service.depends_on);
    for dependency in dependencies {
        match path.iter().position(|member| *member == dependency) {
            Some(0) => {
                let mut cycle = path.clone();
                cycle.push(dependency);
                return cycle;
            }
            Some(_) => {}
            None => {
                path.push(dependency);
                let cycle = find_cycle(text, dependency, path);
                path.pop();
                if !cycle.is_empty() {
                    return cycle;
                }
            }
        }
    }
    Vec::new()
}
