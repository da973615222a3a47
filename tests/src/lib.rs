//! Helpers of the failure tests, which run real instances against the stand-ins on loopback.
//!
//! Each instance runs on its own thread and runtime, so that a test can kill or freeze it as
//! a whole while the others keep running.

#![allow(clippy::expect_used, clippy::unwrap_used)]

pub mod cluster;
pub mod instance;
pub mod load;
pub mod operator;
pub mod raw;
pub mod soak;
pub mod writer;
