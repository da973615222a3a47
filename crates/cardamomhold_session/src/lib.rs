//! The session aggregate: a caller's session state, and the routing and retries of its requests.
//!
//! ```
//! use cardamomhold_session::session;
//!
//! let session = session::Session::default();
//! assert!(session.read_kind.is_none());
//! ```

pub mod retry;
pub mod route;
pub mod session;
pub mod wait;

/// Types used most by the other crates.
pub mod prelude {
    pub use crate::route::{Route, View};
    pub use crate::session::Session;
}
