//! Members with their logs, replication, and promotions on their way.

use std::collections;

use cardamomhold_core::position;
use cardamomhold_lead::candidate;
use rand::RngExt;

use super::World;
use super::index_of;

#[derive(Debug, Clone, Default)]
pub struct Member {
    pub log: Vec<(u64, u64)>,
    pub term: u64,
    pub is_primary: bool,
    pub is_down: bool,
    /// Out of reach of the instances that change the primary, and of the other members.
    pub is_cut: bool,
    /// Receives no commits.
    pub is_deaf: bool,
    /// About to be stopped; it goes on to receive.
    pub is_leaving: bool,
}

impl World {
    pub fn status(&self, index: usize) -> candidate::Status {
        let member = &self.members[index];
        let last = member.log.last().map_or(1, |(term, _)| *term);
        let term = if self.has_member_terms {
            member.term
        } else {
            last
        };
        let role = match member.is_primary {
            true => candidate::Role::Primary,
            false => candidate::Role::Replica,
        };
        let log = position::LogPosition(member.log.len() as u64);
        candidate::Status {
            role,
            term: position::Term(member.term),
            received: position::Position::new(position::Term(term), log),
        }
    }

    pub fn newest(&self) -> u64 {
        self.members.iter().map(|m| m.term).max().unwrap()
    }

    /// Members lose and regain their neighbours, their process and their log's stream.
    pub fn disturb(&mut self) {
        let index = self.random.random_range(0..self.members.len());
        let kinds = if self.sync_replicas > 0 { 4 } else { 3 };
        let kind = self.random.random_range(0..kinds);
        let is_begun = self.has_chance(50);
        let member = &mut self.members[index];
        match kind {
            0 => member.is_down = is_begun,
            1 => member.is_cut = is_begun,
            3 => member.is_leaving = is_begun,
            _ => member.is_deaf = is_begun,
        }
    }

    pub fn replicate(&mut self) {
        for leader in 0..self.members.len() {
            let source = self.members[leader].clone();
            if !source.is_primary || source.is_down || source.is_cut {
                continue;
            }
            let is_newest = source.term == self.newest();
            for (index, member) in self.members.iter_mut().enumerate() {
                let is_reached = !member.is_down && !member.is_cut && !member.is_deaf;
                // A replaced primary goes on with those that haven't heard of its successor.
                let follows = match is_newest {
                    true => member.term <= source.term,
                    false => member.term == source.term && !member.is_primary,
                };
                if index == leader || !is_reached || !follows {
                    continue;
                }
                member.is_primary = false;
                member.term = source.term;
                let common = member.log.iter().zip(&source.log);
                let common = common.take_while(|(a, b)| a == b).count();
                member.log.truncate(common);
                member.log.extend(&source.log[common..]);
            }
        }
        self.acknowledge();
    }

    /// A client of the recorded primary writes; clients may be cut off together with it.
    pub fn commit(&mut self) {
        let Some(primary) = &self.record.leadership.primary else {
            return;
        };
        let id = self.next_id;
        let member = &mut self.members[index_of(primary)];
        if member.is_primary && !member.is_down {
            member.log.push((member.term, id));
            self.next_id += 1;
            self.pending.push(id);
            self.acknowledge();
        }
    }

    /// Acknowledges the commits that the primary and enough replicas have.
    pub fn acknowledge(&mut self) {
        let Some(primary) = &self.record.leadership.primary else {
            return;
        };
        let primary = index_of(primary);
        if self.members[primary].is_down {
            return;
        }
        let mut pending = Vec::new();
        for id in std::mem::take(&mut self.pending) {
            let holds = |member: &Member| member.log.iter().any(|(_, held)| *held == id);
            let others = self.members.iter().enumerate();
            let replicas = others.filter(|(index, m)| *index != primary && holds(m));
            match replicas.count() >= self.sync_replicas && holds(&self.members[primary]) {
                true => self.acked.push(id),
                false => pending.push(id),
            }
        }
        self.pending = pending;
    }

    pub fn take_effect(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.calls.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, index) in due {
            let newest = self.newest();
            let member = &mut self.members[index];
            let leads = member.is_primary && member.term == newest;
            if !member.is_down && !leads {
                member.is_primary = true;
                member.term = newest + 1;
                self.lost += self.lacks_acked(index);
            }
        }
    }

    /// Number of acknowledged commits that a member lacks, of a group with synchronous replicas.
    pub fn lacks_acked(&self, index: usize) -> usize {
        if self.sync_replicas == 0 {
            return 0;
        }
        let log = &self.members[index].log;
        let held: collections::BTreeSet<u64> = log.iter().map(|(_, id)| *id).collect();
        self.acked.iter().filter(|id| !held.contains(id)).count()
    }
}
