//! An entry instance, independent of the protocol's encoding: sessions over pooled connections,
//! the leaderships that it relies on, and the promotion of another member.
//!
//! The edges are traits: a [`front`] to callers, a [`link`] to a member, the [`store`] for
//! durable state, and the platform's [`promoter`]. Between them are tasks that own their state
//! and communicate by messages:
//!
//! - [`caller`]: one for each caller's connection,
//! - [`group`]: one for each database group, which chooses the member for each request,
//! - [`admission`]: one for each member whose connections this instance owns, with its queue,
//! - [`coordinator`]: leaderships, the lease on them, membership of other instances,
//! - [`limits`]: limits of workspaces, with this instance's part in them,
//! - [`relay::owner`]: one for each connection from another instance that uses members'
//!   connections owned by this one,
//! - [`follow`]: one for each kind of object that is watched in the store,
//! - [`handover`]: one for each handover to another primary.
//!
//! ```
//! use cardamomhold_entry::session;
//!
//! let mut session = session::Session::default();
//! session.set("region", "north");
//! let mut applied = session::Applied::default();
//! assert_eq!(session.difference(&applied, None).values.len(), 1);
//! applied.record(&session, None);
//! assert!(session.difference(&applied, None).is_empty());
//! ```

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod call;
pub mod caller;
pub mod checkout;
pub mod clock;
pub mod closing;
pub mod connect;
pub mod contents;
pub mod control;
pub mod control_reader;
pub mod coordinator;
pub mod creations;
pub mod currency;
pub mod explain;
pub mod failovers;
pub mod follow;
pub mod front;
pub mod group;
pub mod groups;
pub mod handover;
pub mod lag;
pub mod limits;
pub mod link;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod owners;
pub mod peers;
pub mod promoter;
pub mod registry;
pub mod relay;
pub mod report;
pub mod restarts;
pub mod roster;
pub mod session;
pub mod shared_listings;
pub mod statement;
pub mod stop;
pub mod store;
pub mod traffic;
pub mod view;
