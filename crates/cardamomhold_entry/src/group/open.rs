//! How a group's task opens connections, for statements and for probes.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::share;

use crate::admission;
use crate::checkout;
use crate::clock;
use crate::group::Message;
use crate::group::Opened;
use crate::group::Task;
use crate::group::owned::Ping;
use crate::link;
use crate::link::Link;

/// Timeout of opening a connection.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

impl<C: link::Connector> Task<C> {
    /// Starts the probes of members that are due.
    pub(super) fn probe(&mut self, now: Timestamp) {
        for member in self.pool.start_probes(now) {
            let Some(target) = self.target(&member) else {
                self.pool.finish_probe(now, &member, false);
                continue;
            };
            match self.routes.owner(&member).cloned() {
                Some(owner) => self.ping(owner, target, Ping::Probe),
                None => self.reach(target),
            }
        }
    }

    /// Checks whether a member accepts connections.
    pub(super) fn reach(&self, target: link::Target) {
        let connector = self.context.connector.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let sent = clock::now();
            let result = connector.reach(&target).await;
            // The receiver is gone when the group's task has ended.
            let _ = handle.send(Message::Probed {
                member: target.member,
                sent,
                result,
            });
        });
    }

    pub(super) fn handle_probed(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        sent: Timestamp,
        result: Result<(), link::LinkError>,
    ) {
        let is_reached = result.is_ok();
        log::info!(
            "event=probe group={} member={member} is_reached={is_reached} took_ms={}",
            self.context.group,
            now.since(sent).as_millis()
        );
        let is_failing = self.failure_detector.is_failing(now);
        let observation = if is_reached && !is_failing {
            suspicion::Observation::Reached
        } else {
            suspicion::Observation::Failed
        };
        self.report(now, member, observation);
        self.pool.finish_probe(now, member, is_reached);
    }

    /// Opens a connection, with a timeout.
    pub(super) fn open(
        &self,
        target: &link::Target,
    ) -> impl Future<Output = Opened<C::Link>> + use<C> {
        self.context.metrics.record_open(&target.member);
        let connector = self.context.connector.clone();
        let target = target.clone();
        async move {
            tokio::time::timeout(OPEN_TIMEOUT, connector.open(&target))
                .await
                .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())))
        }
    }

    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        mut grant: pool::Grant<checkout::Connection<C::Link>>,
    ) {
        if self.needs_permit(now, &grant) {
            self.acquire_permit(grant);
            return;
        }
        if self.pool.share(&grant.member) == Some(share::Share::Local) {
            self.admit_own(grant);
            return;
        }
        let workspace = self.workspace(grant.id);
        let owner = self.routes.owner(&grant.member).map(|o| o.name.clone());
        while let Some(mut connection) = grant.link.take() {
            // One to a former owner, which may leave, is closed.
            if connection.owner == owner && connection.link.is_open() {
                self.check_out(connection, None, grant, self.change);
                return;
            }
            grant.link = self.pool.take_idle(&grant.member, workspace.as_ref());
        }
        let Some(mut target) = self.target(&grant.member) else {
            self.pool
                .release(now, &grant.member, None, pool::Completion::Failed);
            self.requeue(grant.id);
            return;
        };
        if target.via.is_none() {
            target.workspace = workspace;
        }
        let opening = self.open(&target);
        let owner = target.via.map(|owner| owner.name);
        let handle = self.handle.clone();
        let change = self.change;
        tokio::task::spawn_local(async move {
            let sent = clock::now();
            let result = opening.await;
            // The receiver is gone when the group's task has ended.
            let _ = handle.send(Message::Opened {
                grant,
                owner,
                change,
                sent,
                result,
            });
        });
    }

    /// The workspace of a waiting request.
    fn workspace(&self, id: u64) -> Option<name::WorkspaceName> {
        let waiting = self.waiting.get(&id)?;
        waiting.request.workspace().cloned()
    }

    pub(super) fn target(&self, member: &name::MemberName) -> Option<link::Target> {
        let view = self.context.views.borrow();
        let entry = view.members.get(member.as_str())?;
        Some(link::Target {
            group: self.context.group.clone(),
            member: member.clone(),
            address: entry.address,
            via: self.routes.owner(member).cloned(),
            workspace: None,
        })
    }

    pub(super) fn handle_opened(
        &mut self,
        now: Timestamp,
        grant: pool::Grant<checkout::Connection<C::Link>>,
        owner: Option<name::InstanceName>,
        change: u64,
        sent: Timestamp,
        result: Opened<C::Link>,
    ) {
        match result {
            Ok((link, position)) => {
                if let Some(position) = position {
                    self.record_sample(now, &grant.member, sample::Sample { sent, position });
                }
                if owner.is_none() && !self.failure_detector.is_failing(now) {
                    self.report(now, &grant.member, suspicion::Observation::Reached);
                }
                self.pool.record_opened(&grant.member);
                let workspace = self.workspace(grant.id).filter(|_| owner.is_none());
                let connection = checkout::Connection::new(link, owner).with_workspace(workspace);
                self.check_out(connection, None, grant, change);
            }
            Err(error) if let Some(owner) = &owner => {
                log::info!(
                    "event=owner_unreachable group={} member={} owner={owner} error=\"{error}\"",
                    self.context.group,
                    grant.member
                );
                self.avoid_owner(now, owner, &grant.member);
                self.pool
                    .release(now, &grant.member, None, pool::Completion::Unused);
                self.requeue(grant.id);
            }
            Err(error) => {
                log::info!(
                    "event=open_failed group={} member={} took_ms={} error=\"{error}\"",
                    self.context.group,
                    grant.member,
                    now.since(sent).as_millis()
                );
                let completion = match error.is_full() {
                    true => pool::Completion::NoConnection,
                    false => pool::Completion::Failed,
                };
                if completion == pool::Completion::Failed {
                    self.report(now, &grant.member, suspicion::Observation::Failed);
                }
                self.pool.release(now, &grant.member, None, completion);
                self.requeue(grant.id);
            }
        }
    }

    pub(super) fn requeue(&mut self, id: u64) {
        if let Some(waiting) = self.waiting.get(&id) {
            self.pool.request(waiting.request.clone());
        }
    }

    pub(super) fn check_out(
        &mut self,
        connection: checkout::Connection<C::Link>,
        job: Option<admission::Job<C::Link>>,
        grant: pool::Grant<checkout::Connection<C::Link>>,
        change: u64,
    ) {
        let is_direct = job.is_none() && connection.owner.is_none();
        if is_direct && self.needs_permit(clock::now(), &grant) {
            // The permit has expired while the connection was opened.
            let link = Some(connection);
            self.acquire_permit(pool::Grant { link, ..grant });
            return;
        }
        let Some(waiting) = self.waiting.remove(&grant.id) else {
            return;
        };
        let is_relayed = connection.owner.is_some();
        let mut connection = connection;
        let request = waiting.request;
        connection.link.set_priority(link::Priority {
            rank: request.rank,
            caller: request.caller,
            grant: request.grant,
            max_wait: grant.max_wait,
            target: request.target,
            deadline: request.deadline,
        });
        let change = grant.is_primary.then_some(change);
        let group = checkout::Group {
            handle: self.handle.clone(),
            silent: self.silent.subscribe(),
        };
        let mut checkout = checkout::Checkout::new(connection, job, grant, change, group);
        let permit = waiting.permit.filter(|_| !is_relayed);
        checkout.permit = permit.unwrap_or_default();
        // If the caller has disconnected, dropping the checkout returns the connection.
        let _ = waiting.reply.send(Ok(checkout));
    }
}
