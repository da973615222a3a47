//! Value types shared by every aggregate of the proxy.
//!
//! The types represent names, log positions, outcomes and time; the rules that use
//! them are in the aggregates. This crate does no I/O, reads no clock and generates
//! no random numbers.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//!
//! let written = Position::new(Term(3), LogPosition(42));
//! let mut token = SessionToken::default();
//! token.observe(&GroupName::parse("bookings").unwrap(), written).unwrap();
//! assert_eq!(token.position("bookings"), Some(written));
//! ```

pub mod backoff;
pub mod key;
pub mod log_line;
pub mod name;
pub mod outcome;
pub mod position;
pub mod rank;
pub mod read;
pub mod time;
pub mod token;

/// Types used by almost every crate of the workspace.
pub mod prelude {
    pub use crate::key::RequestKey;
    pub use crate::name::{CallerName, GroupName, InstanceName, KindName, MemberName, ZoneName};
    pub use crate::outcome::{Outcome, Refusal};
    pub use crate::position::{LogPosition, Position, Term};
    pub use crate::rank::Rank;
    pub use crate::read::ReadKind;
    pub use crate::time::Timestamp;
    pub use crate::token::SessionToken;
}
