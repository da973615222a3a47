//! A simulated member: a log with terms, fencing, and truncation when it follows a primary.

use std::time;

use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_group::status;

/// An entry of a log: the term that wrote it and the write's number.
pub type Entry = (position::Term, u64);

#[derive(Debug, Clone)]
pub struct Member {
    pub alive: bool,
    pub frozen: bool,
    pub role: status::MemberRole,
    pub term: position::Term,
    pub fenced: position::Term,
    pub log: Vec<Entry>,
    pub following: Option<usize>,
    /// Log length at which the followed term starts; none before its replication stream starts.
    pub term_start: Option<usize>,
    pub last_contact: Timestamp,
}

impl Member {
    pub fn new(is_primary: bool) -> Self {
        let first = position::Term(1);
        Self {
            alive: true,
            frozen: false,
            role: if is_primary {
                status::MemberRole::Primary
            } else {
                status::MemberRole::Replica
            },
            term: first,
            fenced: first,
            log: Vec::new(),
            following: (!is_primary).then_some(0),
            term_start: (!is_primary).then_some(0),
            last_contact: Timestamp(0),
        }
    }

    pub fn answers(&self) -> bool {
        self.alive && !self.frozen
    }

    pub fn is_primary(&self) -> bool {
        self.role == status::MemberRole::Primary
    }

    pub fn status(&self, now: Timestamp) -> status::MemberStatus {
        let end = position::LogPosition(self.log.len() as u64);
        let silence = if self.is_primary() {
            time::Duration::ZERO
        } else {
            now.since(self.last_contact)
        };
        status::MemberStatus {
            role: self.role,
            term: self.term,
            fenced: self.fenced,
            received: end,
            applied: end,
            silence,
            lag: silence,
            leaving: false,
        }
    }

    pub fn fence(&mut self, term: position::Term) -> bool {
        if term < self.fenced {
            return false;
        }
        if self.term < term {
            self.role = status::MemberRole::Replica;
            self.following = None;
            self.term_start = None;
            self.fenced = term;
        }
        true
    }

    pub fn promote(&mut self, term: position::Term) -> bool {
        if self.is_primary() && self.term == term {
            return true;
        }
        if self.fenced != term || self.term >= term {
            return false;
        }
        self.role = status::MemberRole::Primary;
        self.term = term;
        self.following = None;
        self.term_start = None;
        true
    }

    pub fn follow(&mut self, term: position::Term, primary: usize) -> bool {
        if term < self.fenced || term < self.term || (self.is_primary() && self.term == term) {
            return false;
        }
        self.role = status::MemberRole::Replica;
        self.fenced = term;
        self.following = Some(primary);
        self.term_start = None;
        true
    }

    /// Receives from the followed primary: first the start of its stream, then up to
    /// `max_entries` entries.
    pub fn receive(
        &mut self,
        primary: &Member,
        now: Timestamp,
        max_entries: usize,
        early_term: bool,
    ) {
        if !primary.is_primary() || primary.term != self.fenced {
            return;
        }
        self.last_contact = now;
        if self.term_start.is_none() {
            let pairs = self.log.iter().zip(&primary.log);
            let common = pairs.take_while(|(a, b)| a == b).count();
            self.log.truncate(common);
            let older = primary.log.iter().filter(|e| e.0 < primary.term);
            self.term_start = Some(older.count());
            if early_term {
                self.term = primary.term;
            }
        } else {
            let from = self.log.len();
            let new_entries = primary.log[from..].iter().take(max_entries);
            self.log.extend(new_entries.copied());
        }
        if self.term_start.is_some_and(|start| self.log.len() >= start) {
            self.term = primary.term;
        }
    }

    /// Restarts the member; it follows no primary before the next follow command.
    pub fn restart(&mut self) {
        self.alive = true;
        self.following = None;
        self.term_start = None;
    }
}
