//! How the coordinator handles datagrams from other instances.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::pages;
use cardamomhold_lead::renewal;

use crate::coordinator::Coordinator;
use crate::coordinator::HeldRequest;
use crate::coordinator::state;
use crate::follow;
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
            message::Message::LeadershipRequest { number, held } => {
                if self.lease.may_confirm_others() {
                    let reply = message::Message::LeadershipReply {
                        number,
                        generation: self.electorate.generation(),
                        state: self.state_beyond(&held),
                    };
                    self.peers.send(from, reply);
                }
            }
            message::Message::LeadershipReply {
                number,
                generation,
                state,
            } => {
                let is_current = self.round.as_ref().is_some_and(|r| r.number == number);
                if self.update_state(state, &name, is_current) {
                    self.count_answer(now, number, generation, &name);
                } else if is_current {
                    let held = self.held(&name);
                    let request = message::Message::LeadershipRequest { number, held };
                    self.peers.send(from, request);
                }
            }
            message::Message::RenewalRequest {
                number,
                held,
                seen,
                report,
                wanted,
            } => {
                self.check_lag(now, seen);
                self.renewal.record_request(now);
                if self.exchange.apply_report(&report) {
                    self.publish_samples();
                }
                let request = HeldRequest {
                    from,
                    number,
                    held,
                    reference: report.reference,
                    wanted,
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
                vouch,
            } => {
                let request = self.requests.iter().find(|r| r.number == number).copied();
                let is_complete = self.update_state(state, &name, request.is_some());
                self.update_lock(now, lock.as_ref());
                self.check_lag(now, seen);
                if let Some(request) = request {
                    self.renewal.record_answer(request.level);
                    self.interest.record_answer(request.sent);
                    // The request arrived after it was sent, and was kept for some time before the
                    // answer was sent.
                    let answered = request.sent.0.saturating_add(held_us);
                    let answered = Timestamp(answered).min(now);
                    if let Some(vouch) = &vouch {
                        self.record_vouch(now, answered, from, vouch);
                    }
                    if self.exchange.apply_answer(now, answered, &samples) {
                        self.publish_samples();
                    }
                    // The answer states the confirmation's age when it was sent. It confirms nothing
                    // to an instance that lacks some of the leaderships.
                    match is_complete {
                        true => {
                            self.extend_lease(now, Timestamp(answered.0.saturating_sub(age_us)))
                        }
                        false => self.send_renewal(now, request.level, &name, from),
                    }
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
            message::Message::VouchRequest { sent } => {
                let vouch = self.currency.vouch(now, &self.own);
                let reply = message::Message::VouchReply { sent, vouch };
                self.peers.send(from, reply);
            }
            message::Message::VouchReply { sent, vouch } => {
                if let Some(vouch) = vouch.filter(|_| Timestamp(sent) <= now) {
                    self.record_vouch(now, Timestamp(sent), from, &vouch);
                }
            }
            message::Message::Contents(message) => {
                let received = follow::Command::Received(from, message);
                self.published.tell(received);
            }
            message::Message::Limits(message) => {
                let received = limits::Command::Received(name, message);
                self.published.limits.send(received);
            }
            message::Message::Leaving => {
                if self.instances.contains_key(name.as_str()) {
                    self.record_leaving(now, name);
                }
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

    /// Stores the leaderships and voters of an answer; returns whether this instance now has all
    /// leaderships that the sender had. The voters are adopted only then. An answer that isn't
    /// `is_expected` may be to a request of an earlier process of this instance, which had other
    /// leaderships, so that it shows nothing about what this one lacks.
    fn update_state(
        &mut self,
        state: message::State,
        source: &name::InstanceName,
        is_expected: bool,
    ) -> bool {
        let (page, voters) = match state {
            message::State::Same(_) if !is_expected => return false,
            message::State::Changed { page, .. } if !is_expected => {
                for record in &page.records {
                    self.update_record(record, source.as_str());
                }
                return false;
            }
            message::State::Same(mark) => {
                let digest = self.records.digest();
                let page = pages::Page::same(mark.run_id, mark.version, digest);
                (page, None)
            }
            message::State::Changed { page, voters } => (page, voters),
        };
        let before = self.records.version();
        let records = &mut self.records;
        let is_complete = self.marks.store(source, &page, records, |record| {
            state::log_update(record, source.as_str());
        });
        if self.records.version() != before {
            self.publish_records();
        }
        if is_complete {
            self.update_voters(voters.as_ref());
        }
        is_complete
    }

    /// What this instance has, for a request to `receiver`.
    pub(super) fn held(&self, receiver: &name::InstanceName) -> message::Held {
        message::Held {
            digest: self.records.digest(),
            generation: self.electorate.generation(),
            mark: self.marks.get(receiver),
        }
    }

    /// What another instance lacks: at most a page of leaderships, and the voters.
    fn state_beyond(&self, held: &message::Held) -> message::State {
        let (run_id, version) = (self.run_id, self.records.version());
        let is_same = held.digest == self.records.digest();
        let voters = self.electorate.voters();
        let voters = voters.filter(|v| v.generation > held.generation);
        if is_same && voters.is_none() {
            return message::State::Same(pages::Mark { run_id, version });
        }
        let page = match is_same {
            true => pages::Page::same(run_id, version, held.digest),
            false => self.records.page(run_id, held.mark),
        };
        let voters = voters.filter(|_| page.is_last).cloned();
        message::State::Changed { page, voters }
    }

    /// Whether one answer gives another instance everything that it lacks.
    pub(super) fn completes(&self, held: &message::Held) -> bool {
        if held.digest == self.records.digest() {
            return true;
        }
        let page = self.records.page(self.run_id, held.mark);
        let known = held.mark.filter(|m| m.run_id == self.run_id);
        page.is_last && page.after <= known.map_or(0, |m| m.version)
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
        let vouch = self.currency.vouch(now, &self.own);
        let seen = vouch.as_ref().map(|_| self.lag.known(self.seen));
        let reply = message::Message::RenewalReply {
            number: request.number,
            age_us: age.as_micros() as u64,
            held_us: now.since(request.since).as_micros() as u64,
            state: self.state_beyond(&request.held),
            lock: self.tenure.lock().cloned(),
            seen: seen.unwrap_or_default(),
            samples: self
                .exchange
                .answer_wanted(now, request.reference, &request.wanted),
            vouch,
        };
        self.peers.send(request.from, reply);
    }

    /// Restarts the watches of the store when other instances have been ahead for a while.
    pub(super) fn check_lag(&mut self, now: Timestamp, other: message::Seen) {
        // An instance that doesn't watch gets what it lacks from another one.
        if self.lag.record(now, self.seen, other) && self.published.watches() {
            log::warn!("event=behind seen={:?} other={other:?}", self.seen);
            self.restarts.request();
            self.restart_watches(now);
        }
    }
}
