//! The task that owns an instance's state of one group and its members.

use std::collections;
use std::time;

use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_endpoint::connection;
use cardamomhold_group::confirm;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use cardamomhold_session::wait;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::change;
use crate::endpoint;
use crate::execution;
use crate::group;
use crate::monitor;
use crate::write_gate;

/// Starts the task of a group.
pub fn start(
    context: group::Context,
    sender: mpsc::WeakSender<group::Request>,
    mailbox: mpsc::Receiver<group::Request>,
) {
    let driver = change::Driver::new(
        change::Context {
            group: context.group.clone(),
            instance: context.instance.clone(),
            fleet: context.fleet.clone(),
            clock: context.clock,
            leaderships: context.leaderships.clone(),
        },
        sender.clone(),
    );
    let task = Task {
        context,
        driver,
        gate: write_gate::Gate::default(),
        // No position is confirmed before the configuration has set the group's majority.
        confirmations: confirm::Confirmations::new(usize::MAX),
        requests: sender,
        spec: None,
        reached_at: collections::BTreeMap::new(),
        monitors: collections::BTreeMap::new(),
        pending_commits: Vec::new(),
        pending_reads: Vec::new(),
        apply_delays: collections::BTreeMap::new(),
        key_table_term: None,
    };
    tokio::spawn(task.run(mailbox));
}

struct Task {
    context: group::Context,
    driver: change::Driver,
    gate: write_gate::Gate,
    confirmations: confirm::Confirmations,
    requests: mpsc::WeakSender<group::Request>,
    spec: Option<spec::GroupSpec>,
    /// When each member was last reached; `None` while it is unreachable.
    reached_at: collections::BTreeMap<name::MemberName, Option<tokio::time::Instant>>,
    monitors: collections::BTreeMap<name::MemberName, Monitor>,
    pending_commits: Vec<(position::Position, oneshot::Sender<()>)>,
    pending_reads: Vec<(
        group::Freshness,
        oneshot::Sender<Result<(), outcome::Refusal>>,
    )>,
    apply_delays: collections::BTreeMap<name::MemberName, wait::ApplyDelay>,
    key_table_term: Option<position::Term>,
}

#[derive(Debug)]
struct Monitor {
    address: String,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<group::Request>) {
        let mut config = self.context.config.clone();
        let mut fleet = self.context.fleet.clone();
        self.apply_config();
        let mut wakeup = self.driver.poll();
        loop {
            let at = wakeup.map(|at| self.context.clock.instant(at));
            tokio::select! {
                request = mailbox.recv() => match request {
                    Some(request) => self.handle(request),
                    None => return,
                },
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_config();
                }
                changed = fleet.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.driver.update_precedence();
                }
                () = endpoint::sleep_until(at) => {}
            }
            wakeup = self.driver.poll();
            self.answer_pending();
        }
    }

    /// Applies the group's current configuration.
    fn apply_config(&mut self) {
        let config = self.context.config.borrow().clone();
        let spec = config.group(&self.context.group).cloned();
        let leadership = config.leadership(&self.context.group);
        if spec != self.spec {
            self.watch_members(spec.as_ref());
            self.spec = spec;
        }
        let name = object::ObjectName::Leadership(self.context.group.clone());
        let version = config.version(&name);
        self.driver
            .apply_config(self.spec.as_ref(), leadership.as_ref(), version);
    }

    fn watch_members(&mut self, spec: Option<&spec::GroupSpec>) {
        let Some(spec) = spec else {
            self.monitors.clear();
            return;
        };
        let names: Vec<name::MemberName> = spec.members.iter().map(|m| m.name.clone()).collect();
        self.confirmations.set_members(spec.majority(), &names);
        self.monitors.retain(|name, monitor| {
            spec.member(name)
                .is_some_and(|m| m.address == monitor.address)
        });
        for member in &spec.members {
            if self.monitors.contains_key(&member.name) {
                continue;
            }
            let Some(requests) = self.requests.upgrade() else {
                return;
            };
            let login =
                endpoint::login(&member.address, &self.context.group, &self.context.instance);
            let task = tokio::spawn(monitor::run(
                member.name.clone(),
                login,
                requests.downgrade(),
            ));
            let monitor = Monitor {
                address: member.address.clone(),
                task,
            };
            self.monitors.insert(member.name.clone(), monitor);
        }
    }

    fn handle(&mut self, request: group::Request) {
        match request {
            group::Request::Observed(observation) => self.observe(&observation),
            group::Request::Confirm {
                member,
                position,
                reply,
            } => {
                self.confirmations.record_position(&member, position);
                self.pending_commits.push((position, reply));
            }
            group::Request::AdmitWrite {
                member,
                term,
                reply,
            } => self.gate.push(write_gate::PendingWrite {
                member,
                term,
                reply,
            }),
            group::Request::WriteEnded => {
                self.gate.finish();
                self.driver.set_writers(self.gate.running());
            }
            group::Request::StepEnded(result) => {
                if let Some(status) = &result.status {
                    self.record_status(&result.member, status);
                }
                self.driver.step_ended(&result);
            }
            group::Request::Stored(stored) => self.driver.store_answered(stored.as_ref()),
            group::Request::AwaitFresh { freshness, reply } => self.enqueue_read(freshness, reply),
            group::Request::Members(reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.views());
            }
        }
    }

    fn observe(&mut self, observation: &monitor::Observation) {
        match &observation.status {
            Ok(status) => {
                self.record_status(&observation.member, status);
                self.driver.report(&observation.member, status);
            }
            Err(reach) => {
                self.reached_at.insert(observation.member.clone(), None);
                self.driver.mark_unreachable(&observation.member, *reach);
            }
        }
    }

    fn record_status(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        let now = tokio::time::Instant::now();
        self.reached_at.insert(member.clone(), Some(now));
        self.confirmations.observe(member, status);
        let apply_delay = self.apply_delays.entry(member.clone()).or_default();
        apply_delay.observe(self.context.clock.now(), status.received, status.applied);
        self.ensure_key_table(member, status);
    }

    /// Admits the writes whose member is the primary of their term.
    fn admit_writes(&mut self) {
        let serving_primary = self.driver.serving_primary();
        let confirmations = &self.confirmations;
        let can_admit = |write: &write_gate::PendingWrite| {
            let report = confirmations.report(write.member.as_str());
            serving_primary == Some((&write.member, write.term))
                && report.is_some_and(|r| r.is_primary_of(write.term))
        };
        self.gate
            .admit_waiting(&self.driver.term(), &self.requests, can_admit);
        self.driver.set_writers(self.gate.running());
    }

    /// Creates the table of request keys at a new primary.
    fn ensure_key_table(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        if status.role != status::MemberRole::Primary || self.key_table_term == Some(status.term) {
            return;
        }
        let Some(member) = self.spec.as_ref().and_then(|s| s.member(member)) else {
            return;
        };
        self.key_table_term = Some(status.term);
        let login = endpoint::login(&member.address, &self.context.group, &self.context.instance);
        tokio::spawn(create_key_table(login));
    }

    /// Answers the pending requests that can be answered now.
    fn answer_pending(&mut self) {
        self.admit_writes();
        let mut pending_commits = Vec::new();
        for (position, reply) in self.pending_commits.drain(..) {
            if reply.is_closed() {
                continue;
            }
            if self.confirmations.is_confirmed(position) {
                // The waiting execution may have reached its deadline.
                let _ = reply.send(());
            } else if self.confirmations.newest_term() <= position.term {
                pending_commits.push((position, reply));
            }
        }
        self.pending_commits = pending_commits;
        let mut pending_reads = Vec::new();
        for (freshness, reply) in std::mem::take(&mut self.pending_reads) {
            if reply.is_closed() {
                continue;
            }
            if self.is_fresh(&freshness) {
                let _ = reply.send(Ok(()));
            } else {
                pending_reads.push((freshness, reply));
            }
        }
        self.pending_reads = pending_reads;
    }

    /// Queues a read if its replica accepts work and is likely to be fresh enough in time, or
    /// else refuses it.
    fn enqueue_read(
        &mut self,
        freshness: group::Freshness,
        reply: oneshot::Sender<Result<(), outcome::Refusal>>,
    ) {
        if self.is_leaving(&freshness.member) {
            // The requester may have stopped waiting.
            let _ = reply.send(Err(outcome::Refusal::EndpointLeaving));
            return;
        }
        match self.decide_wait(&freshness) {
            wait::Wait::Primary => {
                let _ = reply.send(Err(outcome::Refusal::ReplicaBehind));
            }
            wait::Wait::Ready | wait::Wait::AtMost(_) => {
                self.pending_reads.push((freshness, reply))
            }
        }
    }

    /// Whether a member gets no new work: its operators drain it, or it reports that it leaves.
    fn is_leaving(&self, member: &name::MemberName) -> bool {
        let declared = self.spec.as_ref().and_then(|s| s.member(member));
        let report = self.confirmations.report(member.as_str());
        declared.is_some_and(|m| m.draining) || report.is_some_and(|r| r.leaving)
    }

    fn is_fresh(&self, freshness: &group::Freshness) -> bool {
        self.decide_wait(freshness) == wait::Wait::Ready
    }

    fn delay(&self, member: &name::MemberName) -> time::Duration {
        let apply_delay = self.apply_delays.get(member).copied().unwrap_or_default();
        apply_delay.delay(self.context.clock.now())
    }

    fn decide_wait(&self, freshness: &group::Freshness) -> wait::Wait {
        let Some(Some(at)) = self.reached_at.get(&freshness.member) else {
            return wait::Wait::Primary;
        };
        let Some(status) = self.confirmations.report(freshness.member.as_str()) else {
            return wait::Wait::Primary;
        };
        let replica = wait::ReplicaState {
            is_behind: freshness
                .seen
                .is_some_and(|seen| !seen.is_applied(status.term, status.applied)),
            delay: self.delay(&freshness.member),
            silence: status.silence + at.elapsed(),
            lag: status.lag + at.elapsed(),
            staleness: freshness.staleness,
        };
        // A read waits at most half of its time left, so this allows the full `MAX_WAIT`.
        wait::decide(replica, wait::MAX_WAIT * 2)
    }

    fn views(&self) -> Vec<group::MemberView> {
        let mut views = Vec::new();
        for member in self.spec.iter().flat_map(|s| &s.members) {
            let is_reached = matches!(self.reached_at.get(&member.name), Some(Some(_)));
            let report = self.confirmations.report(member.name.as_str());
            let status = report.filter(|_| is_reached).cloned();
            views.push(group::MemberView {
                name: member.name.clone(),
                status,
            });
        }
        views
    }
}

async fn create_key_table(login: connection::Login) {
    let created = match connection::Connection::open(&login).await {
        Ok(mut connection) => connection.query(execution::KEY_TABLE).await,
        Err(error) => Err(error),
    };
    if let Err(error) = created {
        log::warn!(
            "event=key_table_failed group={} error=\"{error}\"",
            login.database
        );
    }
}
