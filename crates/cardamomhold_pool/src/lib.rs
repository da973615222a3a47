//! Connection pool aggregate of one group: the connections to its members, the queue of
//! requests for them, and the log positions that decide which replica is recent enough.
//!
//! The pool does no I/O: it is given events and the time, and returns decisions. The type of
//! a connection is opaque to it.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_pool::prelude::*;
//!
//! let mut pool: Pool<&str> = Pool::new();
//! let member = MemberName::parse("db-1").unwrap();
//! let share = Share::Relayed;
//! let info = MemberInfo { name: &member, is_near: true, is_ready: true, share };
//! pool.set_members(&[info]);
//! pool.set_primary(Some(&member));
//! pool.request(Request {
//!     id: 1,
//!     rank: 0,
//!     requirement: Requirement::Primary,
//!     caller: CallerName::parse("kalkbok").unwrap(),
//!     grant: None,
//!     avoid: vec![],
//!     asked: vec![],
//!     target: Timestamp(5),
//!     deadline: Timestamp(9),
//! });
//! let decisions = pool.poll(Timestamp(1), true);
//! assert!(matches!(&decisions[0], Decision::Grant(g) if g.link.is_none()));
//! ```

pub mod connections;
pub mod exchange;
pub mod interest;
pub mod load;
pub mod member;
pub mod placement;
pub mod pool;
pub mod sample;
pub mod share;
pub mod wait_queue;

/// The most commonly used types of the crate.
pub mod prelude {
    pub use crate::exchange::Exchange;
    pub use crate::member::MemberInfo;
    pub use crate::pool::{Completion, Decision, Grant, Pool, Reason};
    pub use crate::sample::{Sample, Samples};
    pub use crate::share::Share;
    pub use crate::wait_queue::{Request, Requirement};
}
