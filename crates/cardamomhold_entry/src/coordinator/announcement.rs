//! Announcements of written leaderships to the other instances.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::record;
use tokio::sync::mpsc;

use crate::coordinator::Coordinator;
use crate::link;
use crate::message;
use crate::promoter;
use crate::store;

/// How long an announcement is repeated when no handover waits for its acknowledgements.
const ANNOUNCEMENT_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// A leadership that is announced repeatedly.
pub(super) struct Announcement {
    record: record::Leadership,
    acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    unacknowledged: collections::BTreeSet<name::InstanceName>,
    since: Timestamp,
}

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn announce(
        &mut self,
        now: Timestamp,
        record: record::Leadership,
        acks: Option<mpsc::UnboundedSender<name::InstanceName>>,
    ) {
        self.update_record(&record, "own");
        if let Some(acks) = &acks {
            // The receiver is gone when the handover has ended.
            let _ = acks.send(self.own.clone());
        }
        let mut unacknowledged: collections::BTreeSet<_> = self.instances.keys().cloned().collect();
        unacknowledged.remove(self.own.as_str());
        let announcement = Announcement {
            record,
            acks,
            unacknowledged,
            since: now,
        };
        self.send_announcement(&announcement);
        let group = announcement.record.group.clone();
        self.announcements.insert(group, announcement);
    }

    fn send_announcement(&self, announcement: &Announcement) {
        for name in &announcement.unacknowledged {
            if let Some(entry) = self.instances.get(name.as_str()) {
                let message = message::Message::Announce(announcement.record.clone());
                self.peers.send(entry.address, message);
            }
        }
    }

    pub(super) fn repeat_announcements(&mut self, now: Timestamp) {
        self.announcements.retain(|_, a| {
            let is_awaited = a.acks.as_ref().is_some_and(|acks| !acks.is_closed());
            is_awaited || now.since(a.since) < ANNOUNCEMENT_PERIOD
        });
        for announcement in self.announcements.values() {
            self.send_announcement(announcement);
        }
    }

    pub(super) fn handle_ack(
        &mut self,
        name: &name::InstanceName,
        group: &name::GroupName,
        change: u64,
    ) {
        let Some(announcement) = self.announcements.get_mut(group.as_str()) else {
            return;
        };
        if announcement.record.change != change {
            return;
        }
        announcement.unacknowledged.remove(name.as_str());
        if let Some(acks) = &announcement.acks {
            // The receiver is gone when the handover has ended.
            let _ = acks.send(name.clone());
        }
    }
}
