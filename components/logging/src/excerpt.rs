//! Excerpts of logs: the lines about one request or order.

mod line;

pub use line::Line;

use serde::Serialize;

/// Lines about one request or order, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Excerpt {
    /// The lines, in the order of their times.
    pub lines: Vec<Line>,
}

impl Excerpt {
    /// Collects the lines that have `id` as the value of a field. `logs` are pairs of a log's name
    /// and its content, in text or JSON. Lines that are not log lines are skipped.
    pub fn collect<'l>(id: &str, logs: impl IntoIterator<Item = (&'l str, &'l str)>) -> Self {
        let parse_all = |(name, log): (&'l str, &'l str)| {
            let name = name.to_owned();
            log.lines().filter_map(move |line| Line::parse(&name, line))
        };
        let mut lines: Vec<Line> = logs
            .into_iter()
            .flat_map(parse_all)
            .filter(|line| line.mentions(id))
            .collect();
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        Excerpt { lines }
    }
}
