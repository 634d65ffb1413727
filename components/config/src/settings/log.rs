//! Settings of the log.

use compact_str::CompactString;
use serde::Deserialize;

/// Where and how much a process logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Log {
    /// Shape of a line.
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

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON document a line.
    Json,
}
