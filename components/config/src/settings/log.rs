//! Settings of the log.

use compact_str::CompactString;
use serde::Deserialize;

/// Format and filter of a process's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Filter in the syntax of `tracing`, such as `info` or `routing=debug,info`.
    pub filter: CompactString,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            format: Format::Text,
            filter: CompactString::const_new("info,xitca_server=warn"),
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
