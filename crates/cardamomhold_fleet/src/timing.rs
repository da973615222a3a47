//! The times of the membership protocol.

use std::time;

/// Time between two calls of the state machine.
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Time between two pings of an instance's own zone.
pub const PERIOD: time::Duration = time::Duration::from_millis(500);

/// Time after which others are asked to ping too.
pub const PING_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time between two pings of other zones.
pub const REMOTE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time that a suspected instance has to contradict.
pub const SUSPICION: time::Duration = time::Duration::from_secs(2);

/// Factor on the suspicion time while nobody at all is heard; the fault may be here.
pub const ALONE_FACTOR: u32 = 3;

/// Pause of the own timer after which the instance may have been declared dead.
pub const STALE_AFTER: time::Duration = time::Duration::from_secs(2);

/// Longest wait for a fresh answer; an instance that is cut off from all others goes on.
pub const REJOIN_LIMIT: time::Duration = time::Duration::from_secs(4);

/// Time that dead and leaving instances are remembered.
pub const REMEMBER: time::Duration = time::Duration::from_secs(1_800);

/// Time between two comparisons of the whole membership.
pub const SYNC_PERIOD: time::Duration = time::Duration::from_secs(60);

/// Time between two pings of the seeds while nobody is known.
pub const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Lost pings in a row after which a zone counts as cut off.
pub const ZONE_MISSES: u32 = 3;

/// Instances asked to ping on behalf of another.
pub const HELPERS: usize = 3;

/// Instances of the own zone that hear of urgent news at once.
pub const ANNOUNCED: usize = 3;

/// Bytes of rumours in a message.
pub const RUMOR_BYTES: usize = 150;

/// Instances that hear directly that this one leaves.
pub const LEAVE_TOLD: usize = 24;

/// Pings under way on behalf of others.
pub const RELAYS: usize = 64;

/// Time between two pings of instances that are held dead.
pub const DEAD_PERIOD: time::Duration = time::Duration::from_secs(10);
