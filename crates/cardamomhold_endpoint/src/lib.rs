//! Access to endpoints: connections for statements and the control of members.
//!
//! [`connection::Connection`] carries callers' statements. [`control::Control`] is the trait
//! through which the daemon reads a member's status and changes the primary, so that another
//! endpoint API can be used.
//!
//! ```
//! use cardamomhold_endpoint::control;
//!
//! assert!(control::ControlError::Closed.to_string().contains("closed"));
//! ```

pub mod connection;
pub mod control;
