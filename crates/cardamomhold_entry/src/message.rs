//! What instances tell each other in datagrams.

use cardamomhold_core::name;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::exchange;

/// A datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: name::InstanceName,
    /// What it says.
    pub message: Message,
}

/// How far an instance has followed the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Seen {
    /// Version of the configuration.
    pub config: u64,
    /// Newest revision among the members' entries.
    pub members: u64,
}

impl Seen {
    /// Whether something here is older than there.
    pub fn is_behind(self, other: Self) -> bool {
        self.config < other.config || self.members < other.members
    }
}

/// What an instance says.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Which leaderships do you know?
    Ask {
        /// Number of the question.
        number: u64,
        /// Digest of the leaderships that the sender knows.
        known: u64,
    },
    /// These are the newest that I know; only said by those that have seen the store's
    /// since they started.
    Answer {
        /// Number of the question.
        number: u64,
        /// The leaderships; none when the one that asked knows the same.
        records: Vec<record::Leadership>,
    },
    /// How old is what you know of the leaderships?
    Renew {
        /// Number of the question.
        number: u64,
        /// Digest of the leaderships that the sender knows.
        known: u64,
        /// What the sender has seen of the store.
        seen: Seen,
        /// What the sender has seen of the primaries' positions.
        report: exchange::Report,
    },
    /// These were the newest that long ago.
    Renewed {
        /// Number of the question.
        number: u64,
        /// Age of the confirmation when this was sent, in microseconds.
        age_us: u64,
        /// The leaderships; none when the one that asked knows the same.
        records: Vec<record::Leadership>,
        /// Who holds the duty to promote.
        duty: Option<promotion_lock::PromotionLock>,
        /// What the sender has seen of the store.
        seen: Seen,
        /// What the sender knows of the primaries' positions.
        samples: exchange::Answer,
    },
    /// This leadership is in the store.
    Announce(record::Leadership),
    /// I know of this change and act by it.
    Ack {
        /// The group.
        group: name::GroupName,
        /// Number of the change.
        change: u64,
    },
    /// A group needs another primary; said to the holder of the duty.
    Concern {
        /// The group.
        group: name::GroupName,
        /// Number of the leadership that is meant.
        change: u64,
        /// Whether the sender can't reach the primary.
        has_failed: bool,
    },
    /// The holder has heard of it.
    Noted,
    /// Can you reach the primary?
    Probe {
        /// The group.
        group: name::GroupName,
        /// Number of the leadership that is meant.
        change: u64,
    },
    /// This is what I saw of the primary.
    Seen {
        /// The group.
        group: name::GroupName,
        /// Number of the leadership that is meant.
        change: u64,
        /// What was seen.
        sight: suspicion::Observation,
    },
}
