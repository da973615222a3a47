//! The fleet aggregate: membership of instances and ownership of endpoints.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_fleet::owner;
//!
//! let a = InstanceName::parse("a").unwrap();
//! let endpoint = MemberName::parse("bookings-1").unwrap();
//! let candidate = owner::Candidate::new(&a);
//! assert_eq!(owner::choose(&endpoint, [&candidate]), Some(&a));
//! ```

pub mod election;
pub mod fleet;
pub mod hash;
pub mod message;
mod outgoing;
pub mod owner;
pub mod probe;
pub mod random;
mod receive;
pub mod roster;
pub mod swim;
pub mod timing;

/// The most used types of the aggregate.
pub mod prelude {
    pub use crate::fleet::{Fleet, Instance, InstanceState};
}
