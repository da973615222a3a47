//! The configuration aggregate: checked objects, merged by version, never going back.
//!
//! ```
//! use cardamomhold_config::config;
//!
//! let config = config::Config::default();
//! assert_eq!(config.through(), 0);
//! ```

pub mod check;
pub mod config;
pub mod object;
pub mod verdict;

/// The types that users of the aggregate need most.
pub mod prelude {
    pub use crate::config::{Change, Config};
    pub use crate::object::{Envelope, ObjectName, Spec};
}
