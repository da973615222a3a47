//! The duty to promote: one holder at a time, whose number rises with each new holder.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// Time after the last sign of life after which the holder counts as gone.
pub const SILENCE: time::Duration = time::Duration::from_millis(900);

/// Time by which each further instance in line waits longer before it takes the duty.
pub const STAGGER: time::Duration = time::Duration::from_millis(300);

/// Time after a look at the store within which a promotion may still be sent.
pub const FRESH: time::Duration = time::Duration::from_millis(500);

/// Who holds the duty.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Duty {
    /// The holder.
    pub holder: name::InstanceName,
    /// Fencing token; rises when the holder changes.
    pub token: u64,
}

impl Duty {
    /// The duty after `holder` has taken it over.
    pub fn taken(before: Option<&Duty>, holder: &name::InstanceName) -> Self {
        Self {
            holder: holder.clone(),
            token: before.map_or(1, |b| b.token + 1),
        }
    }
}

/// Whether an instance takes the duty now, when there is work for the holder.
///
/// `since` is when it first knew of the work, `heard` when the holder last gave a sign of
/// life, and `turn` the instance's place in the line of successors.
pub fn may_take(now: Timestamp, since: Timestamp, heard: Option<Timestamp>, turn: u32) -> bool {
    let silent_from = heard.map_or(since, |h| h.max(since));
    now >= silent_from.after(SILENCE + STAGGER * turn)
}
