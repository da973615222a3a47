//! PostgreSQL's wire protocol: framing, session parameters and SQLSTATEs.
//!
//! Messages are encoded and decoded by `pgwire`; this crate adds size limits, maps
//! outcomes to SQLSTATEs and classifies statements by their first words. It makes no
//! routing or queueing decisions, so that another front end can be added beside it.
//!
//! ```
//! use cardamomhold_wire::statement;
//!
//! assert_eq!(statement::classify("/* x */ begin read only"), statement::Class::Begin { read_only: true });
//! ```

pub mod answer;
pub mod frame;
pub mod param;
pub mod sqlstate;
pub mod statement;
