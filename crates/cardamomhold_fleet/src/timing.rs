//! Time and size limits of the membership protocol.

use std::time;

/// Time between two calls of [`tick`](crate::swim::Swim::tick).
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time between two pings to the own zone.
pub const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time without an ack after which helpers are asked to ping the target.
pub const PING_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time between two pings to other zones.
pub const REMOTE_PING_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time within which a suspected instance must refute the suspicion.
pub const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Factor on the suspicion timeout while no messages arrive at all, because this instance itself
/// may be at fault.
pub const ISOLATION_FACTOR: u32 = 3;

/// Time without a tick or message handled by this instance after which the others may have
/// declared it dead.
pub const MAX_TICK_GAP: time::Duration = time::Duration::from_secs(2);

/// Longest time that a rejoin takes, or that a started instance waits for a list of other
/// instances; afterwards an instance without contact to any other continues.
pub const MAX_REJOIN_WAIT: time::Duration = time::Duration::from_secs(4);

/// Time after which dead and leaving instances are removed.
pub const RETENTION: time::Duration = time::Duration::from_secs(1_800);

/// Time between two comparisons of the full membership.
pub const SYNC_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Time between two pings to the seeds while no other instance is known, and between two attempts
/// to compare the full membership until one succeeds.
pub const JOIN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unanswered pings in a row at which a zone counts as unreachable.
pub const ZONE_MISS_LIMIT: u32 = 3;

/// Number of instances asked to ping on behalf of this one, or pinged to join or rejoin.
pub const HELPER_COUNT: usize = 3;

/// Number of instances that are pinged immediately with urgent rumours or a new configuration
/// version, preferably in the own zone; a random instance of another zone is pinged in addition.
pub const ANNOUNCE_COUNT: usize = 3;

/// Greatest length of the rumours in a message, in bytes.
pub const MAX_RUMOR_BYTES: usize = 150;

/// Number of instances that are pinged when this one leaves.
pub const LEAVE_PING_COUNT: usize = 24;

/// Greatest number of pending pings on behalf of other instances.
pub const MAX_RELAYS: usize = 64;

/// Time between two pings to dead instances.
pub const DEAD_PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
