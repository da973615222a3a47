//! The clock of the entry: boot time, which counts the time of a suspension.

use cardamomhold_core::time::Timestamp;

/// The present time. All timestamps of one process come from here.
pub fn now() -> Timestamp {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Timestamp(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

/// A number that no other life of this process has: its start by the time of day, and by a
/// clock that does not jump, since the time of day may.
pub fn life() -> u64 {
    let day = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    (day.tv_sec as u64 * 1_000_000_000 + day.tv_nsec as u64) ^ now().0.rotate_left(32)
}

/// The runtime's instant of a timestamp that is near.
pub fn instant(at: Timestamp) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.since(now())
}
