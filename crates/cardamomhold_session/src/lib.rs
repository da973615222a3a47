//! The session aggregate: what a caller declared, and where its next statement goes.
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

/// The types that users of the aggregate need most.
pub mod prelude {
    pub use crate::route::{Route, View};
    pub use crate::session::Session;
}
