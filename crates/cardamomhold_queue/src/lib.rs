//! The queue aggregate of one endpoint: who runs next, who waits, who is refused.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_queue::queue;
//!
//! let mut queue = queue::Queue::new(queue::Limits { running: 1, waiting: 8 });
//! let job = queue::Job {
//!     id: queue::JobId(1),
//!     rank: Rank::Urgent,
//!     caller: CallerName::parse("kalkbok").unwrap(),
//!     deadline: Timestamp::from_millis(100),
//! };
//! queue.offer(Timestamp(0), job).unwrap();
//! assert_eq!(queue.poll(Timestamp(0)), vec![queue::Decision::Start(queue::JobId(1))]);
//! ```

pub mod queue;

/// The types that users of the aggregate need most.
pub mod prelude {
    pub use crate::queue::{Decision, Job, JobId, Limits, Queue};
}
