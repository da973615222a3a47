//! What an instance makes of the messages of others.

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::message;
use crate::swim;
use crate::timing;

impl swim::Swim {
    /// Takes a message in.
    pub fn receive(
        &mut self,
        address: &str,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        self.wake(now);
        self.contact = now;
        if message.from == self.own.name {
            return;
        }
        for rumor in &message.rumors {
            self.learn(rumor, now);
        }
        self.note(address, message, now, outputs);
        let is_unknown = self.is_outdated(message);
        match &message.kind {
            message::Kind::Ping => {
                let mut ack = self.message(message::Kind::Ack, message.sequence);
                ack.joining = is_unknown;
                if message.joining || is_unknown {
                    self.introduce(&mut ack);
                }
                self.tell_of(&message.from, &mut ack);
                outputs.push(message::Output::Send(address.to_owned(), ack));
            }
            message::Kind::Ack => self.acked(message, now, outputs),
            message::Kind::PingRequest(target) => {
                self.relay(address, message.sequence, target, outputs);
            }
        }
        if is_unknown && message.kind == message::Kind::Ack {
            self.ping(address.to_owned(), true, outputs);
        }
    }

    /// Whether the sender is in another life or state than is known here.
    fn is_outdated(&self, message: &message::Message) -> bool {
        match self.roster.get(&message.from) {
            Some(known) => known.rumor.incarnation < message.incarnation,
            None => true,
        }
    }

    /// Takes note of what a message says besides its rumours.
    fn note(
        &mut self,
        address: &str,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        if let Some(known) = self.roster.get(&message.from) {
            let zone = known.rumor.instance.zone.clone();
            if self.probe.reached(&zone) {
                self.revision += 1;
                // What the zone decided meanwhile was told to nobody here.
                outputs.push(message::Output::Sync(address.to_owned()));
            }
        }
        if let Some(age) = message.heard {
            let at = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
            self.heard = Some(self.heard.map_or(at, |known| known.max(at)));
        }
        if message.through > self.through {
            outputs.push(message::Output::Pull(address.to_owned(), message.through));
        }
    }

    fn acked(
        &mut self,
        message: &message::Message,
        now: Timestamp,
        outputs: &mut Vec<message::Output>,
    ) {
        self.probe.acked(message.sequence);
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
        asker: &str,
        asked: u64,
        target: &name::InstanceName,
        outputs: &mut Vec<message::Output>,
    ) {
        let Some(known) = self.roster.get(target) else {
            return;
        };
        let address = known.rumor.instance.address.clone();
        let sequence = self.ping(address, false, outputs);
        self.relays.insert(sequence, (asker.to_owned(), asked));
        while self.relays.len() > timing::RELAYS {
            self.relays.pop_first();
        }
    }
}
