//! Datagrams between instances.

use cardamomhold_core::name;
use cardamomhold_lead::pages;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;
use cardamomhold_lead::voters;
use cardamomhold_pool::exchange;
use cardamomhold_pool::interest;

use crate::contents;
use crate::currency;

/// A datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: name::InstanceName,
    /// Its content.
    pub message: Message,
}

/// Newest versions that an instance has received from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Seen {
    /// Version of the configuration.
    pub config: u64,
    /// Newest revision among the members' entries.
    pub members: u64,
}

impl Seen {
    /// The newer of each version.
    pub fn max(self, other: Self) -> Self {
        Self {
            config: self.config.max(other.config),
            members: self.members.max(other.members),
        }
    }

    /// Whether any of the versions is older than in `other`.
    pub fn is_behind(self, other: Self) -> bool {
        self.config < other.config || self.members < other.members
    }
}

/// What the sender of a request has of the leaderships and voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Held {
    /// Digest of its leaderships.
    pub digest: u64,
    /// Generation of the voters that it has adopted.
    pub generation: u64,
    /// How much of the receiver's copy of the leaderships it has received.
    pub mark: Option<pages::Mark>,
}

/// What an instance knows of leaderships and voters beyond what another one has. They are sent
/// together, since an instance must not adopt voters without the leaderships that were known when
/// they took effect.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// Nothing: the digests are equal. The sender's copy has changed up to this mark.
    Same(pages::Mark),
    /// Something.
    Changed {
        /// Leaderships, some of them if there are many.
        page: pages::Page,
        /// The voters; none if the receiver has them.
        voters: Option<voters::Voters>,
    },
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Message {
    /// Asks for the leaderships, as part of a majority round.
    LeadershipRequest {
        /// Number of the request.
        number: u64,
        /// The sender's leaderships and voters.
        held: Held,
    },
    /// Answers [`Message::LeadershipRequest`]; sent only by instances that have received the
    /// store's leaderships since they started.
    LeadershipReply {
        /// Number of the request.
        number: u64,
        /// Generation of the voters that the sender has adopted.
        generation: u64,
        /// The sender's leaderships and voters.
        state: State,
    },
    /// Asks the zone's reader for the leaderships and for the age of their confirmation.
    RenewalRequest {
        /// Number of the request.
        number: u64,
        /// The sender's leaderships and voters.
        held: Held,
        /// Newest versions that the sender has received from the store.
        seen: Seen,
        /// The sender's samples of the primaries' log positions.
        report: exchange::Report,
        /// The groups whose samples the sender wants.
        wanted: interest::Wanted,
    },
    /// Answers [`Message::RenewalRequest`].
    RenewalReply {
        /// Number of the request.
        number: u64,
        /// Age of the leaderships' confirmation when this was sent, in microseconds.
        age_us: u64,
        /// Time for which the sender kept the request before this answer, in microseconds.
        held_us: u64,
        /// The sender's leaderships and voters.
        state: State,
        /// The promotion lock.
        lock: Option<promotion_lock::PromotionLock>,
        /// Newest versions that the sender knows to be in the store; none if it may have missed
        /// newer ones.
        seen: Seen,
        /// Samples of the primaries' log positions that the sender has collected.
        samples: exchange::Answer,
        /// How recent the sender's copies of the store's objects are.
        vouch: Option<currency::Vouch>,
    },
    /// Announces a leadership that was written to the store.
    Announce(record::Leadership),
    /// Acknowledges an announced leadership, which the sender has applied.
    Ack {
        /// The group.
        group: name::GroupName,
        /// Change number of the leadership.
        change: u64,
    },
    /// Asks the promotion lock's holder for a failover of a group.
    FailoverRequest {
        /// The group.
        group: name::GroupName,
        /// Change number of the leadership that the message refers to.
        change: u64,
        /// Whether the sender failed to reach the primary.
        has_failed: bool,
    },
    /// Acknowledges [`Message::FailoverRequest`].
    FailoverAck,
    /// Asks whether the receiver can reach the primary.
    ProbeRequest {
        /// The group.
        group: name::GroupName,
        /// Change number of the leadership that the message refers to.
        change: u64,
    },
    /// Answers [`Message::ProbeRequest`] with the result.
    ProbeReply {
        /// The group.
        group: name::GroupName,
        /// Change number of the leadership that the message refers to.
        change: u64,
        /// Result of the probe.
        observation: suspicion::Observation,
    },
    /// Tells that the sender has acquired the promotion lock.
    LockAcquired {
        /// The lock.
        lock: promotion_lock::PromotionLock,
        /// The holder before, which is asked to release it.
        former: Option<name::InstanceName>,
    },
    /// Tells the new holder of the promotion lock that the sender, the holder before, promotes
    /// nothing any more.
    LockReleased(promotion_lock::Release),
    /// Asks whether the receiver can be a voter, for the instance that keeps the voters.
    VoterPing,
    /// Answers [`Message::VoterPing`].
    VoterPong {
        /// Generation of the voters that the sender has adopted.
        generation: u64,
        /// Whether the sender is about to stop.
        is_leaving: bool,
    },
    /// Asks how recent the receiver's copies of the store's objects are.
    VouchRequest {
        /// When this is sent, by the sender's clock.
        sent: u64,
    },
    /// Answers [`Message::VouchRequest`].
    VouchReply {
        /// When the request was sent, as it says.
        sent: u64,
        /// None if the copies may lack changes.
        vouch: Option<currency::Vouch>,
    },
    /// A message about the copies of the store's objects.
    Contents(contents::Message),
    /// A message about the limits of workspaces.
    Limits(cardamomhold_limit::message::Message),
    /// Tells that the sender is about to stop: its successors own its members from now on.
    Leaving,
}

impl Message {
    /// Name of the kind in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::LeadershipRequest { .. } => "leadership_request",
            Self::LeadershipReply {
                state: State::Same(_),
                ..
            } => "leadership_reply",
            Self::LeadershipReply { .. } => "leadership_reply_state",
            Self::RenewalRequest { .. } => "renewal_request",
            Self::RenewalReply {
                state: State::Same(_),
                ..
            } => "renewal_reply",
            Self::RenewalReply { .. } => "renewal_reply_state",
            Self::Announce(_) => "announce",
            Self::Ack { .. } => "ack",
            Self::FailoverRequest { .. } => "failover_request",
            Self::FailoverAck => "failover_ack",
            Self::ProbeRequest { .. } => "probe_request",
            Self::ProbeReply { .. } => "probe_reply",
            Self::LockAcquired { .. } => "lock_acquired",
            Self::LockReleased(_) => "lock_released",
            Self::VoterPing => "voter_ping",
            Self::VoterPong { .. } => "voter_pong",
            Self::VouchRequest { .. } => "vouch_request",
            Self::VouchReply { .. } => "vouch_reply",
            Self::Contents(message) => message.kind(),
            Self::Limits(message) => message.kind(),
            Self::Leaving => "leaving",
        }
    }
}
