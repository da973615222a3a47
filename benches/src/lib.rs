//! Benchmarks of the decisions, in virtual time.
//!
//! The product's own state machines run before a modelled endpoint, at the sizes of the
//! two users. Seeds are fixed, so each figure repeats exactly.

pub mod breaker;
pub mod dissemination;
pub mod endpoint;
pub mod failover;
pub mod flood;
pub mod load;
pub mod plain;
pub mod reads;
pub mod report;
pub mod size;
