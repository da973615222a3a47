//! The state of one instance: its voter, its candidate, the allocator of its tenure, and its
//! allowance.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

use crate::allocator;
use crate::allowance;
use crate::bounds;
use crate::message;
use crate::tenure;
use crate::tenure::candidate;
use crate::tenure::voter;

/// Longest time without a holder that an answer states, in milliseconds.
const MAX_VACANT_MS: u128 = 1_000;

/// What an instance is and keeps to.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its name.
    pub own: name::InstanceName,
    /// Number of its process, which no other process of the instance has.
    pub incarnation: u64,
    /// The bound.
    pub bounds: bounds::Bounds,
    /// Durations of the tenure.
    pub timing: bounds::Timing,
}

/// What the caller must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: name::InstanceName,
        /// The message.
        message: message::Message,
    },
    /// Tell a waiting operation.
    Decided(allowance::Decision),
    /// This instance holds the tenure from now on.
    Began,
    /// This instance holds the tenure no more.
    Ended,
}

/// State of one instance.
#[derive(Debug)]
pub struct Limiter {
    settings: Settings,
    voter: voter::Voter,
    candidate: candidate::Candidate,
    /// The allocator of the present tenure.
    allocator: Option<allocator::Allocator>,
    allowance: allowance::Allowance,
    limits: allocator::Limits,
    is_leaving: bool,
    outputs: Vec<Output>,
}

impl Limiter {
    /// Creates the state of a process that starts now.
    pub fn new(started: Timestamp, settings: Settings) -> Self {
        let Settings {
            own,
            incarnation,
            bounds,
            timing,
        } = &settings;
        Self {
            voter: voter::Voter::new(started, *timing),
            candidate: candidate::Candidate::new(own, *incarnation, *timing),
            allocator: None,
            allowance: allowance::Allowance::new(started, own, *incarnation, *bounds),
            limits: allocator::Limits::new(),
            is_leaving: false,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Adopts voters of a newer generation.
    pub fn set_voters(&mut self, now: Timestamp, voters: &voters::Voters) {
        self.voter.adopt(now, voters);
        self.candidate.adopt(now, voters);
    }

    /// Lets this instance vote, as the voters that it has adopted are at least as new as those that
    /// it knew before its start.
    pub fn allow_votes(&mut self) {
        self.voter.allow();
    }

    /// Sets the registered instances.
    pub fn set_fleet(&mut self, fleet: Vec<name::InstanceName>) {
        self.allowance.set_fleet(fleet);
    }

    /// Sets the workspaces' limits.
    pub fn set_limits(&mut self, now: Timestamp, limits: allocator::Limits) {
        if let Some(allocator) = &mut self.allocator {
            allocator.set_limits(now, &limits);
        }
        self.allowance.set_limits(&limits);
        self.limits = limits;
    }

    /// Hands the tenure over, as the process is about to stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Whether a workspace has a limit.
    pub fn is_limited(&self, workspace: &name::WorkspaceName) -> bool {
        self.allowance.is_limited(workspace)
    }

    /// The allowance, for reports.
    pub fn allowance(&self) -> &allowance::Allowance {
        &self.allowance
    }

    /// Whether this instance holds the tenure.
    pub fn is_holder(&self, now: Timestamp) -> bool {
        self.candidate.is_holder(now)
    }

    /// Asks for the token of an operation; [`Limiter::poll`] must follow.
    pub fn take(
        &mut self,
        now: Timestamp,
        id: u64,
        workspace: &name::WorkspaceName,
        until: Timestamp,
    ) -> allowance::Taken {
        if self.candidate.voters().is_empty() {
            self.allowance.record_unknown_voters(now);
        }
        self.allowance.take(now, id, workspace, until)
    }

    /// Returns the permit of an operation that has not run; [`Limiter::poll`] must follow.
    pub fn put_back(
        &mut self,
        now: Timestamp,
        workspace: &name::WorkspaceName,
        permit: allowance::Permit,
    ) {
        self.allowance.put_back(now, workspace, permit);
    }

    /// Handles a message; [`Limiter::poll`] must follow.
    pub fn handle(&mut self, now: Timestamp, from: &name::InstanceName, message: message::Message) {
        if self.candidate.voters().contains(from) {
            self.candidate.record_presence(now, from);
        }
        match message {
            message::Message::Confirm(request) => {
                self.candidate.record_candidate(from, true);
                let mut reply = self.voter.confirm(now, from, &request);
                reply.is_candidate = self.is_candidate();
                self.send(from, message::Message::Confirmed(reply));
            }
            message::Message::Confirmed(reply) => {
                self.candidate.record_candidate(from, reply.is_candidate);
                if self.candidate.record(now, from, &reply) {
                    self.begin(now);
                }
            }
            message::Message::Withdraw(withdrawal) => self.end_tenure(now, from, &withdrawal),
            message::Message::Probe => {
                let is_candidate = self.is_candidate();
                self.send(from, message::Message::Present { is_candidate });
            }
            message::Message::Present { is_candidate } => {
                self.candidate.record_candidate(from, is_candidate);
            }
            message::Message::Tokens(request) => {
                if let Some(answer) = self.answer(now, from, &request) {
                    self.send(from, message::Message::Granted(answer));
                }
            }
            message::Message::Granted(answer) => self.allowance.record(now, from, &answer),
        }
    }

    /// Handles the withdrawal of another instance, which may hand the tenure over to this one.
    fn end_tenure(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        withdrawal: &tenure::Withdrawal,
    ) {
        self.voter.withdraw(now, from, withdrawal);
        let successor = withdrawal.successor.as_ref();
        let is_own = |s: &&tenure::Successor| s.name == self.settings.own;
        if let Some(successor) = successor.filter(is_own)
            && self.is_candidate()
        {
            let former = tenure::Former {
                holder: from.clone(),
                incarnation: withdrawal.incarnation,
                number: withdrawal.number,
            };
            self.candidate.take_over(now, former, successor.generation);
        }
    }

    /// Answers a request for tokens, with some if this instance holds the tenure at this moment.
    fn answer(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        request: &allocator::Request,
    ) -> Option<allocator::Answer> {
        let is_holder = self.candidate.is_holder(now);
        if let Some(allocator) = self.allocator.as_mut().filter(|_| is_holder) {
            return allocator.answer(now, from, request);
        }
        let vacant = self.voter.vacant_until(now).map(|until| until.since(now));
        let holder = self.voter.holder(now).filter(|_| vacant.is_none());
        let holder = holder.or(self.voter.successor(now));
        Some(allocator::Answer {
            incarnation: request.incarnation,
            number: request.number,
            holder: holder.cloned(),
            vacant_ms: vacant.map_or(0, |v| v.as_millis().min(MAX_VACANT_MS) as u16),
            grants: None,
        })
    }

    fn begin(&mut self, now: Timestamp) {
        let head_start = self.settings.timing.head_start.as_micros() as u64;
        let since = Timestamp(now.0.saturating_sub(head_start));
        self.allocator = Some(allocator::Allocator::new(since, &self.limits));
        self.outputs.push(Output::Began);
    }

    fn send(&mut self, to: &name::InstanceName, message: message::Message) {
        let to = to.clone();
        self.outputs.push(Output::Send { to, message });
    }

    /// Does what is due, and returns what the caller must do.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Output> {
        self.campaign(now);
        if !self.candidate.is_holder(now) && self.allocator.take().is_some() {
            self.outputs.push(Output::Ended);
        }
        self.allowance.refuse_overdue(now);
        while let Some(request) = self.allowance.request(now) {
            self.ask(now, request);
        }
        let decisions = self.allowance.take_decisions();
        self.outputs
            .extend(decisions.into_iter().map(Output::Decided));
        std::mem::take(&mut self.outputs)
    }

    /// Sends a request for tokens to the holder, which may be this instance.
    fn ask(&mut self, now: Timestamp, request: allocator::Request) {
        let own = self.settings.own.clone();
        if self.candidate.is_holder(now) {
            if let Some(answer) = self.answer(now, &own, &request) {
                self.allowance.record(now, &own, &answer);
            }
            return;
        }
        let mut others = self.candidate.voters();
        others.remove(own.as_str());
        let confirmed = self.voter.holder(now).filter(|h| **h != own).cloned();
        let is_unknown = self.allowance.holder().is_none();
        let target = match confirmed.filter(|_| is_unknown) {
            Some(confirmed) => Some(confirmed),
            None => self.allowance.target(&others),
        };
        if let Some(target) = target {
            self.send(&target, message::Message::Tokens(request));
        }
    }

    /// Whether this instance should hold the tenure if no other does.
    fn is_candidate(&self) -> bool {
        !self.limits.is_empty() && !self.is_leaving && self.candidate.is_eligible()
    }

    /// Does the candidate's next step, if one is due.
    fn campaign(&mut self, now: Timestamp) {
        if !self.is_candidate() {
            if let Some(withdrawal) = self.candidate.withdraw(now) {
                self.broadcast(now, &message::Message::Withdraw(withdrawal));
            }
            return;
        }
        let free_at = self.voter.free_at(&self.settings.own);
        match self.candidate.step(now, free_at) {
            Some(candidate::Step::Ask(request)) => {
                self.broadcast(now, &message::Message::Confirm(request));
            }
            Some(candidate::Step::Withdraw(withdrawal)) => {
                self.broadcast(now, &message::Message::Withdraw(withdrawal));
            }
            Some(candidate::Step::Probe(names)) => {
                for name in names {
                    self.send(&name, message::Message::Probe);
                }
            }
            None => {}
        }
    }

    /// Sends a message to all voters; this instance's own one handles it at once.
    fn broadcast(&mut self, now: Timestamp, message: &message::Message) {
        let own = self.settings.own.clone();
        for name in self.candidate.voters() {
            if name != own {
                self.send(&name, message.clone());
            }
        }
        match message {
            message::Message::Confirm(request) => {
                let reply = self.voter.confirm(now, &own, request);
                if self.candidate.record(now, &own, &reply) {
                    self.begin(now);
                }
            }
            message::Message::Withdraw(withdrawal) => self.voter.withdraw(now, &own, withdrawal),
            _ => {}
        }
    }

    /// When [`Limiter::poll`] has something to do; none while nothing is due.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let is_candidate = self.is_candidate();
        let free_at = self.voter.free_at(&self.settings.own);
        let step = self.candidate.next_step(now, free_at);
        let times = [
            step.filter(|_| is_candidate),
            self.allowance.next_wakeup(now),
            self.candidate.lease_end(now),
        ];
        times.into_iter().flatten().min()
    }

    /// The instances that may hold the tenure.
    pub fn voters(&self) -> collections::BTreeSet<name::InstanceName> {
        self.candidate.voters()
    }
}
