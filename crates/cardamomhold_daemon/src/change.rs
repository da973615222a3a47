//! Carries out what a group's driver of changes decides.
//!
//! Each command runs in a task of its own, which answers the group's task by message.

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

/// The end of a command to a member.
#[derive(Debug)]
pub struct Controlled {
    /// The member.
    pub member: name::MemberName,
    /// Its report; none when it did not do as asked.
    pub status: Option<status::MemberStatus>,
}

/// What the driver needs to act.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The group.
    pub group: name::GroupName,
    /// This instance.
    pub instance: name::InstanceName,
    /// The fleet as it changes.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// The clock.
    pub clock: clock::Clock,
    /// The task that calls the platform.
    pub leaderships: mpsc::Sender<leaderships::Call>,
}

/// A group's driver of changes with its hands.
#[derive(Debug)]
pub struct Driver {
    setting: Setting,
    change: change::Change,
    spec: Option<spec::GroupSpec>,
    requests: mpsc::WeakSender<group::Request>,
    term: watch::Sender<position::Term>,
}

impl Driver {
    /// A driver that knows nothing yet; answers go to `requests`.
    pub fn new(setting: Setting, requests: mpsc::WeakSender<group::Request>) -> Self {
        Self {
            setting,
            change: change::Change::default(),
            spec: None,
            requests,
            term: watch::Sender::new(position::Term::default()),
        }
    }

    fn observe(&mut self, event: event::Event<'_>) {
        self.change.observe(self.setting.clock.now(), event);
    }

    /// Takes over what the configuration says of the group.
    pub fn reshape(
        &mut self,
        spec: Option<&spec::GroupSpec>,
        leadership: Option<&leadership::Leadership>,
        version: u64,
    ) {
        if let Some(spec) = spec {
            self.change.reshape(spec);
        }
        self.spec = spec.cloned();
        if let Some(leadership) = leadership {
            self.take_leadership(leadership, version);
        }
        self.take_place();
    }

    fn take_leadership(&mut self, leadership: &leadership::Leadership, version: u64) {
        let before = self.change.serving().map(|(_, term)| term);
        self.observe(event::Event::Leadership {
            leadership,
            version,
        });
        let is_raised = self.term.send_if_modified(|term| {
            let is_raised = leadership.term > *term;
            *term = leadership.term.max(*term);
            is_raised
        });
        let after = self.change.serving().map(|(_, term)| term);
        if is_raised || before != after {
            // The members' next regular reports may be long in coming.
            self.probe_all();
        }
    }

    /// This instance's place: owners in the zones of replicas go first, for the zone of a
    /// primary that failed may have failed with it.
    pub fn take_place(&mut self) {
        let fleet = self.setting.fleet.borrow().clone();
        let Some(spec) = &self.spec else {
            return;
        };
        let primary = self.change.primary().cloned();
        let mut owners = Vec::new();
        let mut last = None;
        for member in &spec.members {
            let Some(owner) = fleet.owner(&member.name, &member.zone) else {
                continue;
            };
            if primary.as_ref() == Some(&member.name) {
                last = Some(&owner.name);
                continue;
            }
            owners.push(&owner.name);
        }
        owners.extend(last);
        let own = &self.setting.instance;
        let rank = owners.iter().position(|o| *o == own);
        let place = event::Place {
            rank: rank.unwrap_or(owners.len()) as u32,
            owns_primary: last == Some(own),
        };
        self.observe(event::Event::Place(place));
    }

    /// Takes a member's report.
    pub fn report(&mut self, member: &name::MemberName, status: &status::MemberStatus) {
        self.observe(event::Event::Report { member, status });
    }

    /// Takes note that a member can't be reached.
    pub fn lose(&mut self, member: &name::MemberName, reach: detect::Reach) {
        self.observe(event::Event::Lost { member, reach });
    }

    /// Takes the end of a command to a member.
    pub fn answered(&mut self, controlled: &Controlled) {
        let member = &controlled.member;
        if let Some(status) = &controlled.status {
            self.report(member, status);
        }
        let done = controlled.status.is_some();
        self.observe(event::Event::Answered { member, done });
    }

    /// Takes the platform's answer; none when the call failed or the answer was lost.
    pub fn stored(&mut self, stored: Option<&leaderships::Stored>) {
        let Some(stored) = stored else {
            self.observe(event::Event::StoreLost);
            return;
        };
        if let Some(leadership) = &stored.leadership {
            self.take_leadership(leadership, stored.version);
        }
        self.observe(event::Event::Stored);
    }

    /// Takes the number of write transactions that run here.
    pub fn writers(&mut self, writers: usize) {
        self.observe(event::Event::Writers(writers));
    }

    /// The primary that takes writes now.
    pub fn serving(&self) -> Option<(&name::MemberName, position::Term)> {
        self.change.serving()
    }

    /// The group's newest term as it changes.
    pub fn term(&self) -> watch::Receiver<position::Term> {
        self.term.subscribe()
    }

    /// Does what is to be done now; returns when to look again.
    pub fn act(&mut self) -> Option<Timestamp> {
        let now = self.setting.clock.now();
        for command in self.change.poll(now) {
            log::info!("event=change group={} {command}", self.setting.group);
            self.carry_out(command);
        }
        self.change.wake(now)
    }

    fn carry_out(&self, command: event::Command) {
        match command {
            event::Command::Read => self.call(leaderships::Act::Read),
            event::Command::Write {
                leadership,
                expected,
            } => {
                self.call(leaderships::Act::Write {
                    leadership,
                    expected,
                });
            }
            event::Command::Fence { member, term } => self.control(member, Step::Fence(term)),
            event::Command::Promote { member, term } => self.control(member, Step::Promote(term)),
            event::Command::Probe { member } => self.control(member, Step::Probe),
            event::Command::Follow {
                member,
                term,
                primary,
            } => {
                let Some(primary) = self.spec.as_ref().and_then(|s| s.member(&primary)) else {
                    return;
                };
                self.control(member, Step::Follow(term, primary.address.clone()));
            }
        }
    }

    fn call(&self, act: leaderships::Act) {
        let call = leaderships::Call {
            group: self.setting.group.clone(),
            act,
            reply: self.requests.clone(),
        };
        let leaderships = self.setting.leaderships.clone();
        // When the task has ended, the instance is stopping and the answer is not missed.
        tokio::spawn(async move { leaderships.send(call).await });
    }

    fn probe_all(&self) {
        let names: collections::BTreeSet<name::MemberName> = match &self.spec {
            Some(spec) => spec.members.iter().map(|m| m.name.clone()).collect(),
            None => return,
        };
        for member in names {
            self.control(member, Step::Probe);
        }
    }

    fn control(&self, member: name::MemberName, step: Step) {
        let Some(known) = self.spec.as_ref().and_then(|s| s.member(&member)) else {
            return;
        };
        let setting = &self.setting;
        let login = endpoint::login(&known.address, &setting.group, &setting.instance);
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
        let controlled = Controlled { member, status };
        // The group may have been removed in the meantime.
        let _ = requests.send(group::Request::Controlled(controlled)).await;
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
