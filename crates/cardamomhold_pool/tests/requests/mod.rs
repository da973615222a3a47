//! Requests of one caller to a pool.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::wait_queue;

/// A request of the most urgent rank, which is to be answered by `deadline`.
pub fn request(
    id: u64,
    requirement: wait_queue::Requirement,
    deadline: Timestamp,
) -> wait_queue::Request {
    wait_queue::Request {
        id,
        rank: 0,
        requirement,
        caller: name::CallerName::parse("kalkbok").unwrap(),
        grant: None,
        avoid: Vec::new(),
        asked: Vec::new(),
        target: deadline,
        deadline,
    }
}
