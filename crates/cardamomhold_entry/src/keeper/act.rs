//! How the keeper sees to groups that need another primary.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;

use crate::clock;
use crate::handover;
use crate::keeper::Event;
use crate::keeper::Keeper;
use crate::keeper::TICK;
use crate::link;
use crate::message;
use crate::needs;
use crate::promoter;
use crate::registry;
use crate::store;
use crate::view;

/// Time for which a primary that failed all work counts as failing.
const FAILING_FOR: time::Duration = time::Duration::from_millis(1_000);

/// Longest wait for a primary that is probed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl<S, C, P> Keeper<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Lets a group without any leadership get one.
    pub(super) fn found_missing(&mut self, now: Timestamp) {
        let view = self.published.views.borrow().clone();
        for spec in &view.catalog.groups {
            let group = &spec.name;
            if self.records.get(group.as_str()).is_some() || self.running.contains(group) {
                continue;
            }
            let since = *self.unfounded.get_or_insert(now);
            let turn = registry::turn(&self.instances, &self.own, None);
            if now < since.after(promotion_lock::RANK_DELAY * turn) {
                continue;
            }
            let job = self.job(group, suspicion::Cause::Unfinished);
            if job.members.is_empty() {
                continue;
            }
            self.running.insert(group.clone());
            let edges = self.edges.clone();
            let handle = self.handle.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = handover::found(&edges, &job).await {
                    log::info!(
                        "event=leadership_missing group={} error=\"{error}\"",
                        job.group
                    );
                }
                handle.tell(Event::Ended(job.group));
            });
        }
    }

    pub(super) fn job(&self, group: &name::GroupName, cause: suspicion::Cause) -> handover::Job {
        let view = self.published.views.borrow();
        let mut members = Vec::new();
        let mut leaving = Vec::new();
        for member in view.members.values() {
            if member.group != *group {
                continue;
            }
            if member.state == view::MemberState::Leaving {
                leaving.push(member.name.clone());
            }
            members.push(link::Target {
                group: group.clone(),
                member: member.name.clone(),
                address: member.address,
                via: None,
            });
        }
        handover::Job {
            own: self.own.clone(),
            group: group.clone(),
            change: self.records.get(group.as_str()).map_or(0, |r| r.change),
            cause,
            members,
            leaving,
            voters: self.instances.keys().cloned().collect(),
        }
    }

    pub(super) fn saw(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        member: &name::MemberName,
        sight: suspicion::Observation,
    ) {
        let Some(record) = self.records.get(group.as_str()) else {
            return;
        };
        if record.primary.as_ref() != Some(member) {
            return;
        }
        let change = record.change;
        if sight == suspicion::Observation::Failed {
            // A broken connection alone says little: all look again, this instance too.
            if self.is_holder() {
                self.ask_all(now, group, change);
            } else {
                let record = record.clone();
                self.probe(group, change, None);
                self.send_concern(&record, true);
            }
            return;
        }
        let own = self.own.clone();
        self.needs.learn(now, group, change, &own, sight);
    }

    /// Takes note of a primary that fails all work of this instance, or does not.
    pub(super) fn note_failing(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        is_failing: bool,
    ) {
        if !is_failing {
            self.failing.remove(group.as_str());
            return;
        }
        if self.failing.insert(group.clone(), now).is_none() {
            log::warn!("event=primary_failing group={group}");
        }
    }

    /// Opens a connection to a primary and reports what came of it.
    pub(super) fn probe(
        &self,
        group: &name::GroupName,
        change: u64,
        asker: Option<net::SocketAddr>,
    ) {
        let record = self.records.get(group.as_str());
        let Some(primary) = record
            .filter(|r| r.change == change)
            .and_then(|r| r.primary.clone())
        else {
            return;
        };
        let job = self.job(group, suspicion::Cause::Unreachable);
        let target = job.members.into_iter().find(|t| t.member == primary);
        let connector = self.edges.connector.clone();
        let handle = self.handle.clone();
        let known = self.failing.get(group.as_str());
        let is_failing = known.is_some_and(|at| clock::now().since(*at) < FAILING_FOR);
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let sight = match target {
                Some(target) if !is_failing => sight_of(&connector, &target).await,
                Some(_) | None => suspicion::Observation::Failed,
            };
            handle.tell(Event::Probed {
                group,
                change,
                sight,
                asker,
            });
        });
    }

    /// Asks every instance what it sees of a primary, unless that was done just now.
    pub(super) fn ask_all(&mut self, now: Timestamp, group: &name::GroupName, change: u64) {
        let is_known = self
            .records
            .get(group.as_str())
            .is_some_and(|r| r.change == change);
        if !is_known || !self.needs.may_ask(now, group) {
            return;
        }
        self.probe(group, change, None);
        let group = group.clone();
        self.broadcast(&message::Message::Probe { group, change });
    }

    pub(super) fn is_holder(&self) -> bool {
        self.duty.as_ref().is_some_and(|d| d.holder == self.own)
    }

    pub(super) fn see_to_needs(&mut self, now: Timestamp) {
        let place = needs::Place {
            is_holder: self.is_holder(),
            heard: self.heard,
            regained: self.regained,
            is_away: self.outage.is_some(),
            turn: registry::turn(
                &self.instances,
                &self.own,
                self.duty.as_ref().map(|d| &d.holder),
            ),
            instances: self.instances.len(),
        };
        let view = self.published.views.borrow().clone();
        for record in view.leaderships.iter() {
            let group = &record.group;
            let primary = record.primary.as_ref();
            let member = primary.and_then(|p| view.members.get(p.as_str()));
            let has_failed = self.needs.has_failed(now, group.as_str(), &self.own);
            let cause = self.needs.cause(now, record, member, place.instances);
            if cause.is_none() && !has_failed {
                continue;
            }
            if !place.is_holder {
                self.send_concern(record, has_failed);
            }
            if has_failed {
                self.ask_all(now, group, record.change);
            }
            let Some(cause) = cause else {
                continue;
            };
            if !self.running.contains(group) && self.needs.is_mine(now, group.as_str(), place) {
                self.start_handover(group, cause);
            }
        }
    }

    pub(super) fn send_concern(&self, record: &record::Leadership, has_failed: bool) {
        let holder = self.duty.as_ref().map(|d| &d.holder);
        let entry = holder.and_then(|h| self.instances.get(h.as_str()));
        if let Some(entry) = entry {
            let message = message::Message::Concern {
                group: record.group.clone(),
                change: record.change,
                has_failed,
            };
            self.peers.send(entry.address, message);
        }
    }

    pub(super) fn start_handover(&mut self, group: &name::GroupName, cause: suspicion::Cause) {
        log::info!(
            "event=handover_begun group={group} cause={} holder={}",
            cause.as_str(),
            self.duty.as_ref().map_or("none", |d| d.holder.as_str())
        );
        self.running.insert(group.clone());
        let job = self.job(group, cause);
        let edges = self.edges.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            match handover::run(&edges, &job, &handle).await {
                Ok(member) => {
                    log::info!("event=handover_done group={} primary={member}", job.group)
                }
                Err(error) => log::warn!(
                    "event=handover_failed group={} error=\"{error}\"",
                    job.group
                ),
            }
            tokio::time::sleep(TICK).await;
            handle.tell(Event::Ended(job.group));
        });
    }
}

/// A member that takes connections is not out of reach; one that hangs all the same loses its
/// entry in time.
async fn sight_of<C: link::Connector>(
    connector: &C,
    target: &link::Target,
) -> suspicion::Observation {
    match tokio::time::timeout(PROBE_TIMEOUT, connector.reach(target)).await {
        Ok(Ok(())) => suspicion::Observation::Reached,
        Ok(Err(_)) | Err(_) => suspicion::Observation::Failed,
    }
}
