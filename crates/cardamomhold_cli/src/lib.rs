//! The operators' command-line tool. `diff` shows a change without making it; every change is
//! conditional on the object's version that it is based on.
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
