//! The operators' tool: every change is shown before it is made, and conditional on the
//! version it was made from.
//!
//! ```
//! use cardamomhold_cli::diff;
//! use serde_json::json;
//!
//! let lines = diff::diff(&json!({"queue": 10}), &json!({"queue": 20}));
//! assert_eq!(lines[0].to_string(), "~ queue: 10 -> 20");
//! ```

pub mod client;
pub mod commands;
pub mod diff;
pub mod failure;
pub mod flags;
pub mod json;
pub mod status;
pub mod table;
