//! Replication side of a member: fencing, promotion, following, and applying entries.

use std::time;

use cardamomhold_core::position;
use cardamomhold_group::status;

use crate::engine;
use crate::follow;
use crate::log;
use crate::member::Member;
use crate::member::PendingEntry;

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
            p.last_contact = now;
            p.data_time = now;
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
        self.stream_id += 1;
        let target = follow::Target {
            stream_id: self.stream_id,
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
        self.followed_term_start = None;
    }

    pub(crate) fn start_stream(
        &mut self,
        term: position::Term,
        start: position::LogPosition,
        term_start: position::LogPosition,
    ) {
        if term != self.status().fenced || self.is_primary() {
            return;
        }
        if start < self.log.end() {
            self.log.truncate(start);
            self.rebuild();
        }
        self.followed_term_start = Some(term_start);
        let now = time::Instant::now();
        let end = self.log.end();
        let term = self.term_at(end, term);
        self.publisher.send_modify(|p| {
            p.status.term = term;
            p.status.received = end;
            p.last_contact = now;
        });
    }

    /// Returns the term of a log that ends at `end`: the followed term once the log contains
    /// every entry before that term's start.
    ///
    /// Before that, the log may lack confirmed entries of older terms and must not count as a
    /// log of the new term.
    pub(crate) fn term_at(
        &self,
        end: position::LogPosition,
        followed: position::Term,
    ) -> position::Term {
        if self
            .followed_term_start
            .is_some_and(|term_start| end >= term_start)
        {
            return followed;
        }
        self.status().term
    }

    pub(crate) fn rebuild(&mut self) {
        self.pending.clear();
        let Ok(engine) = engine::Engine::new() else {
            return;
        };
        self.engine = engine;
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

    pub(crate) fn receive_entries(&mut self, term: position::Term, entries: Vec<log::Entry>) {
        let is_stale = self.followed_term_start.is_none() || term != self.status().fenced;
        if is_stale || self.is_primary() {
            return;
        }
        let received_at = time::Instant::now();
        let apply_at = tokio::time::Instant::now() + self.options.apply_lag;
        for entry in entries {
            self.log.append(entry.clone());
            self.pending.push_back(PendingEntry {
                apply_at,
                received_at,
                entry,
            });
        }
        let end = self.log.end();
        let is_caught_up = self.pending.is_empty();
        let term = self.term_at(end, term);
        // Term and position are published in one update, because a task that waits for a new
        // position must also see its term.
        self.publisher.send_modify(|p| {
            p.status.term = term;
            p.status.received = end;
            p.last_contact = received_at;
            if is_caught_up {
                p.data_time = received_at;
            }
        });
    }

    pub(crate) fn apply_due(&mut self) {
        let now = tokio::time::Instant::now();
        while self.pending.front().is_some_and(|p| p.apply_at <= now) {
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
            p.data_time = pending.received_at;
        });
    }
}
