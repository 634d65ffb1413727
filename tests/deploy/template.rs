//! Fills in settings templates by the rules of the platform's pages.

use serde_json::Value;

/// Returns `template` filled in with the fields of `root`.
pub(crate) fn render(template: &str, root: &Value) -> String {
    let mut rendered = String::new();
    section(
        template,
        &Scope {
            root,
            entry: root,
            is_last: true,
        },
        &mut rendered,
    );
    rendered
}

/// Where names are looked up: in the current entry first, then among all fields.
struct Scope<'a> {
    root: &'a Value,
    entry: &'a Value,
    is_last: bool,
}

impl<'a> Scope<'a> {
    /// Returns the value at a dotted path; `None` if it is null. Panics if no field has that name.
    fn value(&self, path: &str) -> Option<&'a Value> {
        if path == "." {
            return Some(self.entry);
        }
        let find = |from: &'a Value| {
            path.split('.').try_fold(from, |value, key| match value {
                Value::Array(entries) => entries.get(key.parse::<usize>().ok()?),
                value => value.get(key),
            })
        };
        let found = find(self.entry).or_else(|| find(self.root));
        let value = found.unwrap_or_else(|| panic!("the platform has no field {path}"));
        (!value.is_null()).then_some(value)
    }
}

/// Renders a part of a template into `rendered`.
fn section(mut rest: &str, scope: &Scope<'_>, rendered: &mut String) {
    while let Some((text, after)) = rest.split_once("{{") {
        rendered.push_str(text);
        let (tag, after) = after.split_once("}}").expect("placeholders are closed");
        let body = |name: &str| {
            let end = format!("{{{{/{name}}}}}");
            after.split_once(&end).expect("sections are closed")
        };
        rest = match tag.split_at(1) {
            ("#", name) => {
                let (inside, after) = body(name);
                repeat(inside, scope, scope.value(name), rendered);
                after
            }
            ("^", name) => {
                let (inside, after) = body(name);
                if matches!(scope.value(name), None | Some(Value::Bool(false))) {
                    section(inside, scope, rendered);
                }
                after
            }
            (",", "") => {
                rendered.push_str(if scope.is_last { "" } else { "," });
                after
            }
            _ => {
                rendered.push_str(&scope.value(tag).map_or_else(String::new, text_of));
                after
            }
        };
    }
    rendered.push_str(rest);
}

/// Renders a section for each entry of a list, or once for another value that is present and true.
fn repeat(inside: &str, scope: &Scope<'_>, value: Option<&Value>, rendered: &mut String) {
    let entries = match value {
        None | Some(Value::Bool(false)) => &[],
        Some(Value::Array(entries)) => entries.as_slice(),
        Some(value) => std::slice::from_ref(value),
    };
    for (index, entry) in entries.iter().enumerate() {
        let scope = Scope {
            root: scope.root,
            entry,
            is_last: index + 1 == entries.len(),
        };
        section(inside, &scope, rendered);
    }
}

fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
