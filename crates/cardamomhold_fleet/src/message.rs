//! What instances tell each other about the fleet.

use std::time;

use cardamomhold_core::name;

use crate::fleet;

/// Bytes of an encoded rumour besides its texts.
const RUMOR_OVERHEAD: usize = 18;

/// What is said of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumor {
    /// The instance, with its state.
    pub instance: fleet::Instance,
    /// Number of the instance's life or refutation; only the instance itself raises it.
    pub incarnation: u64,
}

impl Rumor {
    /// Whether this says something newer than `other` of the same instance.
    ///
    /// Within an incarnation the worse state wins, so that only the instance itself
    /// can contradict a suspicion.
    pub fn overrides(&self, other: &Rumor) -> bool {
        (self.incarnation, self.instance.state) > (other.incarnation, other.instance.state)
    }

    /// Estimate of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let instance = &self.instance;
        let texts = [
            instance.name.as_str(),
            instance.zone.as_str(),
            instance.address.as_str(),
        ];
        RUMOR_OVERHEAD + texts.iter().map(|t| t.len()).sum::<usize>()
    }
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Asks for an ack.
    Ping,
    /// Answers a ping, or the ping that was asked for on the receiver's behalf.
    Ack,
    /// Asks for a ping of another instance.
    PingRequest(name::InstanceName),
}

/// One membership message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: name::InstanceName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Number that an ack repeats.
    pub sequence: u64,
    /// What the message is for.
    pub kind: Kind,
    /// News of instances.
    pub rumors: Vec<Rumor>,
    /// Version of the configuration that the sender holds in full.
    pub through: u64,
    /// Age of the newest answer of the platform that the sender knows of.
    pub heard: Option<time::Duration>,
    /// Whether the receiver is to say who it is.
    pub joining: bool,
}

/// What the membership asks of its surroundings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an address.
    Send(String, Message),
    /// Compare the whole membership with the instance at an address.
    Sync(String),
    /// Fetch the changes of configuration up to a version from an address.
    Pull(String, u64),
}
