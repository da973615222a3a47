//! How the coordinator renews the lease on the leaderships.

use std::collections;
use std::net;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::renewal;
use cardamomhold_lead::round;

use crate::control;
use crate::coordinator::Coordinator;
use crate::coordinator::HeldRequest;
use crate::coordinator::RenewalRequest;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::store;
use crate::view;

/// Number of renewal requests whose answers are still accepted: a reader may answer one only after
/// the next has been sent.
const MAX_OPEN_REQUESTS: usize = 4;

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn handle_control(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        control: &control::Control,
    ) {
        for (record, _) in control.records.values() {
            self.update_record(&record.leadership, "store");
        }
        self.update_voters(control.voters.as_ref().map(|(v, _)| v));
        self.electorate
            .record_revision(control.voters.as_ref().map(|(_, revision)| *revision));
        self.update_lock(now, control.lock.as_ref().map(|(l, _)| l));
        self.store_answered = Some(now);
        if let Some((since, problem)) = self.outage.take() {
            log::info!("event=store_regained after=\"{problem}\"");
            self.restarts.request();
            self.restart_watches(now);
            if now.since(since) >= promotion_lock::HOLDER_TIMEOUT {
                self.store_regained = Some(now);
            }
        }
        self.extend_lease(now, sent);
        self.create_leaderships(now);
    }

    /// Extends the lease by a confirmation as of `sent`, and publishes its end.
    pub(super) fn extend_lease(&mut self, now: Timestamp, sent: Timestamp) {
        let before = self.lease.expiry();
        self.lease.confirm(sent);
        let until = self.lease.expiry();
        if until > before {
            self.answer_held(now);
        }
        self.published
            .leases
            .send_if_modified(|s| until > std::mem::replace(&mut s.until, until));
        self.publish_isolation(now);
        self.log_lease_change(now);
        self.tell_voters();
    }

    /// Publishes whether this instance is isolated, if that has changed.
    pub(super) fn publish_isolation(&self, now: Timestamp) {
        self.published.leases.send_if_modified(|lease| {
            let isolation = lease.isolation_at(now);
            let before = std::mem::replace(&mut lease.isolation, isolation);
            if before != isolation && isolation.max(before) > view::Isolation::Fading {
                log::info!("event=isolation state={isolation:?}");
            }
            before != isolation
        });
    }

    /// Logs the start and the end of the lease.
    pub(super) fn log_lease_change(&mut self, now: Timestamp) {
        let is_leased = self.lease.is_valid(now);
        if is_leased == self.is_leased {
            return;
        }
        self.is_leased = is_leased;
        let event = if is_leased {
            "lease_gained"
        } else {
            "lease_lost"
        };
        log::info!(
            "event={event} answered_ms_ago={}",
            self.store_answered.map_or(0, |t| now.since(t).as_millis())
        );
    }

    /// Sends the renewal requests that are due: to the store, to the zone's reader or to all
    /// other instances.
    pub(super) fn renew_lease(&mut self, now: Timestamp) {
        let remaining = self.lease.expiry().since(now);
        let (level, reader) = self.choose_reader(now);
        let is_reader = reader == self.own;
        let keeps_voters = is_reader && level == renewal::Level::Fleet;
        self.keep_voters(now, keeps_voters && self.outage.is_none());
        let address = self.instances.get(reader.as_str()).map(|e| e.address);
        let is_disconnected = self.outage.is_some();
        let requests = self
            .renewal
            .next(now, remaining, is_reader, is_disconnected);
        if requests.store {
            self.control_reader.read();
        }
        if requests.reader
            && let Some(address) = address
        {
            self.send_renewal(now, level, &reader, address);
        }
        if requests.majority && !self.instances.is_empty() {
            self.start_round(now);
        }
    }

    /// The instance that this one asks to confirm its leaderships; itself if it reads the store.
    fn choose_reader(&mut self, now: Timestamp) -> (renewal::Level, name::InstanceName) {
        let preferred = registry::reader(&self.instances, &self.own, 0);
        if *preferred != self.own && !self.renewal.acts_as_reader(now) {
            let level = renewal::Level::Zone;
            let skipped = self.renewal.skipped_readers(now, level);
            let reader = registry::reader(&self.instances, &self.own, skipped);
            if *reader != self.own {
                return (level, reader.clone());
            }
        }
        let level = renewal::Level::Fleet;
        let first = registry::fleet_reader(&self.instances, &self.own, 0);
        let skipped = match *first == self.own {
            true => 0,
            false => self.renewal.skipped_readers(now, level),
        };
        let reader = registry::fleet_reader(&self.instances, &self.own, skipped);
        (level, reader.clone())
    }

    pub(super) fn send_renewal(
        &mut self,
        now: Timestamp,
        level: renewal::Level,
        reader: &name::InstanceName,
        address: net::SocketAddr,
    ) {
        self.last_request += 1;
        let number = self.last_request;
        let sent = RenewalRequest {
            number,
            sent: now,
            level,
        };
        self.requests.push_back(sent);
        while self.requests.len() > MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        // Who asks the reader of the fleet passes samples on to its zone.
        let is_relaying = level == renewal::Level::Fleet;
        let request = message::Message::RenewalRequest {
            number,
            held: self.held(reader),
            seen: self.seen,
            report: self.exchange.report(),
            wanted: self.interest.wanted(now, is_relaying),
        };
        self.peers.send(address, request);
    }

    /// Answers a renewal request at once if the last confirmation is young, or if the answer
    /// confirms nothing because it has only some of the leaderships that the other instance lacks.
    /// Otherwise keeps it for the next confirmation, which then is new for the other instance too.
    pub(super) fn hold_renewal(
        &mut self,
        now: Timestamp,
        name: &name::InstanceName,
        request: HeldRequest,
    ) {
        if !self.answer_budget.admit(now) {
            return;
        }
        let age = self.lease.age(now);
        let is_fresh = age.is_some_and(|age| age <= renewal::MAX_FRESH_AGE);
        if is_fresh || !self.completes(&request.held) {
            self.answer_renewal(now, &request);
            return;
        }
        self.held.insert(name.clone(), request);
    }

    /// Answers the renewal requests that wait.
    fn answer_held(&mut self, now: Timestamp) {
        for request in std::mem::take(&mut self.held).into_values() {
            self.answer_renewal(now, &request);
        }
    }

    /// Answers the renewal requests that have waited for long without a new confirmation.
    pub(super) fn answer_overdue(&mut self, now: Timestamp) {
        let shed = self.answer_budget.take_shed();
        if shed > 0 {
            log::warn!("event=renewals_shed count={shed}");
        }
        let is_overdue = |r: &HeldRequest| now >= r.since.after(renewal::MAX_HOLD);
        let (overdue, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, request)| is_overdue(request));
        self.held = held;
        let overdue: collections::BTreeMap<_, _> = overdue;
        for request in overdue.into_values() {
            self.answer_renewal(now, &request);
        }
    }

    /// Starts a majority round: asks all voters for their leaderships.
    pub(super) fn start_round(&mut self, now: Timestamp) {
        let Some(voters) = self.electorate.voters() else {
            return;
        };
        self.last_round += 1;
        let number = self.last_round;
        self.round = Some(round::Round::new(number, now, voters));
        for name in voters.names() {
            let entry = self.instances.get(name.as_str());
            if let Some(entry) = entry.filter(|_| name != self.own) {
                let held = self.held(&name);
                let request = message::Message::LeadershipRequest { number, held };
                self.peers.send(entry.address, request);
            }
        }
        if self.lease.may_confirm_others() {
            let own = self.own.clone();
            let generation = self.electorate.generation();
            self.count_answer(now, number, generation, &own);
        }
    }
}
