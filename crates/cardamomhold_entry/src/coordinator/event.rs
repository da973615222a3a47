//! Messages to the coordinator.

use std::collections;
use std::net;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::sample;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::contents;
use crate::control;
use crate::currency;
use crate::handover::permit;
use crate::message;
use crate::registry;
use crate::view;

/// Messages to the coordinator.
#[derive(Debug)]
pub enum Event {
    /// New configuration from the operators.
    Catalog(view::Catalog),
    /// New state of the members' entries in the store.
    Members {
        /// All members.
        members: collections::BTreeMap<name::MemberName, view::Member>,
        /// Newest revision among the entries.
        revision: u64,
    },
    /// How recent this instance's copy of a kind of objects is.
    Held(contents::Kind, currency::Held),
    /// The registered instances.
    Instances(registry::Instances),
    /// The store's control objects, with the time at which the read was sent.
    ControlRead(Timestamp, control::Control),
    /// A read of the control objects failed, with the problem.
    ControlReadFailed(String),
    /// A datagram from another instance.
    Datagram(net::SocketAddr, message::Envelope),
    /// This instance reached a primary or failed to reach it.
    PrimaryObserved {
        /// The group.
        group: name::GroupName,
        /// The member that this instance took for the primary.
        member: name::MemberName,
        /// What this instance observed.
        observation: suspicion::Observation,
        /// Whether its statements fail, even if it accepts connections.
        is_failing: bool,
    },
    /// This instance sampled a primary's log position.
    Sampled {
        /// The group.
        group: name::GroupName,
        /// The position, with the time at which the request was sent.
        sample: sample::Sample,
    },
    /// Clients of this instance read from a group, which may take samples of its primary.
    SamplesUsed(name::GroupName),
    /// A probe of a primary finished.
    Probed {
        /// The group.
        group: name::GroupName,
        /// Change number of the leadership that was probed.
        change: u64,
        /// What this instance observed.
        observation: suspicion::Observation,
    },
    /// A handover wrote a leadership, which is to be announced to the other instances.
    Announce {
        /// The leadership.
        record: record::Leadership,
        /// Receives the names of the instances that acknowledged it.
        acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    },
    /// This instance has written a first leadership.
    LeadershipCreated,
    /// An attempt to acquire the first promotion lock has ended; the lock if it succeeded.
    FirstLockEnded(Option<promotion_lock::PromotionLock>),
    /// A handover of the group ended.
    HandoverEnded(name::GroupName),
    /// A handover has acquired the promotion lock, or found that this instance holds it.
    LockAcquired {
        /// The lock.
        lock: promotion_lock::PromotionLock,
        /// The holder before, if it was another instance.
        former: Option<name::InstanceName>,
    },
    /// A handover is about to promote a member.
    PromotionRequested {
        /// Token of the handover's lock.
        token: u64,
        /// Receives the permission or its denial.
        reply: oneshot::Sender<permit::Answer>,
    },
    /// A permitted promotion has ended.
    PromotionEnded,
    /// A write of the voters has ended.
    VotersWritten,
}

/// Sends messages to the coordinator.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Sends a message.
    pub fn send(&self, event: Event) {
        // The coordinator ends only with the process.
        let _ = self.events.send(event);
    }
}

/// Creates a handle and the receiver that [`Coordinator::run`] reads.
pub fn mailbox() -> (Handle, mpsc::UnboundedReceiver<Event>) {
    let (events, mailbox) = mpsc::unbounded_channel();
    (Handle { events }, mailbox)
}
