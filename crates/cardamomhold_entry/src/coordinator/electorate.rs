//! How the coordinator keeps the voters up to date.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

use crate::control;
use crate::coordinator::Coordinator;
use crate::coordinator::Event;
use crate::limits;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::stop;
use crate::store;

/// Instances that aren't voters to ask at a time.
const MAX_PINGS: usize = voters::MAX_VOTERS;

/// Timeout of a write of the voters.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time without a change of the registered instances after which the first voters are chosen;
/// longer than the pause between two reads of the instances.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(1_200);

/// The voters, and the work of the instance that keeps them.
#[derive(Debug, Default)]
pub(super) struct Electorate {
    voters: Option<voters::Voters>,
    /// Revision of the voters in the store; none without any.
    revision: Option<u64>,
    /// When the registered instances last changed.
    changed: Option<Timestamp>,
    keeper: Option<voters::Keeper>,
    /// When the voters were last asked.
    pinged: Option<Timestamp>,
    /// Number of times that instances other than the voters were asked.
    turn: usize,
    is_writing: bool,
    /// Generation of the voters that the limits' task has been told.
    told: u64,
    /// Whether the limits' task has been told that this instance may vote.
    may_vote: bool,
}

impl Electorate {
    pub(super) fn voters(&self) -> Option<&voters::Voters> {
        self.voters.as_ref()
    }

    /// Generation of the voters that this instance has adopted, 0 without any.
    pub(super) fn generation(&self) -> u64 {
        self.voters.as_ref().map_or(0, |v| v.generation)
    }

    /// Number of instances of which more than half must fail to reach a primary.
    pub(super) fn witnesses(&self, instances: &registry::Instances) -> usize {
        let count = registry::witness_count(instances);
        let voters = self.voters.as_ref().map(|v| v.names().len());
        voters.map_or(count, |voters| voters.min(count))
    }

    pub(super) fn record_revision(&mut self, revision: Option<u64>) {
        self.revision = revision;
    }

    pub(super) fn record_instances(&mut self, now: Timestamp) {
        self.changed = Some(now);
    }

    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        name: &name::InstanceName,
        generation: u64,
        is_leaving: bool,
    ) {
        if let Some(keeper) = &mut self.keeper {
            keeper.record(now, name, generation, is_leaving);
        }
    }

    pub(super) fn end_write(&mut self) {
        self.is_writing = false;
    }

    fn is_due(&mut self, now: Timestamp) -> bool {
        let is_due = self
            .pinged
            .is_none_or(|at| now.since(at) >= voters::PING_INTERVAL);
        if is_due {
            self.pinged = Some(now);
        }
        is_due
    }

    /// The record to write next, if any, and its condition.
    fn next(
        &mut self,
        now: Timestamp,
        instances: &registry::Instances,
    ) -> Option<(voters::Voters, store::Condition)> {
        let zones = zones(instances);
        let Some(present) = &self.voters else {
            let is_settled = self
                .changed
                .is_some_and(|at| now.since(at) >= SETTLING_TIME);
            let first = voters::choose(&zones, &voters::Set::new());
            let is_ready = is_settled && !first.is_empty();
            return is_ready.then(|| (voters::Voters::first(first), store::Condition::New));
        };
        let keeper = self.keeper.as_mut()?;
        match self.revision {
            Some(revision) => {
                let next = keeper.next(now, present, &zones)?;
                Some((next, store::Condition::Revision(revision)))
            }
            None => {
                let restarted = present.restarted(keeper.choose_live(now, &zones)?);
                Some((restarted, store::Condition::New))
            }
        }
    }

    /// The instances to ask now: the voters, and some of the others in turn.
    fn targets(&mut self, instances: &registry::Instances) -> voters::Set {
        let mut targets = self
            .voters
            .as_ref()
            .map_or_else(voters::Set::new, voters::Voters::names);
        let others: Vec<_> = instances.keys().filter(|n| !targets.contains(*n)).collect();
        let start = self.turn * MAX_PINGS;
        self.turn = if start + MAX_PINGS < others.len() {
            self.turn + 1
        } else {
            0
        };
        targets.extend(others.into_iter().skip(start).take(MAX_PINGS).cloned());
        targets
    }
}

fn zones(instances: &registry::Instances) -> collections::BTreeMap<&str, Vec<&name::InstanceName>> {
    let mut zones: collections::BTreeMap<&str, Vec<_>> = collections::BTreeMap::new();
    for (name, entry) in instances {
        zones.entry(&entry.zone).or_default().push(name);
    }
    zones
}

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Adopts voters of a newer generation. The leaderships that came with them must have been
    /// stored before.
    pub(super) fn update_voters(&mut self, voters: Option<&voters::Voters>) {
        let Some(voters) = voters else {
            return;
        };
        if voters.generation <= self.electorate.generation() {
            return;
        }
        log::info!(
            "event=voters generation={} current={} next={}",
            voters.generation,
            list(&voters.current),
            voters.next.as_ref().map_or("none".to_owned(), list)
        );
        self.electorate.voters = Some(voters.clone());
        self.round = None;
        self.tell_voters();
    }

    /// Tells the limits' task the voters, and that it may vote once this instance's state has been
    /// confirmed since its start: voters that another instance passed on before may be older than
    /// those that this one had adopted when it stopped. It learns them at once, as the time for
    /// which it confirms nobody counts from then.
    pub(super) fn tell_voters(&mut self) {
        if let Some(voters) = &self.electorate.voters
            && self.electorate.told < voters.generation
        {
            self.electorate.told = voters.generation;
            let voters = limits::Command::Voters(voters.clone());
            self.published.limits.send(voters);
        }
        if !self.electorate.may_vote && self.lease.may_confirm_others() {
            self.electorate.may_vote = true;
            self.published.limits.send(limits::Command::Votes);
        }
    }

    pub(super) fn voter_pong(&self) -> message::Message {
        message::Message::VoterPong {
            generation: self.electorate.generation(),
            is_leaving: self.is_leaving(),
        }
    }

    fn is_leaving(&self) -> bool {
        *self.phase.borrow() != stop::Phase::Serving
    }

    /// Asks the voters whether they are there and changes them where it is due, if this instance
    /// `is_keeper`. Several keepers at a time do no harm, as each write is conditional.
    pub(super) fn keep_voters(&mut self, now: Timestamp, is_keeper: bool) {
        if !is_keeper {
            self.electorate.keeper = None;
            return;
        }
        self.electorate.keeper.get_or_insert_default();
        if !self.electorate.is_due(now) {
            return;
        }
        let (own, generation, is_leaving) = (
            self.own.clone(),
            self.electorate.generation(),
            self.is_leaving(),
        );
        self.electorate
            .record_answer(now, &own, generation, is_leaving);
        if let Some((next, condition)) = self.electorate.next(now, &self.instances)
            && !self.electorate.is_writing
        {
            self.write_voters(next, condition);
        }
        let targets = self.electorate.targets(&self.instances);
        if let Some(keeper) = &mut self.electorate.keeper {
            keeper.record_requests(&targets);
        }
        for name in targets {
            let entry = self.instances.get(name.as_str());
            if let Some(entry) = entry.filter(|_| name != self.own) {
                self.peers.send(entry.address, message::Message::VoterPing);
            }
        }
    }

    fn write_voters(&mut self, next: voters::Voters, condition: store::Condition) {
        self.electorate.is_writing = true;
        let store = self.adapters.store.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let writing = control::write_voters(&store, &next, condition);
            let result = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
            log::info!(
                "event=voters_written generation={} result={result:?}",
                next.generation
            );
            handle.send(Event::VotersWritten);
        });
    }
}

fn list(set: &voters::Set) -> String {
    let names: Vec<_> = set.iter().map(name::InstanceName::as_str).collect();
    names.join(",")
}
