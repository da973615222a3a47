//! How the keeper renews the lease on the leaderships.

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::round;

use crate::control;
use crate::keeper::Keeper;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::store;

impl<S, C, P> Keeper<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn confirmed(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        control: &control::Control,
    ) {
        for (record, _) in control.records.values() {
            self.learn(record, "store");
        }
        self.learn_duty(control.duty.as_ref().map(|(d, _)| d));
        self.answered = Some(now);
        if let Some((since, problem)) = self.outage.take() {
            log::info!("event=store_regained after=\"{problem}\"");
            self.published.epoch.send_modify(|e| *e += 1);
            if now.since(since) >= promotion_lock::HOLDER_TIMEOUT {
                self.regained = Some(now);
            }
        }
        self.confirm(now, asked);
        self.found_missing(now);
    }

    pub(super) fn learn_duty(&mut self, duty: Option<&promotion_lock::PromotionLock>) {
        let Some(duty) = duty else {
            return;
        };
        if self
            .duty
            .as_ref()
            .is_some_and(|known| known.token >= duty.token)
        {
            return;
        }
        log::info!("event=duty holder={} token={}", duty.holder, duty.token);
        self.duty = Some(duty.clone());
        self.heard = None;
    }

    pub(super) fn confirm(&mut self, now: Timestamp, asked: Timestamp) {
        self.lease.confirm(asked);
        let until = self.lease.expiry();
        self.published
            .standing
            .send_if_modified(|s| until > std::mem::replace(&mut s.until, until));
        self.note_lease(now);
    }

    /// Reports the lease when it begins or ends.
    pub(super) fn note_lease(&mut self, now: Timestamp) {
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
            self.answered.map_or(0, |at| now.since(at).as_millis())
        );
    }

    /// Asks whoever can confirm the leaderships.
    pub(super) fn renew(&mut self, now: Timestamp) {
        let left = self.lease.expiry().since(now);
        let first = registry::reader(&self.instances, &self.own, 0);
        let silent = match *first == self.own {
            true => 0,
            false => self.renewal.skipped_readers(now),
        };
        let reader = registry::reader(&self.instances, &self.own, silent);
        let is_reader = *reader == self.own || self.renewal.acts_as_reader(now);
        let address = self.instances.get(reader.as_str()).map(|e| e.address);
        let is_away = self.outage.is_some();
        let questions = self.renewal.next(now, left, is_reader, is_away);
        if questions.store {
            self.reading.read();
        }
        if questions.reader
            && let Some(address) = address
        {
            self.asked = (self.asked.0 + 1, now);
            let renew = message::Message::Renew {
                number: self.asked.0,
                known: self.records.digest(),
                seen: self.seen,
                report: self.exchange.report(),
            };
            self.peers.send(address, renew);
        }
        if questions.majority && !self.instances.is_empty() {
            self.ask_majority(now);
        }
    }

    pub(super) fn ask_majority(&mut self, now: Timestamp) {
        self.next_round += 1;
        let number = self.next_round;
        self.round = Some(round::Round::new(number, now, self.instances.len()));
        let known = self.records.digest();
        self.broadcast(&message::Message::Ask { number, known });
        if self.lease.may_confirm_others() {
            let own = self.own.clone();
            self.count_answer(now, number, &own);
        }
    }
}
