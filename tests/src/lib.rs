//! The bed of the failure tests: real instances against the stand-ins, all on loopback.
//!
//! Each instance runs on a thread and a runtime of its own, so that it can be killed or
//! frozen as a whole while the others go on.

#![allow(clippy::expect_used, clippy::unwrap_used)]

pub mod cluster;
pub mod instance;
pub mod load;
pub mod operator;
pub mod raw;
pub mod soak;
pub mod writer;
