//! What the keeper makes of the datagrams of other instances.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::record;

use crate::keeper::Keeper;
use crate::link;
use crate::message;
use crate::promoter;
use crate::store;

/// Time for which other instances may have seen more of the store than this one.
const BEHIND_FOR: time::Duration = time::Duration::from_millis(500);

/// Age of the store's last answer up to which a holder says that it acts.
const ABLE: time::Duration = time::Duration::from_millis(1_500);

impl<S, C, P> Keeper<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn hear(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        envelope: message::Envelope,
    ) {
        let message::Envelope {
            from: name,
            message,
        } = envelope;
        let is_holder = self.duty.as_ref().is_some_and(|d| d.holder == name);
        match message {
            message::Message::Ask { number, known } => {
                if self.lease.may_confirm_others() {
                    let records = self.records_beyond(known);
                    let answer = message::Message::Answer { number, records };
                    self.peers.send(from, answer);
                }
            }
            message::Message::Answer { number, records } => {
                for record in &records {
                    self.learn(record, name.as_str());
                }
                self.count_answer(now, number, &name);
            }
            message::Message::Renew {
                number,
                known,
                seen,
                report,
            } => {
                self.compare(now, seen);
                self.renewal.record_request(now);
                if self.exchange.apply_report(&report) {
                    self.publish_samples();
                }
                self.hear_renew(now, from, number, known);
            }
            message::Message::Renewed {
                number,
                age_us,
                records,
                duty,
                seen,
                samples,
            } => {
                for record in &records {
                    self.learn(record, name.as_str());
                }
                self.learn_duty(duty.as_ref());
                self.compare(now, seen);
                if number == self.asked.0 {
                    self.renewal.record_answer();
                    let asked = self.asked.1;
                    if self.exchange.apply_answer(now, asked, &samples) {
                        self.publish_samples();
                    }
                    // What was true that long before the answer was true that long before
                    // the question at the earliest.
                    self.confirm(now, Timestamp(asked.0.saturating_sub(age_us)));
                }
            }
            message::Message::Announce(record) => {
                self.learn(&record, name.as_str());
                let (group, change) = (record.group, record.change);
                self.peers
                    .send(from, message::Message::Ack { group, change });
            }
            message::Message::Ack { group, change } => self.acked(&name, &group, change),
            message::Message::Concern {
                group,
                change,
                has_failed,
            } => self.hear_concern(now, from, &group, change, has_failed),
            message::Message::Noted if is_holder => self.heard = Some(now),
            message::Message::Noted => {}
            message::Message::Probe { group, change } => self.probe(&group, change, Some(from)),
            message::Message::Seen {
                group,
                change,
                sight,
            } => self.needs.learn(now, &group, change, &name, sight),
        }
    }

    pub(super) fn hear_concern(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        group: &name::GroupName,
        change: u64,
        has_failed: bool,
    ) {
        if has_failed {
            self.ask_all(now, group, change);
        }
        let is_able = self.answered.is_some_and(|at| now.since(at) < ABLE);
        if is_able && self.is_holder() {
            self.peers.send(from, message::Message::Noted);
        }
    }

    pub(super) fn acked(
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
        announcement.missing.remove(name.as_str());
        if let Some(acks) = &announcement.acks {
            // A handover that has ended needs no acknowledgements.
            let _ = acks.send(name.clone());
        }
    }

    pub(super) fn count_answer(&mut self, now: Timestamp, number: u64, name: &name::InstanceName) {
        let Some(round) = &mut self.round else {
            return;
        };
        round.record_answer(number, name);
        if round.is_majority() {
            let asked = round.requested;
            self.round = None;
            self.confirm(now, asked);
        }
    }

    /// The leaderships, for one whose knowledge has a digest; none when it is the same.
    fn records_beyond(&self, known: u64) -> Vec<record::Leadership> {
        if known == self.records.digest() {
            return Vec::new();
        }
        self.records.iter().cloned().collect()
    }

    fn publish_samples(&self) {
        let samples = self.exchange.all().clone();
        self.published.samples.send_replace(samples.into());
    }

    pub(super) fn hear_renew(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        number: u64,
        known: u64,
    ) {
        let Some(age) = self
            .lease
            .age(now)
            .filter(|_| self.lease.may_confirm_others())
        else {
            return;
        };
        let renewed = message::Message::Renewed {
            number,
            age_us: age.as_micros() as u64,
            records: self.records_beyond(known),
            duty: self.duty.clone(),
            seen: self.seen,
            samples: self.exchange.answer(now),
        };
        self.peers.send(from, renewed);
    }

    /// Follows the store anew when another instance has seen more of it for a while: a watch
    /// may have gone silent.
    pub(super) fn compare(&mut self, now: Timestamp, other: message::Seen) {
        if !self.seen.is_behind(other) {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.since(since) > BEHIND_FOR {
            log::warn!("event=behind seen={:?} other={other:?}", self.seen);
            self.behind = None;
            self.published.epoch.send_modify(|e| *e += 1);
        }
    }
}
