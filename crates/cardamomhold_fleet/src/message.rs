//! Membership messages between instances.

use std::time;

use cardamomhold_core::name;

use crate::fleet;

/// Length of an encoded rumour without its strings, in bytes.
const RUMOR_OVERHEAD: usize = 18;

/// State of one instance, as passed on between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumor {
    /// The instance, with its state.
    pub instance: fleet::Instance,
    /// Counter that only the instance itself raises: when it starts, refutes a rumour, rejoins or
    /// leaves.
    pub incarnation: u64,
}

impl Rumor {
    /// Whether this is newer than `other` about the same instance.
    ///
    /// Within an incarnation the worse state wins, so that only the instance itself can
    /// refute a suspicion.
    pub fn overrides(&self, other: &Rumor) -> bool {
        (self.incarnation, self.instance.state) > (other.incarnation, other.instance.state)
    }

    /// Estimate of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let instance = &self.instance;
        let strings = [
            instance.name.as_str(),
            instance.zone.as_str(),
            instance.address.as_str(),
        ];
        RUMOR_OVERHEAD + strings.iter().map(|t| t.len()).sum::<usize>()
    }
}

/// Purpose of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Requests an ack.
    Ping,
    /// Answers a ping, or a ping request once its target has answered.
    Ack,
    /// Requests a ping of another instance.
    PingRequest(name::InstanceName),
}

/// One membership message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: name::InstanceName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Sequence number, repeated in the ack.
    pub sequence: u64,
    /// Purpose of the message.
    pub kind: Kind,
    /// Rumours about instances, the sender possibly among them.
    pub rumors: Vec<Rumor>,
    /// Version up to which the sender has every change of the configuration.
    pub through: u64,
    /// Age of the platform's newest answer to any instance, as known to the sender.
    pub answer_age: Option<time::Duration>,
    /// Whether the receiver is to include its own rumour in its answer.
    pub joining: bool,
}

/// Action requested by the membership protocol; its user carries it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an address.
    Send(String, Message),
    /// Compare the full membership with the instance at an address.
    Sync(String),
    /// Fetch the configuration changes up to a version from an address.
    Pull(String, u64),
}
