//! Messages sent by an instance, with their rumours.

use cardamomhold_core::name;

use crate::fleet;
use crate::message;
use crate::swim::Swim;
use crate::timing;

impl Swim {
    /// Sends a ping and returns its sequence number.
    pub(crate) fn ping(
        &mut self,
        address: String,
        joining: bool,
        outputs: &mut Vec<message::Output>,
    ) -> u64 {
        self.sequence += 1;
        let mut ping = self.message(message::Kind::Ping, self.sequence);
        ping.joining = joining;
        if joining {
            self.add_own_rumor(&mut ping);
        }
        outputs.push(message::Output::Send(address, ping));
        self.sequence
    }

    /// A message with the rumours that are next in the queue.
    pub(crate) fn message(&mut self, kind: message::Kind, sequence: u64) -> message::Message {
        message::Message {
            from: self.own.name.clone(),
            incarnation: self.incarnation,
            sequence,
            kind,
            rumors: self.roster.next_rumors(timing::MAX_RUMOR_BYTES),
            through: self.through,
            answer_age: self
                .last_answer
                .map(|answered_at| self.last_tick.since(answered_at)),
            joining: false,
        }
    }

    /// Adds this instance's own rumour.
    pub(crate) fn add_own_rumor(&self, message: &mut message::Message) {
        self.add_rumor(&self.own.name, message);
    }

    /// Adds the rumour about an instance if that instance isn't alive, so that it can refute the
    /// rumour, or if it is this instance, so that the receiver learns of it.
    pub(crate) fn add_rumor(&self, name: &name::InstanceName, message: &mut message::Message) {
        let Some(known) = self.roster.get(name) else {
            return;
        };
        let not_alive = known.rumor.instance.state != fleet::InstanceState::Alive;
        let is_included = message.rumors.contains(&known.rumor);
        if !is_included && (not_alive || *name == self.own.name) {
            message.rumors.push(known.rumor.clone());
        }
    }
}
