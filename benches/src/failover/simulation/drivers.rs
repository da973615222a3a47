//! What the drivers hear and do: polls, messages and the commands of the decisions.

use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::status;

use super::CONNECT_TIME;
use super::MAX_STATUS_WAIT;
use super::RECONNECT_DELAY;
use super::STATUS_TIMEOUT;
use super::Simulation;
use super::ZONE_LATENCY;
use super::ZONES;
use super::latency;
use super::member_name;
use crate::failover;
use crate::failover::schedule;

impl Simulation {
    /// Ends a poll that was sent [`MAX_STATUS_WAIT`] ago, with a report or with a timeout.
    pub(super) fn finish_poll(&mut self, d: usize, m: usize) {
        if !self.has_failed(m) {
            let report = schedule::Message::Report(m, self.status(m));
            self.schedule(latency(d, m), schedule::Event::Message(d, report));
            self.schedule(
                MAX_STATUS_WAIT + latency(d, m) * 2,
                schedule::Event::Poll(d, m),
            );
            return;
        }
        if self.fault == failover::Fault::Partitioned {
            let unreachable = schedule::Message::Unreachable(m, detect::Reach::Timeout);
            self.schedule(STATUS_TIMEOUT, schedule::Event::Message(d, unreachable));
        }
        self.schedule(
            MAX_STATUS_WAIT + RECONNECT_DELAY,
            schedule::Event::Poll(d, m),
        );
    }

    pub(super) fn deliver(&mut self, d: usize, message: schedule::Message) {
        let now = self.now;
        let driver = &mut self.drivers[d];
        match message {
            schedule::Message::LeadershipChanged(leadership, version) => {
                let leadership = &leadership;
                driver.observe(
                    now,
                    event::Event::Leadership {
                        leadership,
                        version,
                    },
                );
            }
            schedule::Message::StoreAnswered(leadership, version) => {
                let leadership = &leadership;
                driver.observe(
                    now,
                    event::Event::Leadership {
                        leadership,
                        version,
                    },
                );
                driver.observe(now, event::Event::StoreAnswered);
            }
            schedule::Message::Unreachable(m, reach) => {
                if let Some(member) = &member_name(m) {
                    driver.observe(now, event::Event::Unreachable { member, reach });
                }
            }
            schedule::Message::Report(m, status) => self.deliver_report(d, m, status),
            schedule::Message::CommandEnded(m, status) => {
                let done = status.is_some();
                if let Some(status) = status {
                    self.deliver_report(d, m, status);
                }
                if let Some(member) = &member_name(m) {
                    self.drivers[d].observe(now, event::Event::CommandEnded { member, done });
                }
            }
        }
    }

    pub(super) fn deliver_report(&mut self, d: usize, m: usize, status: status::MemberStatus) {
        if let Some(member) = &member_name(m) {
            let status = &status;
            self.drivers[d].observe(self.now, event::Event::Report { member, status });
        }
        self.reports[d][m] = Some(status);
    }

    pub(super) fn poll_driver(&mut self, d: usize) {
        for command in self.drivers[d].poll(self.now) {
            let member = match &command {
                event::Command::Write { .. } | event::Command::Read => {
                    if self.change_started_at.is_none() && self.fault_at.is_some() {
                        self.change_started_at = Some(self.now);
                    }
                    self.schedule(ZONE_LATENCY, schedule::Event::Call(d, command));
                    continue;
                }
                event::Command::Fence { member, .. }
                | event::Command::Promote { member, .. }
                | event::Command::Follow { member, .. }
                | event::Command::Probe { member } => member.clone(),
            };
            for m in (0..ZONES).filter(|m| member_name(*m).as_ref() == Some(&member)) {
                let delay = CONNECT_TIME + latency(d, m);
                self.schedule(delay, schedule::Event::Command(d, m, command.clone()));
            }
        }
        if let Some(at) = self.drivers[d].next_wakeup(self.now) {
            self.schedule(at.since(self.now), schedule::Event::Wake(d));
        }
    }
}
