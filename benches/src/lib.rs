//! Benchmarks of routing, queueing and failover decisions, in virtual time.
//!
//! The product's own state machines run against a simulated endpoint, at the sizes of the
//! two users. Seeds are fixed, so each figure is reproducible.

pub mod baseline;
pub mod breaker;
pub mod dissemination;
pub mod endpoint;
pub mod failover;
pub mod flood;
pub mod load;
pub mod reads;
pub mod report;
pub mod size;
pub mod uneven;
