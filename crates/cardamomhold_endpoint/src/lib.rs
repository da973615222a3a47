//! The edge to endpoints: working connections and the control of members.
//!
//! [`connection::Connection`] carries callers' statements; [`control::Control`] is the
//! trait by which the daemon reads a member's status and orders a change of primary, so
//! that another endpoint API can take its place.
//!
//! ```
//! use cardamomhold_endpoint::control;
//!
//! assert!(control::ControlError::Closed.to_string().contains("closed"));
//! ```

pub mod connection;
pub mod control;
