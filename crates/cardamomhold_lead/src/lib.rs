//! The leadership aggregate: which member is a group's primary, how long an instance may rely
//! on its copy of that record, and when another member is promoted.
//!
//! The functions receive events and the current time and return decisions; they do no I/O.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_lead::lease;
//!
//! let mut lease = lease::Lease::new(Timestamp(0));
//! lease.confirm(Timestamp::from_millis(100));
//! assert!(lease.is_valid(Timestamp::from_millis(1_000)));
//! assert!(!lease.is_valid(Timestamp::from_millis(1_200)));
//! ```

pub mod acks;
pub mod answer_budget;
pub mod candidate;
pub mod durability;
pub mod failure_detector;
pub mod history;
pub mod lease;
pub mod pages;
pub mod promotion_lock;
pub mod record;
pub mod renewal;
pub mod round;
pub mod succession;
pub mod suspicion;
pub mod voters;
