//! Stand-ins for the external systems, for tests and trials only.
//!
//! [`endpoint`] simulates a member of a database group: asynchronous replication,
//! terms, log positions, slots and a connection limit. [`platform`] simulates the
//! platform's object API. Their handles inject faults at run time.
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
