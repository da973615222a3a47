//! Handling of messages from other instances.

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::message;
use crate::swim;
use crate::timing;

impl swim::Swim {
    /// Handles a message received from `address` and adds the answers to `outputs`.
    pub fn receive(
        &mut self,
        address: &str,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        self.detect_pause(now);
        self.last_received = now;
        if message.from == self.own.name {
            return;
        }
        for rumor in &message.rumors {
            self.apply_rumor(rumor, now);
        }
        self.apply_fields(address, message, now, outputs);
        let lacks_rumor = self.lacks_rumor(message);
        match &message.kind {
            message::Kind::Ping => {
                let mut ack = self.message(message::Kind::Ack, message.sequence);
                ack.joining = lacks_rumor;
                if message.joining || lacks_rumor {
                    self.add_own_rumor(&mut ack);
                }
                self.add_rumor(&message.from, &mut ack);
                outputs.push(message::Output::Send(address.to_owned(), ack));
            }
            message::Kind::Ack => self.handle_ack(message, now, outputs),
            message::Kind::PingRequest(target) => {
                self.relay(address, message.sequence, target, outputs);
            }
        }
        if lacks_rumor && message.kind == message::Kind::Ack {
            self.ping(address.to_owned(), true, outputs);
        }
    }

    /// Whether the sender's newest rumour is missing here: the sender is unknown, or its
    /// incarnation is newer than the known one.
    fn lacks_rumor(&self, message: &message::Message) -> bool {
        match self.roster.get(&message.from) {
            Some(known) => known.rumor.incarnation < message.incarnation,
            None => true,
        }
    }

    /// Updates the state from the fields of a message other than its rumours.
    fn apply_fields(
        &mut self,
        address: &str,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        if let Some(known) = self.roster.get(&message.from) {
            let zone = known.rumor.instance.zone.clone();
            if self.probe.message_received(&zone) {
                self.revision += 1;
                // Rumours of that zone may not have reached the own zone meanwhile.
                outputs.push(message::Output::Sync(address.to_owned()));
            }
        }
        if let Some(age) = message.answer_age {
            let answered_at = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
            self.last_answer = Some(
                self.last_answer
                    .map_or(answered_at, |known| known.max(answered_at)),
            );
        }
        if message.through > self.through {
            outputs.push(message::Output::Pull(address.to_owned(), message.through));
        }
    }

    fn handle_ack(
        &mut self,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        self.probe.ack_received(message.sequence);
        if let Some(rejoin) = &mut self.rejoin
            && message.sequence > rejoin.sequence
            && rejoin.through.is_none()
        {
            rejoin.through = Some(message.through);
            self.end_rejoin(now);
        }
        if let Some((address, sequence)) = self.relays.remove(&message.sequence) {
            let ack = self.message(message::Kind::Ack, sequence);
            outputs.push(message::Output::Send(address, ack));
        }
    }

    fn relay(
        &mut self,
        requester: &str,
        request_sequence: u64,
        target: &name::InstanceName,
        outputs: &mut Vec<message::Output>,
    ) {
        let Some(known) = self.roster.get(target) else {
            return;
        };
        let address = known.rumor.instance.address.clone();
        let sequence = self.ping(address, false, outputs);
        self.relays
            .insert(sequence, (requester.to_owned(), request_sequence));
        while self.relays.len() > timing::MAX_RELAYS {
            self.relays.pop_first();
        }
    }
}
