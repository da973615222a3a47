//! Counters of the messages between instances, of the calls of the store and of relayed frames,
//! by kind and direction.
//!
//! The bytes are those of the payload, without the headers of UDP, TCP, IP and HTTP.

use prometheus::core::Collector;

/// What carries a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Channel {
    /// Datagrams between instances.
    Peer,
    /// Calls of the store.
    Store,
    /// Frames between an instance and an owner of connections.
    Relay,
}

/// Direction of a message, seen from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// It was sent.
    Sent,
    /// It was received.
    Received,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Messages and bytes of one channel.
#[derive(Debug, Clone)]
struct Counters {
    messages: prometheus::IntCounterVec,
    bytes: prometheus::IntCounterVec,
}

impl Counters {
    fn new(channel: &str, help: &str) -> Result<Self, prometheus::Error> {
        let counter = |unit: &str| {
            let name = format!("cardamomhold_{channel}_{unit}_total");
            let options = prometheus::Opts::new(name, format!("{help}, {unit}"));
            prometheus::IntCounterVec::new(options, &["kind", "direction"])
        };
        Ok(Self {
            messages: counter("messages")?,
            bytes: counter("bytes")?,
        })
    }
}

/// The counters of all channels; clones share them.
#[derive(Debug, Clone)]
pub struct Traffic {
    peer: Counters,
    store: Counters,
    relay: Counters,
}

impl Traffic {
    /// Creates the counters.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is not accepted.
    pub fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            peer: Counters::new("peer", "Datagrams between instances")?,
            store: Counters::new("store", "Requests to the store and its responses")?,
            relay: Counters::new("relay", "Frames between instances and owners")?,
        })
    }

    /// Counts a message of `bytes`.
    pub fn record(&self, channel: Channel, kind: &str, direction: Direction, bytes: usize) {
        let counters = match channel {
            Channel::Peer => &self.peer,
            Channel::Store => &self.store,
            Channel::Relay => &self.relay,
        };
        let labels = [kind, direction.as_str()];
        counters.messages.with_label_values(&labels).inc();
        let bytes = bytes as u64;
        counters.bytes.with_label_values(&labels).inc_by(bytes);
    }

    /// The counters to register.
    pub(crate) fn collectors(&self) -> Vec<Box<dyn Collector>> {
        let mut collectors: Vec<Box<dyn Collector>> = Vec::new();
        for counters in [&self.peer, &self.store, &self.relay] {
            collectors.push(Box::new(counters.messages.clone()));
            collectors.push(Box::new(counters.bytes.clone()));
        }
        collectors
    }
}
