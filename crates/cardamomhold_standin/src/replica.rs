//! A member's part in replication: fencing, promotion, following, applying.

use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;

use crate::engine;
use crate::follow;
use crate::log;
use crate::member::Member;
use crate::member::Pending;

impl Member {
    pub(crate) fn fence(&mut self, term: position::Term) -> bool {
        let status = self.status();
        if term < status.fenced {
            return false;
        }
        if status.term < term {
            self.stop_following();
            self.publisher.send_modify(|p| {
                p.status.role = status::MemberRole::Replica;
                p.status.fenced = term;
            });
        }
        true
    }

    pub(crate) fn promote(&mut self, term: position::Term) -> bool {
        let status = self.status();
        if status.role == status::MemberRole::Primary && status.term == term {
            return true;
        }
        if status.fenced != term || status.term >= term {
            return false;
        }
        self.stop_following();
        self.apply_all();
        let now = time::Instant::now();
        self.publisher.send_modify(|p| {
            p.status.role = status::MemberRole::Primary;
            p.status.term = term;
            p.heard = now;
            p.fresh = now;
        });
        true
    }

    pub(crate) fn follow(&mut self, term: position::Term, address: String) -> bool {
        let status = self.status();
        if term < status.fenced || term < status.term {
            return false;
        }
        if status.role == status::MemberRole::Primary && status.term == term {
            return false;
        }
        self.stop_following();
        self.publisher.send_modify(|p| {
            p.status.role = status::MemberRole::Replica;
            p.status.fenced = term;
        });
        let Some(requests) = self.requests.upgrade() else {
            return false;
        };
        self.stream += 1;
        let target = follow::Target {
            stream: self.stream,
            term,
            address,
            group: self.options.group.clone(),
            name: self.options.name.clone(),
        };
        self.follower = Some(tokio::spawn(follow::run(target, requests.downgrade())));
        true
    }

    pub(crate) fn stop_following(&mut self) {
        if let Some(task) = self.follower.take() {
            task.abort();
        }
        self.joined = None;
    }

    pub(crate) fn joined(
        &mut self,
        term: position::Term,
        at: position::LogPosition,
        first: position::LogPosition,
    ) {
        if term != self.status().fenced || self.is_primary() {
            return;
        }
        if at < self.log.end() {
            self.log.truncate(at);
            self.rebuild();
        }
        self.joined = Some(first);
        let now = time::Instant::now();
        let end = self.log.end();
        let term = self.term_at(end, term);
        self.publisher.send_modify(|p| {
            p.status.term = term;
            p.status.received = end;
            p.heard = now;
        });
    }

    /// The term of a log that ends here: the followed one once everything before that
    /// term's start is here.
    ///
    /// Before that the log may lack confirmed entries of older terms, and must not count
    /// as one of the new term.
    pub(crate) fn term_at(
        &self,
        end: position::LogPosition,
        followed: position::Term,
    ) -> position::Term {
        if self.joined.is_some_and(|first| end >= first) {
            return followed;
        }
        self.status().term
    }

    pub(crate) fn rebuild(&mut self) {
        self.pending.clear();
        let Ok(fresh) = engine::Engine::new() else {
            return;
        };
        self.engine = fresh;
        for entry in self.log.after(position::LogPosition(0)) {
            if let Err(error) = self.engine.commit(&entry.statements) {
                ::log::error!(
                    "event=replay_failed member={} error=\"{error}\"",
                    self.options.name
                );
            }
        }
        let end = self.log.end();
        self.publisher.send_modify(|p| p.status.applied = end);
    }

    pub(crate) fn received(&mut self, term: position::Term, entries: Vec<log::Entry>) {
        let is_stale = self.joined.is_none() || term != self.status().fenced;
        if is_stale || self.is_primary() {
            return;
        }
        let taken = time::Instant::now();
        let due = tokio::time::Instant::now() + self.options.apply_lag;
        for entry in entries {
            self.log.append(entry.clone());
            self.pending.push_back(Pending { due, taken, entry });
        }
        let end = self.log.end();
        let is_caught_up = self.pending.is_empty();
        let term = self.term_at(end, term);
        // Whoever waits for the log to move must see its term at the same moment.
        self.publisher.send_modify(|p| {
            p.status.term = term;
            p.status.received = end;
            p.heard = taken;
            if is_caught_up {
                p.fresh = taken;
            }
        });
    }

    pub(crate) fn apply_due(&mut self) {
        let now = tokio::time::Instant::now();
        while self.pending.front().is_some_and(|p| p.due <= now) {
            self.apply_next();
        }
    }

    pub(crate) fn apply_all(&mut self) {
        while !self.pending.is_empty() {
            self.apply_next();
        }
    }

    pub(crate) fn apply_next(&mut self) {
        let Some(pending) = self.pending.pop_front() else {
            return;
        };
        if let Err(error) = self.engine.commit(&pending.entry.statements) {
            ::log::error!(
                "event=apply_failed member={} error=\"{error}\"",
                self.options.name
            );
        }
        self.publisher.send_modify(|p| {
            p.status.applied.0 += 1;
            p.fresh = pending.taken;
        });
    }
}
