//! Starts jobs on the connections of their workspaces, and opens connections.

use std::collections;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::connections;
use cardamomhold_queue::job;
use cardamomhold_queue::queue;

use crate::admission::Admitted;
use crate::admission::Handle;
use crate::admission::Job;
use crate::admission::Message;
use crate::admission::Refusal;
use crate::admission::task::OPEN_TIMEOUT;
use crate::admission::task::Task;
use crate::admission::task::Waiting;
use crate::admission::task::convert;
use crate::checkout;
use crate::clock;
use crate::link;

impl<C: link::Connector> Task<C> {
    /// Starts and refuses work.
    pub(super) fn decide(&mut self) {
        let now = clock::now();
        let decisions = self.queue.refuse_late(now);
        self.carry_out(decisions);
        self.refuse_expired(now);
        self.connections.close_expired(now);
        self.start_connected(now);
        let mut has_started = false;
        while let Some(id) = self.start_next(now) {
            has_started = true;
            self.record_start(now);
            self.starting.push_back(id);
            self.start_connected(now);
        }
        let decisions = self.queue.refuse_unserved(now);
        self.carry_out(decisions);
        self.open_wanted(now, has_started);
    }

    fn carry_out(&mut self, decisions: Vec<queue::Decision>) {
        for decision in decisions {
            if let queue::Decision::Refuse(id, refused) = decision {
                self.refuse(id, convert(refused));
            }
        }
    }

    /// Starts the next job of the queue, unless its workspace has no idle connection.
    fn start_next(&mut self, now: Timestamp) -> Option<job::JobId> {
        let (waiting, connections) = (&self.waiting, &self.connections);
        let may_start = |job: &job::Job| has_connection(waiting, connections, job);
        // Opening a connection takes a slot of the member.
        let reserved = connections.opening_for_workspaces();
        self.queue.start_next(now, reserved, &may_start)
    }

    /// Gives the idle connections to the started jobs that wait for them.
    fn start_connected(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.starting) {
            let key = self.waiting.get(&id).and_then(|w| w.key.clone());
            match self.take_idle(now, &key) {
                Some(connection) => self.start_job(now, id, key, connection),
                None => self.starting.push_back(id),
            }
        }
    }

    /// Opens connections: for started jobs, and for the workspaces whose turn it is.
    fn open_wanted(&mut self, now: Timestamp, has_started: bool) {
        let wanted = self.wanted(now, has_started);
        self.is_short = !wanted.is_empty();
        loop {
            let Some(handle) = self.handle_to_self() else {
                return;
            };
            let Some(opening) = self.connections.next_opening(now, &wanted) else {
                return;
            };
            if let Some((loser, _)) = &opening.evicted {
                self.log_eviction(&opening.key, loser);
            }
            self.open(handle, opening.key);
        }
    }

    /// Which workspaces need connections, in the order of their turns.
    fn wanted(&self, now: Timestamp, has_started: bool) -> Vec<connections::Wanted> {
        let mut wanted: Vec<connections::Wanted> = Vec::new();
        let mut add = |key: &connections::Key| match wanted.iter_mut().find(|w| w.key == *key) {
            Some(known) => known.count += 1,
            None => wanted.push(connections::Wanted {
                key: key.clone(),
                count: 1,
            }),
        };
        for id in &self.starting {
            if let Some(waiting) = self.waiting.get(id) {
                add(&waiting.key);
            }
        }
        let reserved = self.connections.opening_for_workspaces();
        if has_started || self.queue.has_room(now, reserved) {
            for job in self.queue.heads() {
                if has_connection(&self.waiting, &self.connections, job) {
                    continue;
                }
                if let Some(waiting) = self.waiting.get(&job.id) {
                    add(&waiting.key);
                }
            }
        }
        wanted
    }

    fn log_eviction(&self, key: &connections::Key, loser: &connections::Key) {
        let target = &self.context.bounds.target;
        self.context.metrics.record_eviction(&target.member);
        log::info!(
            "event=connection_evicted group={} member={} workspace={} for={} open={}",
            target.group,
            target.member,
            key_text(loser),
            key_text(key),
            self.connections.open()
        );
    }

    /// Fails the jobs that wait for a connection of their workspace.
    pub(super) fn fail_short(&mut self, now: Timestamp) {
        loop {
            let (waiting, connections) = (&self.waiting, &self.connections);
            let is_short = |job: &job::Job| !has_connection(waiting, connections, job);
            let Some(id) = self.queue.start_next(now, 0, &is_short) else {
                return;
            };
            self.queue.finish(now, id, job::Completion::Failed);
            self.refuse(id, Refusal::Unreachable);
        }
    }

    /// Refuses started work whose deadline has passed while it waited for a connection.
    fn refuse_expired(&mut self, now: Timestamp) {
        let waiting = &self.waiting;
        let is_expired = |id: &job::JobId| waiting.get(id).is_none_or(|w| w.deadline <= now);
        let mut expired = Vec::new();
        self.starting.retain(|id| {
            let is_expired = is_expired(id);
            if is_expired {
                expired.push(*id);
            }
            !is_expired
        });
        for id in expired {
            self.queue.finish(now, id, job::Completion::Unused);
            self.refuse(id, Refusal::Overloaded(OPEN_TIMEOUT));
        }
    }

    /// Takes an idle connection that the member has not closed.
    fn take_idle(
        &mut self,
        now: Timestamp,
        key: &connections::Key,
    ) -> Option<checkout::Connection<C::Link>> {
        loop {
            let mut connection = self.connections.take_idle(now, key)?;
            if link::Link::is_open(&mut connection.link) {
                return Some(connection);
            }
            self.connections.record_closed(key);
        }
    }

    fn start_job(
        &mut self,
        now: Timestamp,
        id: job::JobId,
        key: connections::Key,
        connection: checkout::Connection<C::Link>,
    ) {
        let waiting = self.waiting.remove(&id);
        let Some((waiting, handle)) = waiting.zip(self.handle_to_self()) else {
            self.queue.finish(now, id, job::Completion::Unused);
            self.connections.put_back(now, &key, connection);
            return;
        };
        self.running.insert(id, key);
        let job = Job {
            id,
            handle,
            running_since: Some(now),
            busy: time::Duration::ZERO,
            waited: now.since(waiting.since),
            is_finished: false,
        };
        let admitted = Admitted { connection, job };
        if let Err(Ok(admitted)) = waiting.reply.send(Ok(admitted)) {
            // The requester has gone.
            admitted.job.finish(None, Some(admitted.connection));
        }
    }

    /// Opens a connection that serves a workspace.
    pub(super) fn open(&mut self, handle: Handle<C::Link>, key: connections::Key) {
        let mut target = self.context.bounds.target.clone();
        target.workspace = key.clone();
        self.context.metrics.record_open(&target.member);
        let connector = self.context.connector.clone();
        tokio::task::spawn_local(async move {
            let opening = tokio::time::timeout(OPEN_TIMEOUT, connector.open(&target));
            let opened = opening
                .await
                .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())));
            let result = opened.map(|(link, _)| link);
            handle.send(Message::Opened { key, result });
        });
    }
}

/// Whether a waiting job may start with regard to connections: one without a workspace may wait for
/// its connection when it has started.
fn has_connection<L, T>(
    waiting: &collections::HashMap<job::JobId, Waiting<L>>,
    connections: &connections::Connections<T>,
    job: &job::Job,
) -> bool {
    let key = waiting.get(&job.id).map(|w| &w.key);
    key.is_none_or(|key| key.is_none() || connections.has_idle(key))
}

fn key_text(key: &connections::Key) -> &str {
    key.as_ref().map_or("-", |workspace| workspace.as_str())
}
