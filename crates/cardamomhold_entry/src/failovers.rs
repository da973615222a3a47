//! Groups that need another primary, and whether this instance runs the failover.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;

use crate::view;

/// How long a member's entry may be missing before the member counts as gone. Long enough for
/// entries that expired during a store outage to be written again.
pub const MISSING_ENTRY_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Minimum interval between two probes of the same primary by an instance, longer than a probe.
const MIN_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(450);

/// Minimum interval between two polls about the same primary.
const MIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Minimum interval between two requests to the promotion lock's holder about the same group, for
/// the instances that may succeed it soon.
const MIN_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The same for the other instances: their turn comes later by rank, and the holder has to answer
/// all of them.
const LATE_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// Number of the holder's successors that ask often.
const EARLY_SUCCESSORS: u32 = 32;

/// A failover that a group needs.
#[derive(Debug)]
struct Failover {
    change: u64,
    cause: suspicion::Cause,
    since: Timestamp,
}

/// The failovers of all groups, and the observations of their primaries.
#[derive(Debug, Default)]
pub struct Failovers {
    pending: collections::BTreeMap<name::GroupName, Failover>,
    observations: collections::BTreeMap<name::GroupName, (u64, suspicion::Observations)>,
    polls: collections::BTreeMap<name::GroupName, Poll>,
    probes: collections::BTreeMap<name::GroupName, Probe>,
    /// When the holder was last asked.
    requests: collections::BTreeMap<name::GroupName, Timestamp>,
}

/// The last poll about a primary.
#[derive(Debug, Clone, Copy)]
struct Poll {
    at: Timestamp,
    /// Number of polls before it.
    turn: u64,
}

/// The last probe of a primary by this instance.
#[derive(Debug, Clone, Copy)]
struct Probe {
    change: u64,
    started: Timestamp,
    /// Its result; none while it runs.
    observation: Option<suspicion::Observation>,
}

/// What to do when a primary is to be probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe it now.
    Start,
    /// A probe is running; its result will be sent.
    Running,
    /// It was probed a moment ago, with this result.
    Known(suspicion::Observation),
}

/// What this instance knows about itself and the promotion lock's holder.
#[derive(Debug, Clone, Copy)]
pub struct LocalState {
    /// Whether it holds the promotion lock.
    pub is_holder: bool,
    /// Signs of life of the holder.
    pub holder: promotion_lock::Signs,
    /// End of this instance's last long store outage. Until then, the holder's silence may have
    /// been caused by this instance's own disconnection.
    pub store_regained: Option<Timestamp>,
    /// Whether the store doesn't answer this instance, or it doesn't know its rank: it then can't
    /// act.
    pub is_disconnected: bool,
    /// Its rank among the holder's successors, 0 the first.
    pub rank: u32,
    /// Number of instances that are asked about a primary at a time.
    pub witnesses: usize,
}

impl Failovers {
    /// Records an instance's observation of the primary of a leadership.
    pub fn observe(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        change: u64,
        instance: &name::InstanceName,
        observation: suspicion::Observation,
    ) {
        let entry = self.observations.entry(group.clone()).or_default();
        if change > entry.0 {
            *entry = (change, suspicion::Observations::default());
        }
        if change == entry.0 {
            entry.1.record(now, instance, observation);
        }
    }

    /// Whether the instance `own` recently failed to reach the primary.
    pub fn has_observed_failure(
        &self,
        now: Timestamp,
        group: &str,
        own: &name::InstanceName,
    ) -> bool {
        let observations = self.observations.get(group);
        observations.is_some_and(|(_, o)| o.has_failed(now, own))
    }

    /// Whether a poll about a primary is due; if so, restarts the interval and returns the number of
    /// polls before this one.
    pub fn begin_poll(&mut self, now: Timestamp, group: &name::GroupName) -> Option<u64> {
        let last = self.polls.get(group.as_str());
        if last.is_some_and(|poll| now < poll.at.after(MIN_POLL_INTERVAL)) {
            return None;
        }
        let turn = last.map_or(0, |poll| poll.turn + 1);
        self.polls.insert(group.clone(), Poll { at: now, turn });
        Some(turn)
    }

    /// Whether the holder is to be asked now for a failover, by the successor of this rank.
    pub fn begin_request(&mut self, now: Timestamp, group: &name::GroupName, rank: u32) -> bool {
        let interval = match rank < EARLY_SUCCESSORS {
            true => MIN_REQUEST_INTERVAL,
            false => LATE_REQUEST_INTERVAL,
        };
        let last = self.requests.get(group.as_str());
        if last.is_some_and(|at| now < at.after(interval)) {
            return false;
        }
        self.requests.insert(group.clone(), now);
        true
    }

    /// What to do when a primary is to be probed. However many instances ask, it is probed once in
    /// a while.
    pub fn begin_probe(
        &mut self,
        now: Timestamp,
        group: &name::GroupName,
        change: u64,
    ) -> ProbeStep {
        let last = self.probes.get(group.as_str());
        let last = last.filter(|probe| probe.change == change);
        if let Some(probe) = last
            && now < probe.started.after(MIN_PROBE_INTERVAL)
        {
            return match probe.observation {
                Some(observation) => ProbeStep::Known(observation),
                None => ProbeStep::Running,
            };
        }
        let probe = Probe {
            change,
            started: now,
            observation: None,
        };
        self.probes.insert(group.clone(), probe);
        ProbeStep::Start
    }

    /// Records the result of a probe by this instance.
    pub fn end_probe(
        &mut self,
        group: &name::GroupName,
        change: u64,
        observation: suspicion::Observation,
    ) {
        if let Some(probe) = self.probes.get_mut(group.as_str())
            && probe.change == change
        {
            probe.observation = Some(observation);
        }
    }

    /// Updates a group's failover; returns why the group needs another primary, if it does.
    pub fn update(
        &mut self,
        now: Timestamp,
        record: &record::Leadership,
        member: Option<&view::Member>,
        witnesses: usize,
    ) -> Option<suspicion::Cause> {
        let cause = self.current_cause(now, record, member, witnesses);
        let Some(cause) = cause else {
            self.pending.remove(record.group.as_str());
            return None;
        };
        let failover = self.pending.get_mut(record.group.as_str());
        match failover {
            Some(failover) if failover.change == record.change => failover.cause = cause,
            _ => {
                let failover = Failover {
                    change: record.change,
                    cause,
                    since: now,
                };
                self.pending.insert(record.group.clone(), failover);
            }
        }
        Some(cause)
    }

    fn current_cause(
        &self,
        now: Timestamp,
        record: &record::Leadership,
        member: Option<&view::Member>,
        witnesses: usize,
    ) -> Option<suspicion::Cause> {
        if record.primary.is_none() {
            return Some(suspicion::Cause::Unfinished);
        }
        let Some(member) = member else {
            return Some(suspicion::Cause::Gone);
        };
        if member.state == view::MemberState::Leaving {
            return Some(suspicion::Cause::Leaving);
        }
        let (change, observations) = self.observations.get(record.group.as_str())?;
        let is_current = *change == record.change;
        let is_unreachable = is_current && observations.is_unreachable(now, witnesses);
        is_unreachable.then_some(suspicion::Cause::Unreachable)
    }

    /// Whether this instance runs a group's failover: it holds the promotion lock, or the holder
    /// is silent or makes no progress.
    pub fn is_responsible(&self, now: Timestamp, group: &str, local: LocalState) -> bool {
        let Some(failover) = self.pending.get(group) else {
            return false;
        };
        if local.is_disconnected {
            return false;
        }
        if local.is_holder {
            return true;
        }
        let since = local
            .store_regained
            .map_or(failover.since, |at| at.max(failover.since));
        local.holder.may_acquire(now, since, local.rank)
    }
}
