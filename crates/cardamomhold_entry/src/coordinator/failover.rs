//! The coordinator's failure detection and its start of handovers.

use std::net;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;

use crate::coordinator::Coordinator;
use crate::coordinator::Event;
use crate::coordinator::TICK_INTERVAL;
use crate::failovers;
use crate::handover;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::store;

/// How long a report that a primary fails statements stays valid.
const FAILING_REPORT_LIFETIME: time::Duration = time::Duration::from_millis(1_000);

/// Time without an acknowledgement of the promotion lock's holder after which its successors poll.
const MAX_HOLDER_SILENCE: time::Duration = time::Duration::from_millis(500);

/// Number of the holder's successors that poll while it is silent.
const POLLING_SUCCESSORS: u32 = 4;

/// Timeout of a probe of a primary.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// For each group without a leadership, starts a task that writes the first one, after a
    /// delay that depends on the rank of this instance. Without voters nobody could confirm it while
    /// the store is away, so they come first.
    pub(super) fn create_leaderships(&mut self, now: Timestamp) {
        if self.electorate.voters().is_none() {
            return;
        }
        if !self.instances.contains_key(self.own.as_str()) {
            // Its rank isn't known yet, so that all instances that start would act at once.
            return;
        }
        let records = &self.records;
        self.creations.retain(|g| records.get(g.as_str()).is_none());
        let view = self.published.views.borrow().clone();
        for spec in &view.catalog.groups {
            let group = &spec.name;
            if self.records.get(group.as_str()).is_some() || self.running.contains(group) {
                continue;
            }
            let rank = registry::successor_rank(&self.instances, &self.own, None);
            if !self.creations.begin(now, group, rank) {
                continue;
            }
            let job = self.handover_job(group, suspicion::Cause::Unfinished);
            if job.members.is_empty() {
                continue;
            }
            self.running.insert(group.clone());
            let adapters = self.adapters.clone();
            let handle = self.handle.clone();
            tokio::task::spawn_local(async move {
                match handover::create_leadership(&adapters, &job).await {
                    Ok(()) => handle.send(Event::LeadershipCreated),
                    Err(error) => log::info!(
                        "event=leadership_missing group={} error=\"{error}\"",
                        job.group
                    ),
                }
                handle.send(Event::HandoverEnded(job.group));
            });
        }
    }

    pub(super) fn handle_observation(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        member: &name::MemberName,
        observation: suspicion::Observation,
    ) {
        let Some(record) = self.records.get(group.as_str()) else {
            return;
        };
        if record.primary.as_ref() != Some(member) {
            return;
        }
        let change = record.change;
        if observation == suspicion::Observation::Failed {
            // One broken connection is weak evidence: some instances of each zone probe.
            let record = record.clone();
            let local = self.local_state();
            if self.may_poll(now, &local) {
                self.poll_instances(now, group, change);
            }
            if !local.is_holder {
                self.request_failover(now, local.rank, &record, true);
            }
            return;
        }
        let own = self.own.clone();
        self.failovers
            .observe(now, group, change, &own, observation);
    }

    /// Records whether the primary fails the statements of this instance.
    pub(super) fn set_failing(
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

    /// Starts a task that checks whether the primary accepts connections, unless this instance did so
    /// a moment ago, and sends the result to the coordinator. A primary that recently failed
    /// statements isn't contacted: the result is a failure.
    pub(super) fn probe(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        change: u64,
        requester: Option<net::SocketAddr>,
    ) {
        let record = self.records.get(group.as_str());
        let Some(primary) = record
            .filter(|r| r.change == change)
            .and_then(|r| r.primary.clone())
        else {
            return;
        };
        if let Some(requester) = requester {
            let requesters = self.probe_requesters.entry(group.clone()).or_default();
            requesters.insert(requester);
        }
        match self.failovers.begin_probe(now, group, change) {
            failovers::ProbeStep::Start => {}
            failovers::ProbeStep::Running => return,
            failovers::ProbeStep::Known(observation) => {
                self.answer_probes(group, change, observation);
                return;
            }
        }
        let job = self.handover_job(group, suspicion::Cause::Unreachable);
        let target = job.members.into_iter().find(|t| t.member == primary);
        let connector = self.adapters.connector.clone();
        let handle = self.handle.clone();
        let reported = self.failing.get(group.as_str());
        let is_failing = reported.is_some_and(|at| now.since(*at) < FAILING_REPORT_LIFETIME);
        let group = group.clone();
        tokio::task::spawn_local(async move {
            let observation = match target {
                Some(target) if !is_failing => probe_member(&connector, &target).await,
                Some(_) | None => suspicion::Observation::Failed,
            };
            handle.send(Event::Probed {
                group,
                change,
                observation,
            });
        });
    }

    /// Records the result of a probe, and sends it to the instances that asked for it.
    pub(super) fn handle_probed(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        change: u64,
        observation: suspicion::Observation,
    ) {
        let own = self.own.clone();
        self.failovers.end_probe(group, change, observation);
        self.failovers
            .observe(now, group, change, &own, observation);
        self.answer_probes(group, change, observation);
    }

    fn answer_probes(
        &mut self,
        group: &name::GroupName,
        change: u64,
        observation: suspicion::Observation,
    ) {
        for requester in self.probe_requesters.remove(group).unwrap_or_default() {
            let reply = message::Message::ProbeReply {
                group: group.clone(),
                change,
                observation,
            };
            self.peers.send(requester, reply);
        }
    }

    /// Asks some instances of each zone to probe a primary, at most once per interval.
    pub(super) fn poll_instances(&mut self, now: Timestamp, group: &name::GroupName, change: u64) {
        let is_known = self
            .records
            .get(group.as_str())
            .is_some_and(|r| r.change == change);
        if !is_known {
            return;
        }
        let Some(turn) = self.failovers.begin_poll(now, group) else {
            return;
        };
        self.probe(now, group, change, None);
        let request = message::Message::ProbeRequest {
            group: group.clone(),
            change,
        };
        for name in registry::witnesses(&self.instances, group, turn) {
            let entry = self.instances.get(name.as_str());
            let entry = entry.filter(|_| *name != self.own);
            if let Some(entry) = entry {
                self.peers.send(entry.address, request.clone());
            }
        }
    }

    /// Whether this instance polls others about primaries that it can't reach: the promotion lock's
    /// holder does, and its first successors while it is silent.
    fn may_poll(&self, now: Timestamp, local: &failovers::LocalState) -> bool {
        let is_silent = local
            .holder
            .seen
            .is_none_or(|at| now.since(at) >= MAX_HOLDER_SILENCE);
        local.is_holder || (is_silent && local.rank < POLLING_SUCCESSORS)
    }

    fn local_state(&self) -> failovers::LocalState {
        let holder = self.tenure.holder();
        // Without its own entry an instance doesn't know its rank.
        let is_registered = self.instances.contains_key(self.own.as_str());
        failovers::LocalState {
            is_holder: self.tenure.is_holder(),
            holder: self.tenure.signs(),
            store_regained: self.store_regained,
            is_disconnected: self.outage.is_some() || !is_registered,
            rank: registry::successor_rank(&self.instances, &self.own, holder),
            witnesses: self.electorate.witnesses(&self.instances),
        }
    }

    /// Polls the instances about unreachable primaries, and starts the handovers that this
    /// instance is responsible for.
    pub(super) fn check_failovers(&mut self, now: Timestamp) {
        let local = self.local_state();
        let may_poll = self.may_poll(now, &local);
        let view = self.published.views.borrow().clone();
        for record in view.leaderships.iter() {
            let group = &record.group;
            let primary = record.primary.as_ref();
            let member = primary.and_then(|p| view.members.get(p.as_str()));
            let has_failed = self
                .failovers
                .has_observed_failure(now, group.as_str(), &self.own);
            let cause = self.failovers.update(now, record, member, local.witnesses);
            if cause.is_none() && !has_failed {
                continue;
            }
            if !local.is_holder {
                self.request_failover(now, local.rank, record, has_failed);
            }
            if has_failed && may_poll {
                self.poll_instances(now, group, record.change);
            }
            let Some(cause) = cause else {
                continue;
            };
            if !self.running.contains(group)
                && self.failovers.is_responsible(now, group.as_str(), local)
            {
                self.start_handover(now, group, cause);
            }
        }
    }

    /// Asks the promotion lock's holder for a failover, if the holder is known and wasn't asked a
    /// moment ago.
    fn request_failover(
        &mut self,
        now: Timestamp,
        rank: u32,
        record: &record::Leadership,
        has_failed: bool,
    ) {
        if !self.failovers.begin_request(now, &record.group, rank) {
            return;
        }
        let entry = self
            .tenure
            .holder()
            .and_then(|h| self.instances.get(h.as_str()));
        if let Some(entry) = entry {
            let message = message::Message::FailoverRequest {
                group: record.group.clone(),
                change: record.change,
                has_failed,
            };
            self.peers.send(entry.address, message);
        }
    }

    fn start_handover(&mut self, now: Timestamp, group: &name::GroupName, cause: suspicion::Cause) {
        let signs = self.tenure.signs();
        let millis = |sign: Option<Timestamp>| sign.map(|at| now.since(at).as_millis());
        log::info!(
            "event=handover_begun group={group} cause={} holder={} token={} holder_seen_ms_ago={:?} \
             holder_learned_ms_ago={:?}",
            cause.as_str(),
            self.tenure.holder().map_or("none", |h| h.as_str()),
            self.tenure.lock().map_or(0, |l| l.token),
            millis(signs.seen),
            millis(signs.learned)
        );
        self.running.insert(group.clone());
        let job = self.handover_job(group, cause);
        let adapters = self.adapters.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            match handover::run(&adapters, &job, &handle).await {
                Ok(member) => {
                    log::info!("event=handover_done group={} primary={member}", job.group)
                }
                Err(error) => log::warn!(
                    "event=handover_failed group={} error=\"{error}\"",
                    job.group
                ),
            }
            tokio::time::sleep(TICK_INTERVAL).await;
            handle.send(Event::HandoverEnded(job.group));
        });
    }
}

/// Probes a member. One that accepts connections counts as reachable; if it hangs
/// nevertheless, its entry in the store expires.
async fn probe_member<C: link::Connector>(
    connector: &C,
    target: &link::Target,
) -> suspicion::Observation {
    match tokio::time::timeout(PROBE_TIMEOUT, connector.reach(target)).await {
        Ok(Ok(())) => suspicion::Observation::Reached,
        Ok(Err(_)) | Err(_) => suspicion::Observation::Failed,
    }
}
