//! The task that owns what an instance knows of one group's members.

use std::collections;
use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_endpoint::connection;
use cardamomhold_fleet::fleet;
use cardamomhold_group::confirm;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use cardamomhold_session::wait;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::change;
use crate::clock;
use crate::endpoint;
use crate::monitor;
use crate::reigns;
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
    /// Lets a write transaction in once the member is the primary of the term.
    Enter {
        /// The member.
        member: name::MemberName,
        /// Term of the caller's view.
        term: position::Term,
        /// Told when it may run; dropped when the term is over.
        reply: oneshot::Sender<Pass>,
    },
    /// A write transaction that was let in has ended.
    Left,
    /// A command of a change of primary has ended.
    Controlled(change::Controlled),
    /// A call of the platform has ended; none when the answer was lost.
    Stored(Option<reigns::Stored>),
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
    /// The fleet as it changes.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// The clock.
    pub clock: clock::Clock,
    /// The task that calls the platform.
    pub reigns: mpsc::Sender<reigns::Call>,
}

/// Leave for one write transaction; its end is told to the group's task.
#[derive(Debug)]
pub struct Pass {
    requests: mpsc::WeakSender<Request>,
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Pass {
    /// The group's newest term, to wait for the end of the transaction's own.
    pub fn watch(&self) -> Replaced {
        Replaced {
            newest: self.newest.clone(),
            term: self.term,
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let Some(requests) = self.requests.upgrade() else {
            return;
        };
        if let Err(mpsc::error::TrySendError::Full(left)) = requests.try_send(Request::Left) {
            tokio::spawn(async move { requests.send(left).await });
        }
    }
}

/// Waits for the end of a term.
#[derive(Debug)]
pub struct Replaced {
    newest: watch::Receiver<position::Term>,
    term: position::Term,
}

impl Replaced {
    /// Returns once the group is in a later term.
    pub async fn wait(&mut self) {
        let term = self.term;
        if self.newest.wait_for(|newest| *newest > term).await.is_err() {
            // The group's task has ended, and nobody will tell of a later term.
            std::future::pending::<()>().await;
        }
    }
}

/// Starts the task; it ends when its last handle is dropped or the group is removed.
pub fn start(setting: Setting) -> Handle {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let driver = change::Driver::new(
        change::Setting {
            group: setting.group.clone(),
            instance: setting.instance.clone(),
            fleet: setting.fleet.clone(),
            clock: setting.clock,
            reigns: setting.reigns.clone(),
        },
        requests.downgrade(),
    );
    let task = Task {
        setting,
        driver,
        entries: Vec::new(),
        writers: 0,
        confirmations: confirm::Confirmations::new(usize::MAX),
        reports: requests.downgrade(),
        spec: None,
        seen: collections::BTreeMap::new(),
        monitors: collections::BTreeMap::new(),
        commits: Vec::new(),
        reads: Vec::new(),
        paces: collections::BTreeMap::new(),
        clock: clock::Clock::start(),
        key_table: None,
    };
    tokio::spawn(task.run(mailbox));
    Handle { requests }
}

struct Task {
    setting: Setting,
    driver: change::Driver,
    entries: Vec<Entry>,
    writers: usize,
    confirmations: confirm::Confirmations,
    reports: mpsc::WeakSender<Request>,
    spec: Option<spec::GroupSpec>,
    seen: collections::BTreeMap<name::MemberName, Option<tokio::time::Instant>>,
    monitors: collections::BTreeMap<name::MemberName, Monitor>,
    commits: Vec<(position::Position, oneshot::Sender<()>)>,
    reads: Vec<(Freshness, oneshot::Sender<Result<(), outcome::Refusal>>)>,
    paces: collections::BTreeMap<name::MemberName, wait::Pace>,
    clock: clock::Clock,
    key_table: Option<position::Term>,
}

/// A write transaction that waits to be let in.
struct Entry {
    member: name::MemberName,
    term: position::Term,
    reply: oneshot::Sender<Pass>,
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
        let reign = config.reign(&self.setting.group);
        if spec != self.spec {
            self.watch_members(spec.as_ref());
            self.spec = spec;
        }
        let name = object::ObjectName::Reign(self.setting.group.clone());
        let version = config.version(&name);
        self.driver
            .reshape(self.spec.as_ref(), reign.as_ref(), version);
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
            Request::Enter {
                member,
                term,
                reply,
            } => self.entries.push(Entry {
                member,
                term,
                reply,
            }),
            Request::Left => {
                self.writers = self.writers.saturating_sub(1);
                self.driver.writers(self.writers);
            }
            Request::Controlled(controlled) => {
                if let Some(status) = &controlled.status {
                    self.take_status(&controlled.member, status);
                }
                self.driver.answered(&controlled);
            }
            Request::Stored(stored) => self.driver.stored(stored.as_ref()),
            Request::AwaitFresh { fresh, reply } => self.take_read(fresh, reply),
            Request::Members(reply) => {
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
        pace.observe(self.clock.now(), status.received, status.applied);
        self.prepare_keys(member, status);
    }

    /// Lets in the writes whose member is the primary of their term.
    fn admit(&mut self) {
        let mut entries = Vec::new();
        let newest = *self.driver.term().borrow();
        for entry in std::mem::take(&mut self.entries) {
            if entry.reply.is_closed() || newest > entry.term {
                // A dropped reply tells that the term is over.
                continue;
            }
            if !self.is_open(&entry) {
                entries.push(entry);
                continue;
            }
            self.writers += 1;
            let pass = Pass {
                requests: self.reports.clone(),
                newest: self.driver.term(),
                term: entry.term,
            };
            // A pass that can't be handed over comes back when it is dropped.
            let _ = entry.reply.send(pass);
        }
        self.entries = entries;
        self.driver.writers(self.writers);
    }

    fn is_open(&self, entry: &Entry) -> bool {
        if self.driver.serving() != Some((&entry.member, entry.term)) {
            return false;
        }
        let report = self.confirmations.report(entry.member.as_str());
        report.is_some_and(|r| r.is_primary_of(entry.term))
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
        if !self.entries.is_empty() {
            self.admit();
        }
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
        fresh: Freshness,
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

    fn is_fresh(&self, fresh: &Freshness) -> bool {
        self.wait_for(fresh) == wait::Wait::Ready
    }

    fn delay(&self, member: &name::MemberName) -> time::Duration {
        let pace = self.paces.get(member).copied().unwrap_or_default();
        pace.delay(self.clock.now())
    }

    fn wait_for(&self, fresh: &Freshness) -> wait::Wait {
        let Some(Some(at)) = self.seen.get(&fresh.member) else {
            return wait::Wait::Primary;
        };
        let Some(status) = self.confirmations.report(fresh.member.as_str()) else {
            return wait::Wait::Primary;
        };
        let distance = wait::Distance {
            is_missing: fresh
                .seen
                .is_some_and(|seen| !seen.is_held(status.term, status.applied)),
            delay: self.delay(&fresh.member),
            silence: status.silence + at.elapsed(),
            lag: status.lag + at.elapsed(),
            staleness: fresh.staleness,
        };
        wait::decide(distance, wait::MAX_WAIT * 2)
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

    /// Waits until the member takes writes as the primary of the term.
    ///
    /// # Errors
    /// The refusal when the term is over, or nothing comes of it in time.
    pub async fn enter(
        &self,
        member: &name::MemberName,
        term: position::Term,
        deadline: tokio::time::Instant,
    ) -> Result<Pass, outcome::Refusal> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Enter {
            member: member.clone(),
            term,
            reply,
        };
        self.requests
            .send(request)
            .await
            .map_err(|_| outcome::Refusal::Stopping)?;
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(Ok(pass)) => Ok(pass),
            Ok(Err(_)) => Err(outcome::Refusal::StaleView),
            Err(_) => Err(outcome::Refusal::NoPrimary),
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
pub const FRESH_PATIENCE: time::Duration = wait::MAX_WAIT;
