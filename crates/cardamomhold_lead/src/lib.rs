//! The leadership aggregate: who is a group's primary, how long an instance may rely on
//! knowing it, and when another member takes over.
//!
//! Events and the time come in, decisions come out.
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
pub mod candidate;
pub mod duty;
pub mod experience;
pub mod lease;
pub mod record;
pub mod renewal;
pub mod round;
pub mod suspicion;
