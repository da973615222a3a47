//! Which instances are about to stop.
//!
//! The owners of a member and their successors follow from the instances and from those that leave,
//! so that an instance names its successors by telling that it leaves.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::coordinator::Coordinator;
use crate::link;
use crate::message;
use crate::promoter;
use crate::stop;
use crate::store;

/// How often an instance tells that it leaves, as datagrams may be lost.
const ANNOUNCEMENTS: u32 = 3;

/// How long an instance counts as leaving. Longer than the grace times of the deployments, 6 s, and
/// the start of the next process; after that it has to answer a ping before it is used.
const LEAVING_PERIOD: time::Duration = time::Duration::from_secs(10);

/// The instances that leave.
#[derive(Debug, Default)]
pub(super) struct Presence {
    /// How often this instance has told that it leaves.
    announced: u32,
    /// When each instance that leaves was first heard to.
    leaving: collections::BTreeMap<name::InstanceName, Timestamp>,
}

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Tells the other instances that this one leaves, once it does, and forgets those that have
    /// left.
    pub(super) fn update_presence(&mut self, now: Timestamp) {
        let is_leaving = *self.phase.borrow() != stop::Phase::Serving;
        if is_leaving && self.presence.announced < ANNOUNCEMENTS {
            self.presence.announced += 1;
            self.broadcast(&message::Message::Leaving);
            self.record_leaving(now, self.own.clone());
        }
        let own = &self.own;
        let before = self.presence.leaving.len();
        self.presence
            .leaving
            .retain(|name, since| name == own || now < since.after(LEAVING_PERIOD));
        if self.presence.leaving.len() != before {
            self.publish_leaving();
        }
    }

    /// Records that an instance leaves.
    pub(super) fn record_leaving(&mut self, now: Timestamp, name: name::InstanceName) {
        if self.presence.leaving.contains_key(name.as_str()) {
            return;
        }
        log::info!("event=leaving instance={name}");
        self.presence.leaving.insert(name, now);
        self.publish_leaving();
    }

    fn publish_leaving(&self) {
        let leaving: collections::BTreeSet<_> = self.presence.leaving.keys().cloned().collect();
        self.published
            .views
            .send_modify(|v| v.leaving = leaving.into());
    }
}
