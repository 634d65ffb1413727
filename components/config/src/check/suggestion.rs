//! Suggests the name that was probably meant.

const MIN_SIMILARITY: f64 = 0.7;

/// Returns the name among `names` that is most like `name`, if any is like it at all.
pub(crate) fn nearest<'n>(name: &str, names: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    names
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Returns a help text that names the nearest of `names`, or lists them all.
pub(crate) fn help<'n>(name: &str, names: impl IntoIterator<Item = &'n str> + Clone) -> String {
    match nearest(name, names.clone()) {
        Some(candidate) => format!("did you mean \"{candidate}\"?"),
        None => format!(
            "known names: {}",
            names.into_iter().collect::<Vec<_>>().join(", ")
        ),
    }
}

/// Splits a parser's message into what is wrong and what to do.
pub(crate) fn explain(message: &str) -> (String, Option<String>) {
    let unknown = message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split_once('`'));
    match unknown {
        Some((name, expected)) => {
            let names: Vec<&str> = expected.split('`').skip(1).step_by(2).collect();
            (format!("unknown key \"{name}\""), Some(help(name, names)))
        }
        None => (message.replace('`', "\""), None),
    }
}
