//! How the coordinator handles datagrams from other instances.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::renewal;

use crate::coordinator::Coordinator;
use crate::coordinator::HeldRequest;
use crate::limits;
use crate::link;
use crate::message;
use crate::promoter;
use crate::store;

/// Maximum age of the store's last answer at which the lock holder acknowledges a failover
/// request.
const MAX_STORE_AGE: time::Duration = time::Duration::from_millis(1_500);

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn handle_datagram(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        envelope: message::Envelope,
    ) {
        let message::Envelope {
            from: name,
            message,
        } = envelope;
        match message {
            message::Message::LeadershipRequest { number, digest } => {
                if self.lease.may_confirm_others() {
                    let reply = message::Message::LeadershipReply {
                        number,
                        generation: self.electorate.generation(),
                        state: self.state_unless_known(digest),
                    };
                    self.peers.send(from, reply);
                }
            }
            message::Message::LeadershipReply {
                number,
                generation,
                state,
            } => {
                self.update_state(state, &name);
                self.count_answer(now, number, generation, &name);
            }
            message::Message::RenewalRequest {
                number,
                digest,
                seen,
                report,
            } => {
                self.check_lag(now, seen);
                self.renewal.record_request(now);
                if self.exchange.apply_report(&report) {
                    self.publish_samples();
                }
                let request = HeldRequest {
                    from,
                    number,
                    digest,
                    since: now,
                };
                self.hold_renewal(now, &name, request);
            }
            message::Message::RenewalReply {
                number,
                age_us,
                held_us,
                state,
                lock,
                seen,
                samples,
            } => {
                self.update_state(state, &name);
                self.update_lock(now, lock.as_ref());
                self.check_lag(now, seen);
                let request = self.requests.iter().find(|r| r.number == number);
                if let Some(request) = request.copied() {
                    self.renewal.record_answer(request.level);
                    self.currency.record_report(now, seen);
                    // The request arrived after it was sent, and was kept for some time before the
                    // answer was sent.
                    let answered = request.sent.0.saturating_add(held_us);
                    let answered = Timestamp(answered).min(now);
                    if self.exchange.apply_answer(now, answered, &samples) {
                        self.publish_samples();
                    }
                    // The answer states the confirmation's age when it was sent.
                    self.extend_lease(now, Timestamp(answered.0.saturating_sub(age_us)));
                }
            }
            message::Message::Announce(record) => {
                self.update_record(&record, name.as_str());
                let (group, change) = (record.group, record.change);
                self.peers
                    .send(from, message::Message::Ack { group, change });
            }
            message::Message::Ack { group, change } => self.handle_ack(&name, &group, change),
            message::Message::FailoverRequest {
                group,
                change,
                has_failed,
            } => self.handle_failover_request(now, from, &group, change, has_failed),
            message::Message::FailoverAck => self.tenure.record_life(now, &name),
            message::Message::ProbeRequest { group, change } => {
                self.probe(now, &group, change, Some(from))
            }
            message::Message::ProbeReply {
                group,
                change,
                observation,
            } => self
                .failovers
                .observe(now, &group, change, &name, observation),
            message::Message::LockAcquired { lock, former } => {
                self.release_lock(now, from, &lock, former.as_ref())
            }
            message::Message::LockReleased(release) => {
                log::info!("event=duty_free former={name} {release:?}");
                self.tenure.record_release(now, &name, &release);
            }
            message::Message::VoterPing => self.peers.send(from, self.voter_pong()),
            message::Message::VoterPong {
                generation,
                is_leaving,
            } => self
                .electorate
                .record_answer(now, &name, generation, is_leaving),
            message::Message::Limits(message) => {
                let received = limits::Command::Received(name, message);
                self.published.limits.send(received);
            }
        }
    }

    pub(super) fn handle_failover_request(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        group: &name::GroupName,
        change: u64,
        has_failed: bool,
    ) {
        if has_failed {
            self.poll_instances(now, group, change);
        }
        if !self.tenure.is_holder() {
            return;
        }
        let store_age = self.store_answered.map(|t| now.since(t));
        if store_age.is_some_and(|age| age < MAX_STORE_AGE) {
            self.peers.send(from, message::Message::FailoverAck);
        }
        // A holder that isn't the fleet's reader doesn't read the store otherwise, and would seem
        // to be cut off from it.
        let is_old = store_age.is_none_or(|age| age >= renewal::RENEWAL_INTERVAL);
        if is_old && self.outage.is_none() {
            self.control_reader.read();
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

    pub(super) fn count_answer(
        &mut self,
        now: Timestamp,
        number: u64,
        generation: u64,
        name: &name::InstanceName,
    ) {
        let Some(round) = &mut self.round else {
            return;
        };
        round.record_answer(number, generation, name);
        if round.is_majority() {
            let sent = round.requested;
            self.round = None;
            self.extend_lease(now, sent);
        }
    }

    /// Stores the leaderships and voters of an answer.
    fn update_state(&mut self, state: Option<message::State>, source: &name::InstanceName) {
        let Some(state) = state else {
            return;
        };
        for record in &state.records {
            self.update_record(record, source.as_str());
        }
        self.update_voters(state.voters.as_ref());
    }

    /// Digest of the leaderships and voters.
    pub(super) fn digest(&self) -> u64 {
        self.records.digest() ^ self.electorate.generation().rotate_left(32)
    }

    /// All leaderships and the voters, or none when `digest` is this instance's.
    fn state_unless_known(&self, digest: u64) -> Option<message::State> {
        if digest == self.digest() {
            return None;
        }
        Some(message::State {
            records: self.records.iter().cloned().collect(),
            voters: self.electorate.voters().cloned(),
        })
    }

    fn publish_samples(&self) {
        let samples = self.exchange.all().clone();
        self.published.samples.send_replace(samples.into());
    }

    pub(super) fn answer_renewal(&mut self, now: Timestamp, request: &HeldRequest) {
        let Some(age) = self
            .lease
            .age(now)
            .filter(|_| self.lease.may_confirm_others())
        else {
            return;
        };
        let reply = message::Message::RenewalReply {
            number: request.number,
            age_us: age.as_micros() as u64,
            held_us: now.since(request.since).as_micros() as u64,
            state: self.state_unless_known(request.digest),
            lock: self.tenure.lock().cloned(),
            seen: self.currency.report(now, self.lag.known(self.seen)),
            samples: self.exchange.answer(now),
        };
        self.peers.send(request.from, reply);
    }

    /// Publishes whether a reader would tell this instance of newer versions, if that has changed.
    pub(super) fn publish_informed(&self, now: Timestamp) {
        let is_informed = self.currency.is_informed(now);
        self.published
            .informed
            .send_if_modified(|i| is_informed != std::mem::replace(i, is_informed));
    }

    /// Restarts the watches of the store when other instances have been ahead for a while.
    pub(super) fn check_lag(&mut self, now: Timestamp, other: message::Seen) {
        if self.lag.record(now, self.seen, other) {
            log::warn!("event=behind seen={:?} other={other:?}", self.seen);
            self.published.epoch.send_modify(|e| *e += 1);
        }
    }
}
