//! Limits of a process, derived from the memory and the descriptors that it may use.

use std::fmt;

/// Memory of the smallest machine of the deployments, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 112;

/// Descriptors of the smallest machine of the deployments.
pub const DEFAULT_MAX_FDS: u64 = 3_010;

/// Memory of the process before it holds anything for clients, in bytes. An idle process has
/// 6 to 10 MB; the rest is for the state of routes, members and instances.
const OWN_BYTES: u64 = 16_000_000;

/// Divisor of the remaining memory. One third is charged to connections, one third is the
/// connections' fixed cost, and one third covers the allocator, which doesn't return all that is
/// released.
const PARTS: u64 = 3;

/// Fixed cost of a connection, in bytes: its task, its first buffers and its free allowance.
const CONNECTION_BYTES: u64 = 32 << 10;

/// Smallest budget, in bytes: one line of 1 MiB with its copies on the way to a member.
const MIN_BYTES: u64 = 4 << 20;

/// Most half-open starts at once.
const MAX_STARTS: u64 = 256;

/// Limits of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that may be charged.
    pub bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of callers without a complete first line.
    pub starts: usize,
    /// Connections from other instances.
    pub peers: usize,
}

impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "budget={} callers_max={} starts_max={} peers_max={}",
            self.bytes, self.callers, self.starts, self.peers
        )
    }
}

impl Limits {
    /// Derives the limits. Of the descriptors, three eighths are for callers and a quarter for
    /// other instances; the rest is kept for the store, for members and for connections to other
    /// instances.
    pub fn of_machine(memory_mb: u64, max_fds: u64) -> Self {
        let memory = memory_mb.saturating_mul(1_000_000);
        let part = memory.saturating_sub(OWN_BYTES) / PARTS;
        let callers = (max_fds * 3 / 8).min(part / CONNECTION_BYTES).max(1);
        Self {
            bytes: part.max(MIN_BYTES) as usize,
            callers: callers as usize,
            starts: (callers / 4).clamp(1, MAX_STARTS) as usize,
            peers: (max_fds / 4).max(1) as usize,
        }
    }

    /// No limits, for processes and tests that have none.
    pub fn unlimited() -> Self {
        Self {
            bytes: usize::MAX,
            callers: usize::MAX,
            starts: usize::MAX,
            peers: usize::MAX,
        }
    }
}
