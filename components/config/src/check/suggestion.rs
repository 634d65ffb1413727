//! Suggestions of similar names in place of unknown ones.

/// Smallest Jaro-Winkler similarity, from 0 to 1, at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the one of `names` that is most similar to `name`, if any is similar enough.
pub(crate) fn nearest<'n>(name: &str, names: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    names
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Returns a help text with the most similar of `names`, or with all of them if none is similar.
pub(crate) fn help<'n>(name: &str, names: impl IntoIterator<Item = &'n str> + Clone) -> String {
    match nearest(name, names.clone()) {
        Some(candidate) => format!("did you mean \"{candidate}\"?"),
        None => format!(
            "known names: {}",
            names.into_iter().collect::<Vec<_>>().join(", ")
        ),
    }
}

/// Turns a message of the TOML parser into the message and the help of a diagnostic.
pub(crate) fn message_and_help(message: &str) -> (String, Option<String>) {
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
