//! What an instance says to the others, and does with what they say.

use std::net;

use cardamomhold_entry::contents;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::currency;
use cardamomhold_entry::follow;
use cardamomhold_lead::renewal;

use super::Disabled;
use super::instance::Instance;
use super::name_of;
use super::store::at;

/// A datagram.
#[derive(Debug, Clone)]
pub enum Message {
    Renewal {
        number: u64,
    },
    Renewed {
        number: u64,
        held_us: u64,
        age_us: u64,
        vouch: Option<currency::Vouch>,
    },
    VouchRequest {
        sent: u64,
    },
    VouchReply {
        sent: u64,
        vouch: Option<currency::Vouch>,
    },
    Contents(contents::Message),
}

impl Instance {
    fn vouch(&self, now: u64) -> Option<currency::Vouch> {
        let vouch = self.process.currency.vouch(at(now), &name_of(self.index))?;
        let ages_us = match self.disabled {
            Disabled::Ages => [vouch.ages_us[0]; 3],
            Disabled::Nothing | Disabled::Backoff => vouch.ages_us,
        };
        Some(currency::Vouch { ages_us, ..vouch })
    }

    pub(super) fn answer_renewal(&mut self, now: u64, to: usize, number: u64, since: u64) {
        let lease = &self.process.lease;
        let age = lease.age(at(now)).filter(|_| lease.may_confirm_others());
        if let Some(age) = age {
            let reply = Message::Renewed {
                number,
                held_us: (now - since) * 1_000,
                age_us: age.as_micros() as u64,
                vouch: self.vouch(now),
            };
            self.sent.push((to, reply));
        }
    }

    fn record_vouch(&mut self, now: u64, given: u64, from: usize, vouch: &currency::Vouch) {
        let process = &mut self.process;
        process
            .currency
            .record_vouch(&name_of(self.index), at(given), vouch);
        let address = net::SocketAddr::from(([127, 0, 0, 1], from as u16 + 1));
        for (kind, head) in Kind::ALL.into_iter().zip(vouch.heads) {
            if process.currency.is_behind(kind, head) {
                let newer = follow::Command::Newer(address, head);
                process.followers[kind as usize].handle(at(now), newer);
            }
        }
        self.publish_modes(now);
    }

    pub fn receive(&mut self, now: u64, from: usize, message: Message) {
        match message {
            Message::Renewal { number } => {
                self.process.renewal.record_request(at(now));
                let age = self.process.lease.age(at(now));
                match age.is_some_and(|age| age <= renewal::MAX_FRESH_AGE) {
                    true => self.answer_renewal(now, from, number, now),
                    false => self.process.held.push((from, number, now)),
                }
            }
            Message::Renewed {
                number,
                held_us,
                age_us,
                vouch,
            } => {
                let asked = self
                    .process
                    .asked
                    .iter()
                    .find(|a| a.number == number)
                    .copied();
                let Some(asked) = asked else {
                    return;
                };
                self.process.asked.retain(|a| a.number > number);
                self.process.renewal.record_answer(asked.level);
                let given = (asked.sent + held_us / 1_000).min(now);
                if let Some(vouch) = &vouch {
                    self.record_vouch(now, given, from, vouch);
                }
                self.confirm(now, given.saturating_sub(age_us / 1_000));
            }
            Message::VouchRequest { sent } => {
                let vouch = self.vouch(now);
                self.sent.push((from, Message::VouchReply { sent, vouch }));
            }
            Message::VouchReply { sent, vouch } => {
                if let Some(vouch) = vouch {
                    self.record_vouch(now, sent, from, &vouch);
                }
            }
            Message::Contents(message) => {
                let kind = message.objects() as usize;
                let source = net::SocketAddr::from(([127, 0, 0, 1], from as u16 + 1));
                let received = follow::Command::Received(source, message);
                self.process.followers[kind].handle(at(now), received);
            }
        }
    }
}
