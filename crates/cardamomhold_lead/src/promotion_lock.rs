//! The promotion lock: a record in the store, held by one instance at a time, whose holder may
//! promote members. Its fencing token increases with each new holder.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// Time since the holder was last seen alive after which another instance may acquire the lock.
pub const HOLDER_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Additional delay before an instance acquires the lock, for each instance ahead of it among
/// the holder's possible successors.
pub const RANK_DELAY: time::Duration = time::Duration::from_millis(300);

/// Maximum age of the last read of the store when a promotion is sent.
pub const MAX_STORE_AGE: time::Duration = time::Duration::from_millis(500);

/// The lock as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromotionLock {
    /// Instance that holds the lock.
    pub holder: name::InstanceName,
    /// Fencing token; increases when the holder changes.
    pub token: u64,
}

impl PromotionLock {
    /// Returns the lock after `holder` has acquired it.
    pub fn acquired(before: Option<&PromotionLock>, holder: &name::InstanceName) -> Self {
        Self {
            holder: holder.clone(),
            token: before.map_or(1, |b| b.token + 1),
        }
    }
}

/// Whether an instance may acquire the lock now because its holder does not act.
///
/// `needed_since` is when the instance first found that a promotion is needed, `holder_seen`
/// when the holder was last seen alive, and `rank` the number of instances ahead of this one
/// among the holder's possible successors.
pub fn may_acquire(
    now: Timestamp,
    needed_since: Timestamp,
    holder_seen: Option<Timestamp>,
    rank: u32,
) -> bool {
    let inactive_since = holder_seen.map_or(needed_since, |s| s.max(needed_since));
    now >= inactive_since.after(HOLDER_TIMEOUT + RANK_DELAY * rank)
}
