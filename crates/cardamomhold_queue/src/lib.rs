//! Queue aggregate of one endpoint: decides which transactions start, wait or are refused.
//!
//! ```
//! use cardamomhold_core::prelude::*;
//! use cardamomhold_queue::prelude::*;
//!
//! let target = std::time::Duration::from_millis(100);
//! let rank = RankLimits { share_percent: 30, max_waiting: 8, target };
//! let mut queue = Queue::new(Limits {
//!     max_started: 4,
//!     slots: 1,
//!     ranks: [rank; 3],
//!     trip: Trip::Never,
//! });
//! let job = Job {
//!     id: JobId(1),
//!     rank: Rank::Urgent,
//!     caller: CallerName::parse("kalkbok").unwrap(),
//!     weight: 1,
//!     target: Timestamp::from_millis(50),
//!     deadline: Timestamp::from_millis(100),
//! };
//! queue.offer(Timestamp(0), job).unwrap();
//! assert_eq!(queue.poll(Timestamp(0)), vec![Decision::Start(JobId(1))]);
//! ```

pub mod breaker;
pub mod budget;
pub mod estimate;
pub mod fair_queue;
pub mod job;
pub mod limit;
pub mod queue;
mod rank_queue;
pub mod refusal;
pub mod share;

/// The most commonly used types of the crate.
pub mod prelude {
    pub use crate::breaker::Trip;
    pub use crate::budget::Budget;
    pub use crate::job::{Completion, Job, JobId};
    pub use crate::queue::{Decision, Limits, Queue, RankLimits};
    pub use crate::refusal::Refused;
}
