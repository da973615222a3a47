//! The task that owns what an instance knows of one group's members.

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
use crate::group;
use crate::monitor;
use crate::pass;
use crate::work;

/// Starts the task of a group.
pub fn start(
    setting: group::Setting,
    requests: mpsc::WeakSender<group::Request>,
    mailbox: mpsc::Receiver<group::Request>,
) {
    let driver = change::Driver::new(
        change::Setting {
            group: setting.group.clone(),
            instance: setting.instance.clone(),
            fleet: setting.fleet.clone(),
            clock: setting.clock,
            leaderships: setting.leaderships.clone(),
        },
        requests.clone(),
    );
    let task = Task {
        setting,
        driver,
        entries: pass::Entries::default(),
        confirmations: confirm::Confirmations::new(usize::MAX),
        reports: requests,
        spec: None,
        seen: collections::BTreeMap::new(),
        monitors: collections::BTreeMap::new(),
        commits: Vec::new(),
        reads: Vec::new(),
        paces: collections::BTreeMap::new(),
        key_table: None,
    };
    tokio::spawn(task.run(mailbox));
}

struct Task {
    setting: group::Setting,
    driver: change::Driver,
    entries: pass::Entries,
    confirmations: confirm::Confirmations,
    reports: mpsc::WeakSender<group::Request>,
    spec: Option<spec::GroupSpec>,
    seen: collections::BTreeMap<name::MemberName, Option<tokio::time::Instant>>,
    monitors: collections::BTreeMap<name::MemberName, Monitor>,
    commits: Vec<(position::Position, oneshot::Sender<()>)>,
    reads: Vec<(
        group::Freshness,
        oneshot::Sender<Result<(), outcome::Refusal>>,
    )>,
    paces: collections::BTreeMap<name::MemberName, wait::ApplyDelay>,
    key_table: Option<position::Term>,
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
        let mut config = self.setting.config.clone();
        let mut fleet = self.setting.fleet.clone();
        self.reshape();
        let mut wake = self.driver.act();
        loop {
            let at = wake.map(|at| self.setting.clock.instant(at));
            tokio::select! {
                request = mailbox.recv() => match request {
                    Some(request) => self.handle(request),
                    None => return,
                },
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.reshape();
                }
                changed = fleet.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.driver.take_place();
                }
                () = endpoint::sleep_until(at) => {}
            }
            wake = self.driver.act();
            self.settle();
        }
    }

    /// Takes over what the configuration says of the group now.
    fn reshape(&mut self) {
        let config = self.setting.config.borrow().clone();
        let spec = config.group(&self.setting.group).cloned();
        let leadership = config.leadership(&self.setting.group);
        if spec != self.spec {
            self.watch_members(spec.as_ref());
            self.spec = spec;
        }
        let name = object::ObjectName::Leadership(self.setting.group.clone());
        let version = config.version(&name);
        self.driver
            .reshape(self.spec.as_ref(), leadership.as_ref(), version);
    }

    fn watch_members(&mut self, spec: Option<&spec::GroupSpec>) {
        let Some(spec) = spec else {
            self.monitors.clear();
            return;
        };
        let names: Vec<name::MemberName> = spec.members.iter().map(|m| m.name.clone()).collect();
        self.confirmations.reshape(spec.majority(), &names);
        self.monitors.retain(|name, monitor| {
            spec.member(name)
                .is_some_and(|m| m.address == monitor.address)
        });
        for member in &spec.members {
            if self.monitors.contains_key(&member.name) {
                continue;
            }
            let Some(reports) = self.reports.upgrade() else {
                return;
            };
            let login =
                endpoint::login(&member.address, &self.setting.group, &self.setting.instance);
            let task = tokio::spawn(monitor::run(
                member.name.clone(),
                login,
                reports.downgrade(),
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
            group::Request::Observed(observed) => self.observe(&observed),
            group::Request::Confirm {
                member,
                position,
                reply,
            } => {
                self.confirmations.note(&member, position);
                self.commits.push((position, reply));
            }
            group::Request::Enter {
                member,
                term,
                reply,
            } => self.entries.push(pass::Entry {
                member,
                term,
                reply,
            }),
            group::Request::Left => {
                self.entries.leave();
                self.driver.writers(self.entries.running());
            }
            group::Request::Controlled(controlled) => {
                if let Some(status) = &controlled.status {
                    self.take_status(&controlled.member, status);
                }
                self.driver.answered(&controlled);
            }
            group::Request::Stored(stored) => self.driver.stored(stored.as_ref()),
            group::Request::AwaitFresh { fresh, reply } => self.take_read(fresh, reply),
            group::Request::Members(reply) => {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(self.view());
            }
        }
    }

    fn observe(&mut self, observed: &monitor::Observed) {
        match &observed.status {
            Ok(status) => {
                self.take_status(&observed.member, status);
                self.driver.report(&observed.member, status);
            }
            Err(reach) => {
                self.seen.insert(observed.member.clone(), None);
                self.driver.lose(&observed.member, *reach);
            }
        }
    }

    fn take_status(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        let now = tokio::time::Instant::now();
        self.seen.insert(member.clone(), Some(now));
        self.confirmations.observe(member, status);
        let pace = self.paces.entry(member.clone()).or_default();
        pace.observe(self.setting.clock.now(), status.received, status.applied);
        self.prepare_keys(member, status);
    }

    /// Lets in the writes whose member is the primary of their term.
    fn admit(&mut self) {
        let serving = self.driver.serving();
        let confirmations = &self.confirmations;
        let is_open = |entry: &pass::Entry| {
            let report = confirmations.report(entry.member.as_str());
            serving == Some((&entry.member, entry.term))
                && report.is_some_and(|r| r.is_primary_of(entry.term))
        };
        self.entries
            .admit(&self.driver.term(), &self.reports, is_open);
        self.driver.writers(self.entries.running());
    }

    /// Lets a new primary have the table of request keys.
    fn prepare_keys(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        if status.role != status::MemberRole::Primary || self.key_table == Some(status.term) {
            return;
        }
        let Some(member) = self.spec.as_ref().and_then(|s| s.member(member)) else {
            return;
        };
        self.key_table = Some(status.term);
        let login = endpoint::login(&member.address, &self.setting.group, &self.setting.instance);
        tokio::spawn(create_key_table(login));
    }

    /// Answers whatever can be answered by now.
    fn settle(&mut self) {
        self.admit();
        let mut commits = Vec::new();
        for (position, reply) in self.commits.drain(..) {
            if reply.is_closed() {
                continue;
            }
            if self.confirmations.is_confirmed(position) {
                // The waiting work may have met its deadline.
                let _ = reply.send(());
            } else if self.confirmations.newest_term() <= position.term {
                commits.push((position, reply));
            }
        }
        self.commits = commits;
        let mut reads = Vec::new();
        for (fresh, reply) in std::mem::take(&mut self.reads) {
            if reply.is_closed() {
                continue;
            }
            if self.is_fresh(&fresh) {
                let _ = reply.send(Ok(()));
            } else {
                reads.push((fresh, reply));
            }
        }
        self.reads = reads;
    }

    /// Lets a read wait only where the replica takes work and is likely to be in time.
    fn take_read(
        &mut self,
        fresh: group::Freshness,
        reply: oneshot::Sender<Result<(), outcome::Refusal>>,
    ) {
        // Whoever asked may have stopped waiting.
        if self.is_leaving(&fresh.member) {
            let _ = reply.send(Err(outcome::Refusal::EndpointLeaving));
            return;
        }
        match self.wait_for(&fresh) {
            wait::Wait::Primary => {
                let _ = reply.send(Err(outcome::Refusal::ReplicaBehind));
            }
            wait::Wait::Ready | wait::Wait::AtMost(_) => self.reads.push((fresh, reply)),
        }
    }

    /// Whether a member is to get no new work: its operators or the member itself say so.
    fn is_leaving(&self, member: &name::MemberName) -> bool {
        let declared = self.spec.as_ref().and_then(|s| s.member(member));
        let report = self.confirmations.report(member.as_str());
        declared.is_some_and(|m| m.draining) || report.is_some_and(|r| r.leaving)
    }

    fn is_fresh(&self, fresh: &group::Freshness) -> bool {
        self.wait_for(fresh) == wait::Wait::Ready
    }

    fn delay(&self, member: &name::MemberName) -> time::Duration {
        let pace = self.paces.get(member).copied().unwrap_or_default();
        pace.delay(self.setting.clock.now())
    }

    fn wait_for(&self, fresh: &group::Freshness) -> wait::Wait {
        let Some(Some(at)) = self.seen.get(&fresh.member) else {
            return wait::Wait::Primary;
        };
        let Some(status) = self.confirmations.report(fresh.member.as_str()) else {
            return wait::Wait::Primary;
        };
        let distance = wait::ReplicaState {
            is_missing: fresh
                .seen
                .is_some_and(|seen| !seen.is_applied(status.term, status.applied)),
            delay: self.delay(&fresh.member),
            silence: status.silence + at.elapsed(),
            lag: status.lag + at.elapsed(),
            staleness: fresh.staleness,
        };
        wait::decide(distance, wait::MAX_WAIT * 2)
    }

    fn view(&self) -> Vec<group::MemberView> {
        let mut views = Vec::new();
        for member in self.spec.iter().flat_map(|s| &s.members) {
            let is_reached = matches!(self.seen.get(&member.name), Some(Some(_)));
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
        Ok(mut connection) => connection.query(work::KEY_TABLE).await,
        Err(error) => Err(error),
    };
    if let Err(error) = created {
        log::warn!(
            "event=key_table_failed group={} error=\"{error}\"",
            login.database
        );
    }
}
