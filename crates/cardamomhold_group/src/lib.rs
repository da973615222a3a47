//! The database-group aggregate: members, terms, confirmation of commits, change of primary.
//!
//! Everything here is a state machine without I/O: the inputs are events and the time,
//! the outputs are decisions.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_group::leadership;
//!
//! let leadership = leadership::Leadership::first(MemberName::parse("bookings-1").unwrap());
//! assert_eq!(leadership.term, Term(1));
//! ```

pub mod change;
pub mod choice;
pub mod confirm;
pub mod detect;
pub mod event;
pub mod leadership;
pub mod spec;
pub mod status;
mod step;

/// The most used types of the aggregate.
pub mod prelude {
    pub use crate::confirm::Confirmations;
    pub use crate::leadership::Leadership;
    pub use crate::spec::{GroupSpec, MemberSpec};
    pub use crate::status::{MemberRole, MemberStatus};
}
