//! How the coordinator keeps the copies of the store's objects complete.

use std::net;
use std::time;

use cardamomhold_core::time::Timestamp;

use crate::contents::Kind;
use crate::coordinator::Coordinator;
use crate::coordinator::Published;
use crate::currency;
use crate::currency::Mode;
use crate::follow;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::store;

/// Time after a store outage within which an instance that vouches for its copies is heard of: three
/// renewals of the lease.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(900);

impl Published {
    /// Passes on a datagram to the task of its kind of objects.
    pub(super) fn tell(&self, command: follow::Command) {
        let kind = match &command {
            follow::Command::Received(_, message) => message.objects(),
            follow::Command::Newer(..) | follow::Command::Revision(..) => return,
        };
        self.tell_kind(kind, command);
    }

    fn tell_kind(&self, kind: Kind, command: follow::Command) {
        // The task ends only with the process.
        let _ = self.follows[kind as usize].commands.send(command);
    }

    /// Whether this instance watches any kind in the store.
    pub(super) fn watches(&self) -> bool {
        let mut modes = self.follows.iter().map(|f| *f.mode.borrow());
        modes.any(|mode| mode != Mode::Idle)
    }
}

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Records what another instance vouched for at the time `answered`, and asks it for what this
    /// one lacks.
    pub(super) fn record_vouch(
        &mut self,
        now: Timestamp,
        answered: Timestamp,
        from: net::SocketAddr,
        vouch: &currency::Vouch,
    ) {
        self.currency.record_vouch(&self.own, answered, vouch);
        for (kind, head) in Kind::ALL.into_iter().zip(vouch.heads) {
            if self.currency.is_behind(kind, head) {
                let newer = follow::Command::Newer(from, head);
                self.published.tell_kind(kind, newer);
            }
        }
        self.publish_modes(now);
    }

    /// Asks another instance than the reader how recent its copies are, where that is due.
    pub(super) fn request_vouch(&mut self, now: Timestamp) {
        let rank = registry::watcher_rank(&self.instances, &self.own);
        let Some(turn) = self.currency.next_request(now, rank) else {
            return;
        };
        for entry in registry::vouching(&self.instances, &self.own, turn) {
            let request = message::Message::VouchRequest { sent: now.0 };
            self.peers.send(entry.address, request);
        }
    }

    /// Records the store's revision at the time of a read.
    pub(super) fn record_revision(&mut self, sent: Timestamp, revision: u64) {
        self.currency.record_control(sent, revision);
        for kind in Kind::ALL {
            let answered = follow::Command::Revision(sent, revision);
            self.published.tell_kind(kind, answered);
        }
    }

    /// Starts the watches again that can't be relied on. After a store outage the first by rank does
    /// so at once and then vouches for its copies, so that most of the others
    /// need no call.
    pub(super) fn restart_watches(&mut self, now: Timestamp) {
        let is_first = registry::watcher_rank(&self.instances, &self.own) == 0;
        let is_due = |regained| is_first || now.since(regained) >= RESTART_DELAY;
        if self.regained_unlisted.take_if(|at| is_due(*at)).is_some() && self.published.watches() {
            self.restarts.request();
        }
        if self.restarts.begin(now) {
            self.published.epoch.send_modify(|e| *e += 1);
        }
    }

    /// Publishes which kinds are to be watched in the store, where that has changed.
    pub(super) fn publish_modes(&self, now: Timestamp) {
        let follows = &self.published.follows;
        let current = follows.each_ref().map(|f| *f.mode.borrow());
        let rank_of = |name: &_| registry::watcher_rank(&self.instances, name);
        let modes = self.currency.modes(now, &self.own, rank_of, current);
        if modes != current {
            log::info!(
                "event=watching config={:?} members={:?} instances={:?}",
                modes[0],
                modes[1],
                modes[2]
            );
        }
        for (follow, mode) in follows.iter().zip(modes) {
            follow
                .mode
                .send_if_modified(|m| mode != std::mem::replace(m, mode));
        }
    }
}
