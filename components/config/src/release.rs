//! What the releases of this program can read, and the name of this build.
//!
//! Releases side by side exchange only what both can read, see `docs/design/releases.md`.

use std::sync::OnceLock;

/// What a process can read: all forms of stored and sent data of its level and the lower ones. A
/// release that adds a form has a higher level than the one before.
pub type Level = u32;

/// Level of processes that declare none: those of the releases before [`DECLARED`].
pub const UNDECLARED: Level = 0;
/// Adds the log entry `RecordVerdicts` and the request `DrawPermits`.
pub const PERMITS: Level = 1;
/// Adds the log entry `Edit` and the requests `Edit` and `FetchText`.
pub const EDITS: Level = 2;
/// Adds the declaration of the level, and answers to requests that are not known.
pub const DECLARED: Level = 3;
/// Adds the requests `Hold` and `ListSoftware`.
pub const HOLDS: Level = 4;
/// Adds the log entries `BeginRollout` and `AdvanceRollout`, the request `BeginRollout` and the query
/// `Rollouts`.
pub const ROLLOUTS: Level = 5;
/// Level of this build.
pub const OWN: Level = ROLLOUTS;

/// Longest name of a build that is taken from another process, in bytes.
pub const MAX_BUILD_BYTES: usize = 40;

static BUILD: OnceLock<&str> = OnceLock::new();

/// Sets the name of this build, which the program does once at its start.
pub fn set_build(build: &'static str) {
    let _ = BUILD.set(build);
}

/// Returns the name of this build; `unnamed` outside the program.
pub fn build() -> &'static str {
    BUILD.get().copied().unwrap_or("unnamed")
}
