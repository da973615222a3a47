//! How a group's task uses owners: its own queues, other instances, and pings of silent ones.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;
use tokio::sync::oneshot;

use crate::admission;
use crate::checkout;
use crate::clock;
use crate::group::Message;
use crate::group::Owned;
use crate::group::Refusal;
use crate::group::Task;
use crate::group::permits;
use crate::link;
use crate::relay;
use crate::view;

/// Target latency of ranks that no route of the group has.
const DEFAULT_TARGET: time::Duration = time::Duration::from_millis(250);

/// Why an owner is pinged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ping {
    /// To see whether it answers.
    Check,
    /// A statement at the member has had no answer for a long time.
    Suspicion,
    /// The member is down, as far as this instance knows.
    Probe,
}

impl<C: link::Connector> Task<C> {
    /// Updates the bounds of the members' queues, and ends those of members that have left.
    pub(super) fn configure_owned(&mut self, view: &view::View, spec: &view::GroupSpec) {
        let members = &view.members;
        self.owned
            .retain(|name, _| members.contains_key(name.as_str()));
        let is_leaving = view.leaving.contains(self.context.instance.as_str());
        for (name, owned) in &mut self.owned {
            if is_leaving {
                owned.handle.send(admission::Message::Leave);
            }
            let Some(bounds) = bounds(view, spec, name) else {
                continue;
            };
            if owned.bounds != bounds {
                owned.bounds = bounds.clone();
                owned.handle.send(admission::Message::Configure(bounds));
            }
        }
    }

    /// The queue of a member, started on its first use; none when the member is unknown.
    fn owned(&mut self, member: &name::MemberName) -> Option<&admission::Handle<C::Link>> {
        if !self.owned.contains_key(member.as_str()) {
            let view = self.context.views.borrow().clone();
            let group = &self.context.group;
            let spec = view.catalog.groups.iter().find(|g| g.name == *group)?;
            let bounds = bounds(&view, spec, member)?;
            let handle = admission::start(admission::Context {
                connector: self.context.connector.clone(),
                bounds: bounds.clone(),
                metrics: self.context.metrics.clone(),
            });
            log::info!("event=owner group={group} member={member}");
            self.owned.insert(member.clone(), Owned { bounds, handle });
        }
        self.owned.get(member.as_str()).map(|o| &o.handle)
    }

    /// Passes work to a member's queue, if this instance is one of the member's owners or their
    /// successors.
    pub(super) fn admit(
        &mut self,
        member: &name::MemberName,
        request: admission::Request,
        reply: oneshot::Sender<Result<admission::Admitted<C::Link>, admission::Refusal>>,
    ) {
        let is_served = self.routes.is_served(member);
        let handle = is_served.then(|| self.owned(member)).flatten();
        match handle {
            Some(handle) => handle.send(admission::Message::Admit { request, reply }),
            None => {
                // The requester may have gone.
                let _ = reply.send(Err(admission::Refusal::Unreachable));
            }
        }
    }

    /// Passes a granted request of this instance to its own queue.
    pub(super) fn admit_own(&mut self, grant: pool::Grant<checkout::Connection<C::Link>>) {
        let Some(waiting) = self.waiting.get_mut(&grant.id) else {
            let unused = pool::Completion::Unused;
            self.pool.release(clock::now(), &grant.member, None, unused);
            return;
        };
        let mut permit = waiting.permit.take();
        let request = admission::Request {
            rank: relay::owner::to_rank(waiting.request.rank),
            caller: waiting.request.caller.clone(),
            workspace: waiting.request.workspace().cloned(),
            max_wait: grant.max_wait,
            target: waiting.request.target,
            deadline: waiting.request.deadline,
        };
        let (reply, admitted) = oneshot::channel();
        self.admit(&grant.member, request, reply);
        let handle = self.handle.clone();
        let change = self.change;
        tokio::task::spawn_local(async move {
            let result = admitted.await;
            let mut result = result.unwrap_or(Err(admission::Refusal::Unreachable));
            if let Ok(admitted) = result {
                result = permits::renew(&mut permit, admitted).await;
            }
            // The receiver is gone when the group's task has ended.
            let _ = handle.send(Message::Admitted {
                grant,
                change,
                permit,
                result: Box::new(result),
            });
        });
    }

    pub(super) fn handle_admitted(
        &mut self,
        now: Timestamp,
        grant: pool::Grant<checkout::Connection<C::Link>>,
        change: u64,
        result: Result<admission::Admitted<C::Link>, admission::Refusal>,
    ) {
        match result {
            Ok(admission::Admitted { connection, job }) => {
                self.check_out(connection, Some(job), grant, change);
            }
            Err(admission::Refusal::Overloaded(after)) => {
                let unused = pool::Completion::Unused;
                self.pool.release(now, &grant.member, None, unused);
                self.refuse(grant.id, Refusal::Overloaded(after));
            }
            Err(admission::Refusal::LongWait) => self.move_on(now, &grant),
            Err(admission::Refusal::Unreachable) => {
                let failed = pool::Completion::Failed;
                self.report(now, &grant.member, suspicion::Observation::Failed);
                self.avoid_own(now, &grant.member);
                self.pool.release(now, &grant.member, None, failed);
                self.requeue(grant.id);
            }
        }
    }

    /// Chooses again for a request that would wait for too long in this instance's own queue.
    fn move_on(&mut self, now: Timestamp, grant: &pool::Grant<checkout::Connection<C::Link>>) {
        if let Some(owned) = self.owned.get(grant.member.as_str()) {
            let load = owned.handle.status().load;
            self.pool.record_load(now, &grant.member, load);
        }
        let unused = pool::Completion::Unused;
        self.pool.release(now, &grant.member, None, unused);
        if let Some(waiting) = self.waiting.get_mut(&grant.id) {
            waiting.request.asked.push(grant.member.clone());
        }
        self.requeue(grant.id);
    }

    /// Stops using this instance's own queue for a member that it can't reach; other owners may.
    fn avoid_own(&mut self, now: Timestamp, member: &name::MemberName) {
        let own = self.context.instance.clone();
        self.routes.standings().record_unserved(now, &own, member);
        self.context.views.mark_changed();
    }

    /// Records what the end of a request tells about the owner on the member's route.
    pub(super) fn record_owner_result(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        completion: pool::Completion,
    ) {
        match completion {
            pool::Completion::Failed | pool::Completion::OwnerLost => {
                self.ping_route(member, Ping::Check);
            }
            pool::Completion::Unserved => {
                if let Some(owner) = self.routes.owner(member).cloned() {
                    self.routes
                        .standings()
                        .record_unserved(now, &owner.name, member);
                    self.context.views.mark_changed();
                }
            }
            pool::Completion::Answered(_)
            | pool::Completion::NoSlot
            | pool::Completion::NoConnection
            | pool::Completion::Behind(_)
            | pool::Completion::TimedOut
            | pool::Completion::StatementFailed
            | pool::Completion::Unused => {}
        }
    }

    /// Handles a statement that has had no answer for a long time: it may wait in the owner's
    /// queue, or the owner or the member may be silent.
    pub(super) fn suspect(&mut self, now: Timestamp, member: &name::MemberName) {
        if self.routes.owner(member).is_some() {
            self.report(now, member, suspicion::Observation::Failed);
            self.ping_route(member, Ping::Suspicion);
            return;
        }
        let is_local = self.pool.share(member) == Some(share::Share::Local);
        let owned = self.owned.get(member.as_str()).filter(|_| is_local);
        if owned.is_some_and(|o| o.handle.status().is_answering(now)) {
            return;
        }
        self.record_member_silent(now, member);
    }

    /// Avoids an owner that doesn't answer. Others of the member's owners may be silent for the same
    /// reason, so they are pinged together; and so may the member.
    pub(super) fn avoid_owner(
        &mut self,
        now: Timestamp,
        owner: &name::InstanceName,
        member: &name::MemberName,
    ) {
        let is_first = self.routes.standings().record_silent(now, owner);
        self.publish_silent();
        if !is_first {
            return;
        }
        self.report(now, member, suspicion::Observation::Failed);
        let Some(target) = self.target(member) else {
            return;
        };
        for other in self.routes.others(member, now, &self.context.instance) {
            self.ping(other, target.clone(), Ping::Check);
        }
    }

    /// Publishes which owners are silent, and recomputes the routes.
    fn publish_silent(&mut self) {
        self.silent.send_replace(self.routes.silent());
        self.context.views.mark_changed();
    }

    fn record_member_silent(&mut self, now: Timestamp, member: &name::MemberName) {
        self.pool.mark_silent(now, member);
        self.report(now, member, suspicion::Observation::Failed);
    }

    /// Pings the owner on a member's route, if there is one.
    fn ping_route(&self, member: &name::MemberName, ping: Ping) {
        let owner = self.routes.owner(member).cloned();
        if let Some((target, owner)) = self.target(member).zip(owner) {
            self.ping(owner, target, ping);
        }
    }

    pub(super) fn ping(&self, owner: link::Owner, target: link::Target, ping: Ping) {
        let handle = self.handle.clone();
        let traffic = self.context.metrics.traffic().clone();
        tokio::task::spawn_local(async move {
            let is_answering = relay::ping_owner(owner.address, &target, &traffic).await;
            // The receiver is gone when the group's task has ended.
            let _ = handle.send(Message::OwnerPinged {
                owner: owner.name,
                member: target.member,
                is_answering,
                ping,
            });
        });
    }

    /// Pings the silent owners that are due.
    pub(super) fn ping_silent(&mut self, now: Timestamp) {
        for owner in self.routes.start_pings(now) {
            let Some(member) = self.routes.any_member() else {
                continue;
            };
            let target = link::Target {
                group: self.context.group.clone(),
                member,
                address: owner.address,
                via: Some(owner.clone()),
                workspace: None,
            };
            self.ping(owner, target, Ping::Check);
        }
    }

    pub(super) fn handle_ping(
        &mut self,
        now: Timestamp,
        owner: &name::InstanceName,
        member: &name::MemberName,
        is_answering: Option<bool>,
        ping: Ping,
    ) {
        if ping == Ping::Probe {
            let is_reached = is_answering == Some(true);
            self.pool.finish_probe(now, member, is_reached);
        }
        match is_answering {
            None => self.avoid_owner(now, owner, member),
            Some(is_answering) => {
                if self.routes.standings().record_answer(owner) {
                    self.publish_silent();
                }
                if ping == Ping::Suspicion && !is_answering {
                    self.record_member_silent(now, member);
                }
            }
        }
    }

    pub(super) fn refuse(&mut self, id: u64, refusal: Refusal) {
        if let Some(waiting) = self.waiting.remove(&id) {
            // The receiver is gone when the caller has disconnected.
            let _ = waiting.reply.send(Err(refusal));
        }
    }
}

/// Bounds of a member's queue; none when the member is unknown.
fn bounds(
    view: &view::View,
    spec: &view::GroupSpec,
    name: &name::MemberName,
) -> Option<admission::Bounds> {
    let member = view.members.get(name.as_str())?;
    let mut targets = [None; 3];
    for route in view.catalog.routes.values() {
        if route.group != spec.name {
            continue;
        }
        let index = usize::from(route.rank).min(targets.len() - 1);
        let known = targets[index].unwrap_or(route.target);
        targets[index] = Some(known.min(route.target));
    }
    Some(admission::Bounds {
        slots: member.slots,
        connections: share::per_owner(spec.connections),
        targets: targets.map(|t| t.unwrap_or(DEFAULT_TARGET)),
        target: link::Target {
            group: spec.name.clone(),
            member: name.clone(),
            address: member.address,
            via: None,
            workspace: None,
        },
    })
}
