//! The clock of an instance: boot time, which includes time during which the system is
//! suspended.

use cardamomhold_core::time::Timestamp;

/// The current time. All timestamps of a process come from this clock.
pub fn now() -> Timestamp {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Timestamp(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}

/// A number that identifies this run of the process: combines the time of day with a
/// monotonic clock, as the time of day may jump.
pub fn run_id() -> u64 {
    let wall_time = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    (wall_time.tv_sec as u64 * 1_000_000_000 + wall_time.tv_nsec as u64) ^ now().0.rotate_left(32)
}

/// Converts a timestamp to the runtime's instant; one in the past becomes the present.
pub fn instant(at: Timestamp) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.since(now())
}
