//! Messages that an instance sends, with the rumours they carry.

use cardamomhold_core::name;

use crate::fleet;
use crate::message;
use crate::swim::Swim;
use crate::timing;

impl Swim {
    /// Sends a ping; returns its number.
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
            self.introduce(&mut ping);
        }
        outputs.push(message::Output::Send(address, ping));
        self.sequence
    }

    /// A message with the news that are due.
    pub(crate) fn message(&mut self, kind: message::Kind, sequence: u64) -> message::Message {
        message::Message {
            from: self.own.name.clone(),
            incarnation: self.incarnation,
            sequence,
            kind,
            rumors: self.roster.take(timing::RUMOR_BYTES),
            through: self.through,
            heard: self.heard.map(|at| self.last_tick.since(at)),
            joining: false,
        }
    }

    pub(crate) fn introduce(&self, message: &mut message::Message) {
        self.tell_of(&self.own.name, message);
    }

    /// Adds what is known of an instance, so that it can contradict or be known.
    pub(crate) fn tell_of(&self, name: &name::InstanceName, message: &mut message::Message) {
        let Some(known) = self.roster.get(name) else {
            return;
        };
        let is_news = known.rumor.instance.state != fleet::InstanceState::Alive;
        let is_said = message.rumors.contains(&known.rumor);
        if !is_said && (is_news || *name == self.own.name) {
            message.rumors.push(known.rumor.clone());
        }
    }
}
