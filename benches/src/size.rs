//! Installation sizes of the two users.

use std::time;

use cardamomhold_core::rank;

/// Installation of one user.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name of the user.
    pub name: &'static str,
    /// One-way latency between availability zones.
    pub zone_latency: time::Duration,
    /// One-way latency to the clients.
    pub client_latency: time::Duration,
    /// Maximum number of transactions that an endpoint runs concurrently.
    pub slots: usize,
    /// Maximum number of connections of an endpoint.
    pub connections: usize,
    /// Time to open a connection.
    pub connect_time: time::Duration,
    /// Number of instances.
    pub instances: usize,
}

/// Kalkvagn Systemhus.
pub const KALKVAGN: Size = Size {
    name: "kalkvagn",
    zone_latency: time::Duration::from_micros(1_000),
    client_latency: time::Duration::from_micros(3_000),
    slots: 3,
    connections: 50,
    connect_time: time::Duration::from_millis(10),
    instances: 15,
};

/// Sanjha Asaasa Cooperative Society.
pub const SANJHA: Size = Size {
    name: "sanjha",
    zone_latency: time::Duration::from_micros(500),
    client_latency: time::Duration::from_micros(1_000),
    slots: 2,
    connections: 80,
    connect_time: time::Duration::from_millis(10),
    instances: 21,
};

/// Both users.
pub const ALL: [Size; 2] = [KALKVAGN, SANJHA];

/// Load model of one rank; shares and limits are the defaults of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// The rank.
    pub rank: rank::Rank,
    /// Mean service time at the endpoint; service times are exponentially distributed.
    pub service_time: time::Duration,
    /// Base load as a share of the endpoint's capacity, in percent.
    pub base_percent: u32,
    /// Guaranteed share of the endpoint's capacity, in percent.
    pub share_percent: u32,
    /// Latency target of an answer.
    pub target: time::Duration,
    /// Maximum latency of a useful answer.
    pub deadline: time::Duration,
}

/// Load model of each rank, most urgent first.
pub const CLASSES: [Class; 3] = [
    Class {
        rank: rank::Rank::Urgent,
        service_time: time::Duration::from_millis(8),
        base_percent: 30,
        share_percent: 60,
        target: time::Duration::from_millis(100),
        deadline: time::Duration::from_millis(5_000),
    },
    Class {
        rank: rank::Rank::Normal,
        service_time: time::Duration::from_millis(10),
        base_percent: 20,
        share_percent: 30,
        target: time::Duration::from_millis(500),
        deadline: time::Duration::from_millis(10_000),
    },
    Class {
        rank: rank::Rank::Bulk,
        service_time: time::Duration::from_millis(20),
        base_percent: 8,
        share_percent: 10,
        target: time::Duration::from_millis(5_000),
        deadline: time::Duration::from_millis(30_000),
    },
];

/// Maximum number of waiting transactions of each rank.
pub const MAX_WAITING: usize = 1_000;
