//! The task that owns what an instance knows of one group's members.

use std::collections;
use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_endpoint::connection;
use cardamomhold_group::confirm;
use cardamomhold_group::reign;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::endpoint;
use crate::monitor;
use crate::work;

/// Messages that wait for the task.
const MAILBOX: usize = 1024;

/// What the task is asked or told.
#[derive(Debug)]
pub enum Request {
    /// From a monitor.
    Observed(monitor::Observed),
    /// Tells when a position that the primary holds is confirmed.
    Confirm {
        /// The primary.
        member: name::MemberName,
        /// The position.
        position: position::Position,
        /// Told when it is confirmed; dropped when it can't be.
        reply: oneshot::Sender<()>,
    },
    /// Tells when a replica is fresh enough.
    AwaitFresh {
        /// What is asked of the replica.
        fresh: Freshness,
        /// Told when it is so, or that the replica takes no new work.
        reply: oneshot::Sender<Result<(), outcome::Refusal>>,
    },
    /// Shows the members.
    Members(oneshot::Sender<Vec<MemberView>>),
}

/// What a read asks of a replica.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// The replica.
    pub member: name::MemberName,
    /// What it must have applied.
    pub seen: Option<position::Position>,
    /// Greatest accepted age of its data.
    pub staleness: time::Duration,
}

/// A member as the group's task sees it.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its name.
    pub name: name::MemberName,
    /// Its latest status; none while it is out of reach.
    pub status: Option<status::MemberStatus>,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: mpsc::Sender<Request>,
}

/// Where the task finds itself.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The group.
    pub group: name::GroupName,
    /// This instance.
    pub instance: name::InstanceName,
    /// The configuration as it changes.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
}

/// Starts the task; it ends when its last handle is dropped or the group is removed.
pub fn start(setting: Setting) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let task = Task {
        setting,
        confirmations: confirm::Confirmations::new(usize::MAX),
        reports: requests.downgrade(),
        spec: None,
        reign: None,
        seen: collections::BTreeMap::new(),
        monitors: collections::BTreeMap::new(),
        commits: Vec::new(),
        reads: Vec::new(),
        key_table: None,
    };
    tokio::spawn(task.run(mailbox));
    Handle { requests }
}

struct Task {
    setting: Setting,
    confirmations: confirm::Confirmations,
    reports: mpsc::WeakSender<Request>,
    spec: Option<spec::GroupSpec>,
    reign: Option<reign::Reign>,
    seen: collections::BTreeMap<name::MemberName, Option<tokio::time::Instant>>,
    monitors: collections::BTreeMap<name::MemberName, Monitor>,
    commits: Vec<(position::Position, oneshot::Sender<()>)>,
    reads: Vec<(Freshness, oneshot::Sender<Result<(), outcome::Refusal>>)>,
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
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        let mut config = self.setting.config.clone();
        self.reshape();
        loop {
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
            }
            self.settle();
        }
    }

    /// Takes over what the configuration says of the group now.
    fn reshape(&mut self) {
        let config = self.setting.config.borrow().clone();
        let spec = config.group(&self.setting.group).cloned();
        let reign = config.reign(&self.setting.group);
        if spec != self.spec {
            self.watch_members(spec.as_ref());
            self.spec = spec;
        }
        self.reign = reign;
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

    fn handle(&mut self, request: Request) {
        match request {
            Request::Observed(observed) => self.observe(&observed),
            Request::Confirm {
                member,
                position,
                reply,
            } => {
                self.confirmations.note(&member, position);
                self.commits.push((position, reply));
            }
            Request::AwaitFresh { fresh, reply } => {
                if self.is_leaving(&fresh.member) {
                    // Whoever asked may have stopped waiting.
                    let _ = reply.send(Err(outcome::Refusal::EndpointLeaving));
                    return;
                }
                self.reads.push((fresh, reply));
            }
            Request::Members(reply) => {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(self.view());
            }
        }
    }

    fn observe(&mut self, observed: &monitor::Observed) {
        let Some(status) = &observed.status else {
            self.seen.insert(observed.member.clone(), None);
            return;
        };
        self.seen
            .insert(observed.member.clone(), Some(tokio::time::Instant::now()));
        self.confirmations.observe(&observed.member, status);
        self.prepare_keys(&observed.member, status);
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

    /// Whether a member is to get no new work: its operators or the member itself say so.
    fn is_leaving(&self, member: &name::MemberName) -> bool {
        let declared = self.spec.as_ref().and_then(|s| s.member(member));
        let report = self.confirmations.report(member.as_str());
        declared.is_some_and(|m| m.draining) || report.is_some_and(|r| r.leaving)
    }

    fn is_fresh(&self, fresh: &Freshness) -> bool {
        let Some(Some(at)) = self.seen.get(&fresh.member) else {
            return false;
        };
        let Some(status) = self.confirmations.report(fresh.member.as_str()) else {
            return false;
        };
        if status.lag + at.elapsed() > fresh.staleness {
            return false;
        }
        fresh
            .seen
            .is_none_or(|seen| seen.is_held(status.term, status.applied))
    }

    fn view(&self) -> Vec<MemberView> {
        let mut views = Vec::new();
        for member in self.spec.iter().flat_map(|s| &s.members) {
            let is_reached = matches!(self.seen.get(&member.name), Some(Some(_)));
            let report = self.confirmations.report(member.name.as_str());
            let status = report.filter(|_| is_reached).cloned();
            views.push(MemberView {
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

impl Handle {
    /// Waits until a position is confirmed.
    ///
    /// # Errors
    /// [`outcome::Doubt::Unconfirmed`] when it can't be confirmed or the deadline passes.
    pub async fn confirm(
        &self,
        member: &name::MemberName,
        position: position::Position,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Doubt> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Confirm {
            member: member.clone(),
            position,
            reply,
        };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Doubt::Unconfirmed)?;
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(outcome::Doubt::Unconfirmed),
        }
    }

    /// Waits until a replica is fresh enough.
    ///
    /// # Errors
    /// [`outcome::Refusal::ReplicaBehind`] when it takes longer than is worth waiting, and
    /// [`outcome::Refusal::EndpointLeaving`] when the replica takes no new work.
    pub async fn await_fresh(
        &self,
        fresh: Freshness,
        deadline: tokio::time::Instant,
    ) -> Result<(), outcome::Refusal> {
        let (reply, answer) = oneshot::channel();
        let request = Request::AwaitFresh { fresh, reply };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Refusal::Stopping)?;
        let patience = tokio::time::Instant::now() + FRESH_PATIENCE;
        match tokio::time::timeout_at(deadline.min(patience), answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(outcome::Refusal::ReplicaBehind),
        }
    }

    /// The members as the task sees them.
    pub async fn members(&self) -> Vec<MemberView> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Members(reply)).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// Longest wait for a replica before a read goes to the primary.
pub const FRESH_PATIENCE: time::Duration = time::Duration::from_millis(20);
