//! What the members do, reduced to what a trial without lost writes needs.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::event;
use cardamomhold_group::status;

use super::CONNECT_TIME;
use super::CONNECT_TIMEOUT;
use super::HEARTBEAT_INTERVAL;
use super::Simulation;
use super::ZONE_LATENCY;
use super::latency;
use crate::failover;
use crate::failover::schedule;

impl Simulation {
    pub(super) fn has_failed(&self, m: usize) -> bool {
        m == 0 && self.fault_at.is_some() && self.fault != failover::Fault::SwitchedOver
    }

    /// Returns the time of the last heartbeat that a replica received from the first primary.
    pub(super) fn last_heartbeat(&self) -> Timestamp {
        let until = self
            .fault_at
            .filter(|_| self.has_failed(0))
            .unwrap_or(self.now);
        let interval = HEARTBEAT_INTERVAL.as_micros() as u64;
        let intervals = until.0.saturating_sub(self.first_heartbeat.0) / interval;
        Timestamp(self.first_heartbeat.0 + intervals * interval)
    }

    pub(super) fn status(&self, m: usize) -> status::MemberStatus {
        let member = &self.members[m];
        let joined = member.joins_at.is_some_and(|at| at <= self.now);
        let silence = match member.role {
            status::MemberRole::Primary => time::Duration::ZERO,
            status::MemberRole::Replica if joined && member.fenced > position::Term(1) => {
                time::Duration::ZERO
            }
            status::MemberRole::Replica => self.now.since(self.last_heartbeat()),
        };
        status::MemberStatus {
            role: member.role,
            term: if joined { member.fenced } else { member.term },
            fenced: member.fenced,
            received: position::LogPosition(1_000),
            applied: position::LogPosition(1_000),
            silence,
            lag: silence,
            leaving: false,
        }
    }

    pub(super) fn receive_command(&mut self, d: usize, m: usize, command: &event::Command) {
        if self.has_failed(m) {
            let wait = match self.fault {
                failover::Fault::Partitioned => CONNECT_TIMEOUT,
                failover::Fault::Killed | failover::Fault::SwitchedOver => latency(d, m),
            };
            self.schedule(
                wait,
                schedule::Event::Message(d, schedule::Message::CommandEnded(m, None)),
            );
            return;
        }
        let done = self.apply_command(m, command);
        let status = done.then(|| self.status(m));
        self.schedule(
            latency(d, m),
            schedule::Event::Message(d, schedule::Message::CommandEnded(m, status)),
        );
    }

    /// Applies a command by the members' rules, reduced to what a trial without lost writes needs.
    /// Returns whether the member accepted the command.
    pub(super) fn apply_command(&mut self, m: usize, command: &event::Command) -> bool {
        let now = self.now;
        let member = &mut self.members[m];
        match command {
            event::Command::Fence { term, .. } if member.term < *term => {
                member.role = status::MemberRole::Replica;
                member.fenced = *term;
                member.joins_at = None;
                true
            }
            event::Command::Fence { .. } => true,
            event::Command::Promote { term, .. } => {
                let is_ready = member.fenced == *term;
                if is_ready {
                    member.role = status::MemberRole::Primary;
                    member.term = *term;
                }
                is_ready
            }
            event::Command::Follow { term, .. } => {
                member.fenced = *term;
                if member.joins_at.is_none() {
                    member.joins_at = Some(now.after(CONNECT_TIME + ZONE_LATENCY * 2));
                }
                true
            }
            event::Command::Probe { .. } | event::Command::Write { .. } | event::Command::Read => {
                true
            }
        }
    }
}
