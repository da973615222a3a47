//! Stand-ins of the outside systems, for tests and trials only.
//!
//! [`endpoint`] stands in for a member of a database group: asynchronous replication,
//! terms, log positions, slots, a connection limit. [`platform`] stands in for the
//! platform's object API. Both take faults from their handles while they run.
//!
//! ```
//! use cardamomhold_standin::fault;
//!
//! let faults = fault::Faults::default();
//! faults.freeze(true);
//! assert!(faults.is_frozen());
//! ```

mod command;
pub mod endpoint;
pub mod engine;
mod execute;
mod extended;
pub mod fault;
pub mod follow;
pub mod log;
pub mod member;
pub mod platform;
mod replica;
pub mod replication;
mod rows;
pub mod session;
pub mod store;
