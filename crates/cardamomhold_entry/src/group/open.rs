//! How a group's task opens connections, for work and to probe.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;

use crate::answer;
use crate::clock;
use crate::group::Message;
use crate::group::Opened;
use crate::group::Task;
use crate::lent;
use crate::link;
use crate::link::Link;
use crate::relay;

/// Longest time to open a connection.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

impl<C: link::Connector> Task<C> {
    /// Opens a connection to each member that is to be probed.
    pub(super) fn probe(&mut self, now: Timestamp) {
        for member in self.pool.start_probes(now) {
            let Some(target) = self.target(&member) else {
                self.pool.finish_probe(now, &member, false, None);
                continue;
            };
            let looking = self.look(&target);
            let handle = self.handle.clone();
            tokio::task::spawn_local(async move {
                let sent = clock::now();
                let result = looking.await;
                // A group task that has ended needs no connection.
                let _ = handle.send(Message::Probed {
                    member,
                    sent,
                    result,
                });
            });
        }
    }

    pub(super) fn probed(
        &mut self,
        now: Timestamp,
        member: &name::MemberName,
        sent: Timestamp,
        result: Result<Option<C::Link>, link::LinkError>,
    ) {
        let is_reached = match &result {
            Ok(_) => true,
            Err(error) => is_full(error),
        };
        log::info!(
            "event=probe group={} member={member} is_reached={is_reached} took_ms={}",
            self.context.group,
            now.since(sent).as_millis()
        );
        let is_failing = self.experience.is_failing(now);
        let sight = if is_reached && !is_failing {
            suspicion::Observation::Reached
        } else {
            suspicion::Observation::Failed
        };
        self.report(now, member, sight);
        let link = result.ok().flatten().map(lent::Wired::new);
        self.pool.finish_probe(now, member, is_reached, link);
    }

    /// Opens a connection to a member whose connections this instance owns; looks only
    /// whether the member takes connections where others own them.
    fn look(
        &self,
        target: &link::Target,
    ) -> impl Future<Output = Result<Option<C::Link>, link::LinkError>> + use<C> {
        let opening = target.via.is_none().then(|| self.open(target));
        let connector = self.context.connector.clone();
        let target = target.clone();
        async move {
            match opening {
                Some(opening) => opening.await.map(|(link, _)| Some(link)),
                None => connector.reach(&target).await.map(|()| None),
            }
        }
    }

    /// Opens a connection within its time.
    pub(super) fn open(
        &self,
        target: &link::Target,
    ) -> impl Future<Output = Opened<C::Link>> + use<C> {
        self.context.metrics.opened(&target.member);
        let connector = self.context.connector.clone();
        let target = target.clone();
        async move {
            tokio::time::timeout(OPEN_TIMEOUT, connector.open(&target))
                .await
                .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())))
        }
    }

    pub(super) fn grant(&mut self, now: Timestamp, mut grant: pool::Grant<lent::Wired<C::Link>>) {
        if let Some(wired) = grant.link.take() {
            self.lend(wired, grant, self.change);
            return;
        }
        let Some(target) = self.target(&grant.member) else {
            self.pool
                .release(now, &grant.member, None, pool::Completion::Failed);
            self.ask_again(grant.id);
            return;
        };
        let opening = self.open(&target);
        let handle = self.handle.clone();
        let change = self.change;
        tokio::task::spawn_local(async move {
            let sent = clock::now();
            let result = opening.await;
            // A group task that has ended needs no connection.
            let _ = handle.send(Message::Opened {
                grant,
                change,
                sent,
                result,
            });
        });
    }

    /// Asks the owner through which a member is reached whether it lives.
    pub(super) fn check_owner(&self, member: &name::MemberName) {
        let target = self.target(member).filter(|t| t.via.is_some());
        let Some(target) = target else {
            return;
        };
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            if !relay::is_alive(&target).await {
                // A group task that has ended has no owners.
                let _ = handle.send(Message::OwnerSilent(target.member));
            }
        });
    }

    pub(super) fn target(&self, member: &name::MemberName) -> Option<link::Target> {
        let view = self.context.views.borrow();
        let found = view.members.get(member.as_str())?;
        Some(link::Target {
            group: self.context.group.clone(),
            member: member.clone(),
            address: found.address,
            via: self.routes.via(member),
        })
    }

    pub(super) fn opened(
        &mut self,
        now: Timestamp,
        grant: pool::Grant<lent::Wired<C::Link>>,
        change: u64,
        sent: Timestamp,
        result: Opened<C::Link>,
    ) {
        match result {
            Ok((link, position)) => {
                if let Some(position) = position {
                    self.observe(now, &grant.member, sample::Sample { sent, position });
                }
                let is_direct = self.routes.via(&grant.member).is_none();
                if is_direct && !self.experience.is_failing(now) {
                    self.report(now, &grant.member, suspicion::Observation::Reached);
                }
                self.pool.record_opened(&grant.member);
                self.lend(lent::Wired::new(link), grant, change);
            }
            Err(error) if self.routes.via(&grant.member).is_some() => {
                log::info!(
                    "event=owner_unreachable group={} member={} error=\"{error}\"",
                    self.context.group,
                    grant.member
                );
                self.suspect(now, &grant.member);
                self.pool
                    .release(now, &grant.member, None, pool::Completion::NoSlot);
                self.ask_again(grant.id);
            }
            Err(error) => {
                log::info!(
                    "event=open_failed group={} member={} took_ms={} error=\"{error}\"",
                    self.context.group,
                    grant.member,
                    now.since(sent).as_millis()
                );
                let ended = match error {
                    link::LinkError::Refused(answer::Code::TooMany) => {
                        pool::Completion::NoConnection
                    }
                    link::LinkError::Refused(answer::Code::Busy) => pool::Completion::NoSlot,
                    _ => pool::Completion::Failed,
                };
                if ended == pool::Completion::Failed {
                    self.report(now, &grant.member, suspicion::Observation::Failed);
                }
                self.pool.release(now, &grant.member, None, ended);
                self.ask_again(grant.id);
            }
        }
    }

    pub(super) fn ask_again(&mut self, id: u64) {
        if let Some(waiting) = self.waiting.get(&id) {
            self.pool.request(waiting.ask.clone());
        }
    }

    pub(super) fn lend(
        &mut self,
        wired: lent::Wired<C::Link>,
        grant: pool::Grant<lent::Wired<C::Link>>,
        change: u64,
    ) {
        let Some(waiting) = self.waiting.remove(&grant.id) else {
            return;
        };
        let mut wired = wired;
        let ask = &waiting.ask;
        wired.link.assign(ask.rank, ask.deadline);
        let change = grant.is_primary.then_some(change);
        let lent = lent::Lent::new(wired, grant, change, self.handle.clone());
        // A caller that has left drops the connection, which sends it back.
        let _ = waiting.reply.send(Ok(lent));
    }
}

/// Whether a member lives, but takes no more connections now.
fn is_full(error: &link::LinkError) -> bool {
    matches!(
        error,
        link::LinkError::Refused(answer::Code::TooMany | answer::Code::Busy)
    )
}
