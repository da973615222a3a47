//! What instances tell each other in datagrams.

use cardamomhold_core::name;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;

/// A datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: name::InstanceName,
    /// What it says.
    pub message: Message,
}

/// What an instance says.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Which leaderships do you know?
    Ask {
        /// Number of the question.
        number: u64,
    },
    /// These are the newest that I know; only said by those that have seen the store's
    /// since they started.
    Answer {
        /// Number of the question.
        number: u64,
        /// The leaderships.
        records: Vec<record::Leadership>,
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
        sight: suspicion::Sight,
    },
}
