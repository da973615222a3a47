//! Decides which request gets which connection of a group, and which log position a read
//! requires.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::load;
use crate::member;
use crate::placement;
use crate::sample;
use crate::share;
use crate::wait_queue;

mod choice;

/// A connection granted to a request.
#[derive(Debug)]
pub struct Grant<L> {
    /// Identifier of the request.
    pub id: u64,
    /// Member to use.
    pub member: name::MemberName,
    /// Whether the member is the group's primary.
    pub is_primary: bool,
    /// Position that the member must have reached for a read.
    pub after: Option<position::Position>,
    /// Wait beyond which another member is expected to finish the request earlier.
    pub max_wait: Option<time::Duration>,
    /// An idle connection; `None` if one must be opened.
    pub link: Option<L>,
}

/// Why a request gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The group has no primary, or the lease on it isn't valid.
    NoPrimary,
    /// No suitable member has a free connection.
    NoConnection,
    /// No suitable member can be reached.
    Unreachable,
}

/// Decision on a request.
#[derive(Debug)]
pub enum Decision<L> {
    /// The request gets a connection.
    Grant(Grant<L>),
    /// The request is refused; it did not run.
    Refuse {
        /// Identifier of the request.
        id: u64,
        /// Why it is refused.
        reason: Reason,
    },
}

/// How the use of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The member answered; the duration is that of one statement.
    Answered(time::Duration),
    /// The member refused the request: it had no free slot.
    NoSlot,
    /// The member refused the connection: it had none free.
    NoConnection,
    /// The member lacked this position.
    Behind(position::Position),
    /// The connection broke or could not be opened.
    Failed,
    /// The member did not answer in time.
    TimedOut,
    /// The member ran the request, and it failed.
    StatementFailed,
    /// The connection to the owner broke, which gives no information about the member.
    OwnerLost,
    /// The owner can't serve the member.
    Unserved,
    /// The connection was not used.
    Unused,
}

/// The connection pool of one group.
#[derive(Debug)]
pub struct Pool<L> {
    members: Vec<member::Member<L>>,
    primary: Option<name::MemberName>,
    samples: sample::Samples,
    queue: wait_queue::WaitQueue,
    /// Whether waiting for a lease is of no use.
    is_isolated: bool,
    /// Longest delay before a probe.
    probe_delay: time::Duration,
}

impl<L> Default for Pool<L> {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            primary: None,
            samples: sample::Samples::default(),
            queue: wait_queue::WaitQueue::default(),
            is_isolated: false,
            probe_delay: member::max_probe_delay(1),
        }
    }
}

impl<L> Pool<L> {
    /// A pool without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the group's members. Keeps the state of those already known, and closes idle
    /// connections to replicas that aren't ready.
    pub fn set_members(&mut self, infos: &[member::MemberInfo<'_>]) {
        self.members
            .retain(|m| infos.iter().any(|i| *i.name == m.name));
        for info in infos {
            match self.members.iter_mut().find(|m| m.name == *info.name) {
                Some(member) => member.update(info),
                None => self.members.push(member::Member::new(info)),
            }
        }
        let primary = self.primary.as_ref();
        for member in &mut self.members {
            if !member.is_ready && primary != Some(&member.name) {
                member.close_idle();
            }
        }
    }

    /// Sets the number of instances, which together probe a member that is down.
    pub fn set_instances(&mut self, count: usize) {
        self.probe_delay = member::max_probe_delay(count);
    }

    /// Sets the primary of the current leadership; `None` while the leadership changes.
    pub fn set_primary(&mut self, primary: Option<&name::MemberName>) {
        self.primary = primary.cloned();
    }

    /// Sets whether the instance has had no lease for so long that waiting for one is of no use:
    /// a request that needs one is then refused at once, as other instances may have one.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// Adds a request to the queue; [`Pool::poll`] decides on it.
    pub fn request(&mut self, request: wait_queue::Request) {
        self.queue.push(request);
    }

    /// Decides which requests get a connection now and which are refused; `is_leased` tells
    /// whether the lease on the leadership is valid now.
    pub fn poll(&mut self, now: Timestamp, is_leased: bool) -> Vec<Decision<L>> {
        for member in &mut self.members {
            member.close_expired(now);
        }
        let mut decisions = Vec::new();
        let mut done = Vec::new();
        let queue = std::mem::take(&mut self.queue);
        for request in queue.iter() {
            if request.deadline <= now {
                let reason = self.refusal_reason(request, is_leased);
                decisions.push(Decision::Refuse {
                    id: request.id,
                    reason,
                });
                done.push((request.rank, request.id));
                continue;
            }
            if let Some((choice, after)) = self.choose_member(now, request, is_leased) {
                decisions.push(Decision::Grant(self.check_out(choice, request, after)));
                done.push((request.rank, request.id));
                continue;
            }
            if self.is_isolated && !is_leased {
                decisions.push(Decision::Refuse {
                    id: request.id,
                    reason: Reason::NoPrimary,
                });
                done.push((request.rank, request.id));
            }
        }
        self.queue = queue;
        for (rank, id) in done {
            self.queue.remove(rank, id);
        }
        decisions
    }

    fn check_out(
        &mut self,
        choice: placement::Choice,
        request: &wait_queue::Request,
        after: Option<position::Position>,
    ) -> Grant<L> {
        let is_primary = self.is_primary(choice.index);
        let member = &mut self.members[choice.index];
        member.in_use += 1;
        Grant {
            id: request.id,
            member: member.name.clone(),
            is_primary,
            after,
            max_wait: choice.max_wait,
            link: member.take_idle(request.workspace()),
        }
    }

    fn is_primary(&self, index: usize) -> bool {
        self.primary.as_ref() == Some(&self.members[index].name)
    }

    fn refusal_reason(&self, request: &wait_queue::Request, is_leased: bool) -> Reason {
        if request.requirement == wait_queue::Requirement::Primary
            && (self.primary.is_none() || !is_leased)
        {
            return Reason::NoPrimary;
        }
        let mut is_reachable = false;
        for member in &self.members {
            is_reachable |= member.is_ready && !member.is_down();
        }
        if is_reachable {
            Reason::NoConnection
        } else {
            Reason::Unreachable
        }
    }

    /// Returns a connection to the pool and records how its use ended. `link` is `None` if
    /// the connection is closed.
    pub fn release(
        &mut self,
        now: Timestamp,
        name: &name::MemberName,
        link: Option<L>,
        completion: Completion,
    ) {
        self.release_bound(now, name, link, None, completion);
    }

    /// Like [`Pool::release`], for a connection to the member itself that serves a workspace.
    pub fn release_bound(
        &mut self,
        now: Timestamp,
        name: &name::MemberName,
        link: Option<L>,
        workspace: Option<name::WorkspaceName>,
        completion: Completion,
    ) {
        let Some(member) = self.members.iter_mut().find(|m| m.name == *name) else {
            return;
        };
        member.in_use = member.in_use.saturating_sub(1);
        match completion {
            Completion::Answered(duration) => member.record_answer(duration),
            Completion::NoSlot => member.record_no_slot(now),
            Completion::NoConnection => member.record_no_connection(now),
            Completion::Behind(needed) => member.record_miss(now, needed),
            Completion::Failed | Completion::TimedOut => {
                member.record_failure(now, self.probe_delay);
            }
            Completion::StatementFailed => member.mark_up(),
            Completion::Unserved => member.mark_silent(now),
            Completion::OwnerLost | Completion::Unused => {}
        }
        let is_primary = self.primary.as_ref() == Some(&member.name);
        if let Some(link) = link
            && (member.is_ready || is_primary)
        {
            member.put_idle(now, link, workspace);
        }
    }

    /// Records the load of a member, as its owner reported it.
    pub fn record_load(&mut self, now: Timestamp, name: &name::MemberName, load: load::Load) {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.load = load::Report::new(load, now);
        }
    }

    /// Takes another idle connection to a member for a workspace, if there is one.
    pub fn take_idle(
        &mut self,
        name: &name::MemberName,
        workspace: Option<&name::WorkspaceName>,
    ) -> Option<L> {
        let member = self.members.iter_mut().find(|m| m.name == *name)?;
        member.take_idle(workspace)
    }

    /// How the instance reaches a member.
    pub fn share(&self, name: &name::MemberName) -> Option<share::Share> {
        let member = self.members.iter().find(|m| m.name == *name)?;
        Some(member.share)
    }

    /// Records that a connection for a request was opened.
    pub fn record_opened(&mut self, name: &name::MemberName) {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.record_opened();
        }
    }

    /// Marks a member that hasn't answered for a long time as down: it gets no requests until
    /// a probe of it succeeds.
    pub fn mark_silent(&mut self, now: Timestamp, name: &name::MemberName) {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.mark_silent(now);
        }
    }

    /// Members to probe now, by opening a connection to each; the caller must report the
    /// result of each probe to [`Pool::finish_probe`].
    pub fn start_probes(&mut self, now: Timestamp) -> Vec<name::MemberName> {
        let mut names = Vec::new();
        for member in &mut self.members {
            if member.next_probe().is_some_and(|probe| probe <= now) {
                member.probe_running = true;
                names.push(member.name.clone());
            }
        }
        names
    }

    /// Records the result of a probe.
    pub fn finish_probe(&mut self, now: Timestamp, name: &name::MemberName, is_reachable: bool) {
        let Some(member) = self.members.iter_mut().find(|m| m.name == *name) else {
            return;
        };
        member.probe_running = false;
        if is_reachable {
            member.mark_up();
        } else {
            member.record_failure(now, self.probe_delay);
        }
    }

    /// Records a position that a member reported; `is_leased` tells whether the lease was
    /// valid when the answer arrived. Returns whether it is a new sample of the primary's
    /// position, which should be sent to other instances.
    pub fn record_position(
        &mut self,
        name: &name::MemberName,
        sample: sample::Sample,
        is_leased: bool,
    ) -> bool {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.set_position(sample.position);
        }
        is_leased && self.primary.as_ref() == Some(name) && self.samples.insert(sample)
    }

    /// Adds a sample of the primary's position that another instance took under a valid
    /// lease.
    pub fn add_sample(&mut self, sample: sample::Sample) {
        self.samples.insert(sample);
    }

    /// When [`Pool::poll`] or [`Pool::start_probes`] next has something to do, if no event comes
    /// earlier.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let mut earliest = self.queue.deadline();
        for member in &self.members {
            let pause_end = member.pause_end(now).filter(|_| !self.queue.is_empty());
            let expiry = member.next_expiry();
            for at in [pause_end, member.next_probe(), expiry]
                .into_iter()
                .flatten()
            {
                earliest = Some(earliest.map_or(at, |e| e.min(at)));
            }
        }
        earliest
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}
