//! The machine on which a process runs.

use serde::Deserialize;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;
/// Share of the memory for bodies, as a divisor. An entry and a control process share some machines, and
/// each holds other state and connections beside its bodies. With a sixth, what the allocator keeps of dropped bodies
/// let an entry grow by up to 47 MiB.
const BUDGET_SHARE: f64 = 8.0;
/// Smallest budget, in bytes: a body of the largest legal size beside small ones.
const MIN_BUDGET_BYTES: usize = 10_000_000;
/// Share of the memory for connections, as a divisor.
const CONNECTION_SHARE: f64 = 4.0;
/// Memory that a connection takes with a head that is being read, in bytes.
const CONNECTION_BYTES: f64 = 24_576.0;
/// Descriptors for files, listeners and connections within the fleet.
const RESERVED_DESCRIPTORS: f64 = 200.0;
/// Share of the descriptors for connections from callers; another third of it is for those from other entries,
/// and the rest for connections to upstreams.
const CONNECTION_DESCRIPTORS: f64 = 0.375;
/// Connections for which there is always room, however small the machine.
const MIN_CONNECTIONS: usize = 16;

/// Memory and descriptors of the machine, from which the bounds of the process follow. Fractions are
/// allowed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Machine {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// File descriptors that the process may have open.
    pub descriptors: f64,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            memory_mb: 1_000.0,
            descriptors: 30_000.0,
        }
    }
}

impl Machine {
    /// Returns the memory for bodies of requests, in bytes.
    pub fn budget_bytes(&self) -> usize {
        ((self.memory_bytes() / BUDGET_SHARE) as usize).max(MIN_BUDGET_BYTES)
    }

    /// Returns the largest number of open connections from callers, operators or upstreams, as far as memory
    /// and descriptors have room for them.
    pub fn max_connections(&self) -> usize {
        let descriptors = given_or(self.descriptors, Machine::default().descriptors);
        let by_descriptors = (descriptors - RESERVED_DESCRIPTORS) * CONNECTION_DESCRIPTORS;
        let by_memory = self.memory_bytes() / CONNECTION_SHARE / CONNECTION_BYTES;
        (by_descriptors.min(by_memory) as usize).max(MIN_CONNECTIONS)
    }

    /// Returns the largest number of open connections from other entries.
    pub fn max_forwarded_connections(&self) -> usize {
        (self.max_connections() / 3).max(MIN_CONNECTIONS)
    }

    fn memory_bytes(&self) -> f64 {
        given_or(self.memory_mb, Machine::default().memory_mb) * MEGABYTE
    }
}

/// Returns `value`, or the default if it is not above 0, as where a machine has no limit.
fn given_or(value: f64, default: f64) -> f64 {
    match value > 0.0 {
        true => value,
        false => default,
    }
}
