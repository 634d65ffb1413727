//! Checks of what services depend on.

use crate::Text;
use crate::check::finder::Finder;
use crate::check::suggestion;

pub(super) fn check(finder: &mut Finder<'_, '_>, text: &Text) {
    for (name, service) in &text.services {
        for (index, dependency) in service.depends_on.iter().enumerate() {
            let names = text.services.keys().map(compact_str::CompactString::as_str);
            finder.error_if(
                !text.services.contains_key(dependency),
                &["services", name, "depends-on", &index.to_string()],
                format!(
                    "service \"{name}\" depends on service \"{dependency}\", which does not exist"
                ),
                &suggestion::help(dependency, names),
            );
        }
    }
    check_cycles(finder, text);
}

fn check_cycles(finder: &mut Finder<'_, '_>, text: &Text) {
    let mut reported: Vec<&str> = Vec::new();
    for name in text.services.keys() {
        let cycle = cycle_from(text, name, &mut vec![name.as_str()]);
        let known = cycle.iter().any(|member| reported.contains(member));
        if !cycle.is_empty() && !known {
            finder.error_if(
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

/// Returns a cycle that leads back to the first service of `path`, or nothing.
fn cycle_from<'t>(text: &'t Text, name: &str, path: &mut Vec<&'t str>) -> Vec<&'t str> {
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
                let cycle = cycle_from(text, dependency, path);
                path.pop();
                if !cycle.is_empty() {
                    return cycle;
                }
            }
        }
    }
    Vec::new()
}
