//! The sizes of the two users.

use std::time;

use cardamomhold_core::rank;

/// One user's installation.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The user's name.
    pub name: &'static str,
    /// One way between availability zones.
    pub zone: time::Duration,
    /// One way to the clients.
    pub client: time::Duration,
    /// Transactions that an endpoint works on at once.
    pub slots: usize,
    /// Connections that an endpoint accepts.
    pub connections: usize,
    /// Time to open a connection.
    pub open: time::Duration,
    /// Instances of the system.
    pub instances: usize,
}

/// Kalkvagn Systemhus.
pub const KALKVAGN: Size = Size {
    name: "kalkvagn",
    zone: time::Duration::from_micros(1_000),
    client: time::Duration::from_micros(3_000),
    slots: 3,
    connections: 50,
    open: time::Duration::from_millis(10),
    instances: 15,
};

/// Sanjha Asaasa Cooperative Society.
pub const SANJHA: Size = Size {
    name: "sanjha",
    zone: time::Duration::from_micros(500),
    client: time::Duration::from_micros(1_000),
    slots: 2,
    connections: 80,
    open: time::Duration::from_millis(10),
    instances: 21,
};

/// Both users.
pub const ALL: [Size; 2] = [KALKVAGN, SANJHA];

/// How one rank's work is modelled; the shares and limits are the configuration's defaults.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// The rank.
    pub rank: rank::Rank,
    /// Mean time at the endpoint, exponentially distributed.
    pub service: time::Duration,
    /// Part of the endpoint's capacity that it asks for without a flood, in percent.
    pub base_percent: u32,
    /// Guaranteed share, in percent.
    pub share_percent: u32,
    /// Time within which an answer is prompt.
    pub target: time::Duration,
    /// Time after which an answer is of no use.
    pub deadline: time::Duration,
}

/// The ranks' work, the most urgent first.
pub const CLASSES: [Class; 3] = [
    Class {
        rank: rank::Rank::Urgent,
        service: time::Duration::from_millis(8),
        base_percent: 30,
        share_percent: 60,
        target: time::Duration::from_millis(100),
        deadline: time::Duration::from_millis(5_000),
    },
    Class {
        rank: rank::Rank::Normal,
        service: time::Duration::from_millis(10),
        base_percent: 20,
        share_percent: 30,
        target: time::Duration::from_millis(500),
        deadline: time::Duration::from_millis(10_000),
    },
    Class {
        rank: rank::Rank::Bulk,
        service: time::Duration::from_millis(20),
        base_percent: 8,
        share_percent: 10,
        target: time::Duration::from_millis(5_000),
        deadline: time::Duration::from_millis(30_000),
    },
];

/// Waiting transactions of each rank.
pub const WAITING: usize = 1_000;
