//! The configuration aggregate: validated objects, merged by version so that an older version
//! never replaces a newer one.
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

/// Types used most by the other crates.
pub mod prelude {
    pub use crate::config::{Change, Config};
    pub use crate::object::{Envelope, ObjectName, Spec};
}
