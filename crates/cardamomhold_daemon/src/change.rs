//! Drives a group's changes of primary and runs the commands that the change logic decides on.
//!
//! Each command runs in a separate task, which sends its result to the group's task.

use std::collections;
use std::sync;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_endpoint::connection;
use cardamomhold_endpoint::control;
use cardamomhold_endpoint::control::Control;
use cardamomhold_fleet::fleet;
use cardamomhold_group::change;
use cardamomhold_group::detect;
use cardamomhold_group::event;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;
use cardamomhold_group::status;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::endpoint;
use crate::group;
use crate::leaderships;

/// Result of a command to a member.
#[derive(Debug)]
pub struct StepResult {
    /// The member.
    pub member: name::MemberName,
    /// Its status; `None` if the command failed.
    pub status: Option<status::MemberStatus>,
}

/// Dependencies of a driver.
#[derive(Debug, Clone)]
pub struct Context {
    /// The group.
    pub group: name::GroupName,
    /// This instance.
    pub instance: name::InstanceName,
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Task that reads and writes the leaderships at the platform.
    pub leaderships: mpsc::Sender<leaderships::Call>,
}

/// Runs the changes of a group's primary.
#[derive(Debug)]
pub struct Driver {
    context: Context,
    change: change::Change,
    spec: Option<spec::GroupSpec>,
    requests: mpsc::WeakSender<group::Request>,
    term: watch::Sender<position::Term>,
}

impl Driver {
    /// Creates a driver without state; results are sent to `requests`.
    pub fn new(context: Context, requests: mpsc::WeakSender<group::Request>) -> Self {
        Self {
            context,
            change: change::Change::default(),
            spec: None,
            requests,
            term: watch::Sender::new(position::Term::default()),
        }
    }

    fn observe(&mut self, event: event::Event<'_>) {
        self.change.observe(self.context.clock.now(), event);
    }

    /// Applies the group's configuration.
    pub fn apply_config(
        &mut self,
        spec: Option<&spec::GroupSpec>,
        leadership: Option<&leadership::Leadership>,
        version: u64,
    ) {
        if let Some(spec) = spec {
            self.change.apply_spec(spec);
        }
        self.spec = spec.cloned();
        if let Some(leadership) = leadership {
            self.apply_leadership(leadership, version);
        }
        self.update_precedence();
    }

    fn apply_leadership(&mut self, leadership: &leadership::Leadership, version: u64) {
        let before = self.change.serving_primary().map(|(_, term)| term);
        self.observe(event::Event::Leadership {
            leadership,
            version,
        });
        let is_raised = self.term.send_if_modified(|term| {
            let is_raised = leadership.term > *term;
            *term = leadership.term.max(*term);
            is_raised
        });
        let after = self.change.serving_primary().map(|(_, term)| term);
        if is_raised || before != after {
            // The members' next regular reports may take long to arrive.
            self.probe_all();
        }
    }

    /// Updates this instance's successor rank: owners of replicas come before the owner of the
    /// primary, because the zone of a failed primary may have failed too.
    pub fn update_precedence(&mut self) {
        let fleet = self.context.fleet.borrow().clone();
        let Some(spec) = &self.spec else {
            return;
        };
        let primary = self.change.primary().cloned();
        let mut owners = Vec::new();
        let mut primary_owner = None;
        for member in &spec.members {
            let Some(owner) = fleet.owner(&member.name, &member.zone) else {
                continue;
            };
            if primary.as_ref() == Some(&member.name) {
                primary_owner = Some(&owner.name);
                continue;
            }
            owners.push(&owner.name);
        }
        owners.extend(primary_owner);
        let own = &self.context.instance;
        let rank = owners.iter().position(|o| *o == own);
        let precedence = event::Precedence {
            rank: rank.unwrap_or(owners.len()) as u32,
            owns_primary: primary_owner == Some(own),
        };
        self.observe(event::Event::Precedence(precedence));
    }

    /// Handles a member's report.
    pub fn report(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        self.observe(event::Event::Report { member, status });
    }

    /// Records that a member is unreachable.
    pub fn mark_unreachable(&mut self, member: &name::MemberName, reach: detect::Reach) {
        self.observe(event::Event::Unreachable { member, reach });
    }

    /// Handles the result of a command to a member.
    pub fn step_ended(&mut self, result: &StepResult) {
        let member = &result.member;
        if let Some(status) = &result.status {
            self.report(member, status);
        }
        let done = result.status.is_some();
        self.observe(event::Event::CommandEnded { member, done });
    }

    /// Handles the platform's answer; `None` if the call failed or the answer was lost.
    pub fn store_answered(&mut self, stored: Option<&leaderships::Stored>) {
        let Some(stored) = stored else {
            self.observe(event::Event::StoreFailed);
            return;
        };
        if let Some(leadership) = &stored.leadership {
            self.apply_leadership(leadership, stored.version);
        }
        self.observe(event::Event::StoreAnswered);
    }

    /// Sets the number of write transactions that run here.
    pub fn set_writers(&mut self, writers: usize) {
        self.observe(event::Event::Writers(writers));
    }

    /// The primary that accepts writes now, and its term.
    pub fn serving_primary(&self) -> Option<(&name::MemberName, position::Term)> {
        self.change.serving_primary()
    }

    /// Subscribes to the group's newest term.
    pub fn term(&self) -> watch::Receiver<position::Term> {
        self.term.subscribe()
    }

    /// Runs the commands that are due and returns the time of the next poll.
    pub fn poll(&mut self) -> Option<Timestamp> {
        let now = self.context.clock.now();
        for command in self.change.poll(now) {
            log::info!("event=change group={} {command}", self.context.group);
            self.execute(command);
        }
        self.change.next_wakeup(now)
    }

    fn execute(&self, command: event::Command) {
        match command {
            event::Command::Read => self.call_store(leaderships::Operation::Read),
            event::Command::Write {
                leadership,
                expected,
            } => {
                self.call_store(leaderships::Operation::Write {
                    leadership,
                    expected,
                });
            }
            event::Command::Fence { member, term } => self.start_step(member, Step::Fence(term)),
            event::Command::Promote { member, term } => {
                self.start_step(member, Step::Promote(term))
            }
            event::Command::Probe { member } => self.start_step(member, Step::Probe),
            event::Command::Follow {
                member,
                term,
                primary,
            } => {
                let Some(primary) = self.spec.as_ref().and_then(|s| s.member(&primary)) else {
                    return;
                };
                self.start_step(member, Step::Follow(term, primary.address.clone()));
            }
        }
    }

    fn call_store(&self, operation: leaderships::Operation) {
        let call = leaderships::Call {
            group: self.context.group.clone(),
            operation,
            reply: self.requests.clone(),
        };
        let leaderships = self.context.leaderships.clone();
        // If the task has ended, the instance is stopping and doesn't need the answer.
        tokio::spawn(async move { leaderships.send(call).await });
    }

    fn probe_all(&self) {
        let names: collections::BTreeSet<name::MemberName> = match &self.spec {
            Some(spec) => spec.members.iter().map(|m| m.name.clone()).collect(),
            None => return,
        };
        for member in names {
            self.start_step(member, Step::Probe);
        }
    }

    fn start_step(&self, member: name::MemberName, step: Step) {
        let Some(known) = self.spec.as_ref().and_then(|s| s.member(&member)) else {
            return;
        };
        let context = &self.context;
        let login = endpoint::login(&known.address, &context.group, &context.instance);
        tokio::spawn(run_step(member, login, step, self.requests.clone()));
    }
}

/// One command to a member.
#[derive(Debug)]
enum Step {
    Probe,
    Fence(position::Term),
    Promote(position::Term),
    Follow(position::Term, String),
}

async fn run_step(
    member: name::MemberName,
    login: connection::Login,
    step: Step,
    requests: mpsc::WeakSender<group::Request>,
) {
    let status = match try_step(&login, &step).await {
        Ok(status) => Some(status),
        Err(error) => {
            log::info!("event=change_step_failed member={member} step={step:?} error=\"{error}\"");
            None
        }
    };
    if let Some(requests) = requests.upgrade() {
        let result = StepResult { member, status };
        // The group may have been removed in the meantime.
        let _ = requests.send(group::Request::StepEnded(result)).await;
    }
}

async fn try_step(
    login: &connection::Login,
    step: &Step,
) -> Result<status::MemberStatus, control::ControlError> {
    let mut control = control::SqlControl::open(login).await?;
    match step {
        Step::Probe => {
            let known = control::Progress::default();
            control.status(known, std::time::Duration::ZERO).await
        }
        Step::Fence(term) => control.fence(*term).await,
        Step::Promote(term) => control.promote(*term).await,
        Step::Follow(term, primary) => control.follow(*term, primary).await,
    }
}
