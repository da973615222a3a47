//! What a group's task knows of the owners: who leaves, who is silent, and who can't serve a member.
//!
//! Load pattern: a rolling stop or a loss makes all statements on their way to an owner fail at the
//! same time. They are one failure: each further one neither extends the time for which the owner is
//! avoided nor is logged. An owner that has told that it leaves isn't asked at all.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// How long an owner is avoided after its first failure; doubled with each further one.
const AVOIDANCE_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Longest time for which an owner is avoided before it is pinged again.
const MAX_AVOIDANCE_PERIOD: time::Duration = time::Duration::from_millis(4_000);

/// Doublings of the avoidance period, which reach the maximum.
const MAX_DOUBLINGS: u32 = 4;

/// Consecutive failures of an owner, or of an owner for one member.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    last: Timestamp,
}

impl Failures {
    fn avoided_until(self) -> Timestamp {
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        let period = AVOIDANCE_PERIOD * 2u32.pow(doublings);
        self.last.after(period.min(MAX_AVOIDANCE_PERIOD))
    }

    fn first(now: Timestamp) -> Self {
        Self {
            count: 1,
            last: now,
        }
    }
}

/// Whether an owner may be used for a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may be used.
    Usable,
    /// It couldn't serve the member and is avoided until this time.
    Unserving(Timestamp),
    /// It is silent or leaves.
    Unusable,
}

/// The owners' standings; an owner without one is usable.
#[derive(Debug, Default)]
pub struct Standings {
    /// Owners that have told that they leave.
    leaving: collections::BTreeSet<name::InstanceName>,
    /// Owners that didn't answer; avoided until they answer a ping.
    silent: collections::BTreeMap<name::InstanceName, Failures>,
    /// Owners that answered that they can't serve a member; avoided for it for some time.
    unserved: collections::BTreeMap<(name::InstanceName, name::MemberName), Failures>,
    /// Silent owners that are being pinged.
    pinged: collections::BTreeSet<name::InstanceName>,
}

impl Standings {
    /// Forgets owners that `is_known` doesn't hold for.
    pub fn retain(&mut self, is_known: impl Fn(&name::InstanceName) -> bool) {
        self.silent.retain(|name, _| is_known(name));
        self.unserved.retain(|(name, _), _| is_known(name));
    }

    /// Sets the owners that leave. One that doesn't any more has to answer a ping first, as it may
    /// have ended.
    pub fn set_leaving(
        &mut self,
        now: Timestamp,
        leaving: &collections::BTreeSet<name::InstanceName>,
    ) {
        for owner in self.leaving.difference(leaving) {
            self.silent.insert(owner.clone(), Failures::first(now));
        }
        for owner in leaving {
            self.silent.remove(owner.as_str());
        }
        self.leaving.clone_from(leaving);
    }

    /// Whether an owner may be used for a member.
    pub fn of(
        &self,
        now: Timestamp,
        owner: &name::InstanceName,
        member: &name::MemberName,
    ) -> Standing {
        if self.leaving.contains(owner.as_str()) || self.silent.contains_key(owner.as_str()) {
            return Standing::Unusable;
        }
        let failures = self.unserved.get(&(owner.clone(), member.clone()));
        match failures.map(|f| f.avoided_until()) {
            Some(until) if now < until => Standing::Unserving(until),
            Some(_) | None => Standing::Usable,
        }
    }

    /// Owners that are silent.
    pub fn silent(&self) -> collections::BTreeSet<name::InstanceName> {
        self.silent.keys().cloned().collect()
    }

    /// Records that an owner doesn't answer; returns whether it answered before.
    pub fn record_silent(&mut self, now: Timestamp, owner: &name::InstanceName) -> bool {
        let was_pinged = self.pinged.remove(owner.as_str());
        if self.leaving.contains(owner.as_str()) {
            return false;
        }
        let before = self.silent.get(owner.as_str()).copied();
        if before.is_some_and(|f| !was_pinged && now < f.avoided_until()) {
            return false;
        }
        let failures = Failures {
            count: before.map_or(0, |f| f.count) + 1,
            last: now,
        };
        self.silent.insert(owner.clone(), failures);
        log::info!(
            "event=owner_silent owner={owner} failures={}",
            failures.count
        );
        before.is_none()
    }

    /// Records that an owner answers; returns whether it was silent before.
    pub fn record_answer(&mut self, owner: &name::InstanceName) -> bool {
        self.pinged.remove(owner.as_str());
        self.silent.remove(owner.as_str()).is_some()
    }

    /// Records that an owner can't serve a member.
    pub fn record_unserved(
        &mut self,
        now: Timestamp,
        owner: &name::InstanceName,
        member: &name::MemberName,
    ) {
        self.unserved
            .retain(|_, f| now < f.last.after(2 * MAX_AVOIDANCE_PERIOD));
        let key = (owner.clone(), member.clone());
        let before = self.unserved.get(&key).copied();
        let is_avoided = before.is_some_and(|f| now < f.avoided_until());
        if is_avoided || self.leaving.contains(owner.as_str()) {
            return;
        }
        let failures = Failures {
            count: before.map_or(0, |f| f.count) + 1,
            last: now,
        };
        self.unserved.insert(key, failures);
        log::info!(
            "event=owner_unserving owner={owner} member={member} failures={}",
            failures.count
        );
    }

    /// Silent owners to ping now, of those that `is_needed` holds for; the result of each ping must
    /// be recorded. After a rolling stop of all, each instance knows all others as silent, and each
    /// of its groups would connect to all of them.
    pub fn start_pings(
        &mut self,
        now: Timestamp,
        is_needed: impl Fn(&name::InstanceName) -> bool,
    ) -> Vec<name::InstanceName> {
        let mut due = Vec::new();
        for (owner, failures) in &self.silent {
            if now < failures.avoided_until() || self.pinged.contains(owner.as_str()) {
                continue;
            }
            if is_needed(owner) {
                due.push(owner.clone());
            }
        }
        self.pinged.extend(due.iter().cloned());
        due
    }

    /// When a ping of an owner that `is_needed` holds for is due, or an owner may be used again.
    pub fn next_wakeup(
        &self,
        now: Timestamp,
        is_needed: impl Fn(&name::InstanceName) -> bool,
    ) -> Option<Timestamp> {
        let silent = self.silent.iter().filter(|(owner, _)| is_needed(owner));
        let silent = silent.filter(|(owner, _)| !self.pinged.contains(owner.as_str()));
        let pings = silent.map(|(_, failures)| failures.avoided_until());
        let unserved = self.unserved.values().map(|f| f.avoided_until());
        pings.chain(unserved.filter(|at| *at > now)).min()
    }
}
