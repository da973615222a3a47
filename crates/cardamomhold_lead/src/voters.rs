//! The voters: the instances of which a majority confirms leaderships and acknowledges their ends.
//!
//! The registered instances themselves can't be the voters: one that has left for good would be
//! counted for ever, and majorities of two lists that differ need not meet. The voters are a record
//! in the store with a number, its generation. It changes in two steps: while the next set is
//! proposed, a majority of both sets is needed, and it takes effect alone once a majority of both
//! has adopted the proposal. So each majority that still counts meets each other one, and a set of
//! which most are gone can't be replaced by a few instances that have lost sight of it.
//!
//! Answers count only within one generation, and a generation is passed on only together with the
//! leaderships that its sender has.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

/// Largest number of voters; more would only add messages.
pub const MAX_VOTERS: usize = 15;

/// Number of voters below which a voter that is silent isn't left out.
pub const MIN_VOTERS: usize = 3;

/// Interval between two requests to the voters.
pub const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of requests without an answer after which a voter is replaced. Requests are counted, not
/// time, as the instance that asks may have stood still itself.
pub const MAX_MISSED: u32 = 20;

/// Age above which an answer doesn't show that an instance can become a voter.
pub const MAX_ANSWER_AGE: time::Duration = time::Duration::from_millis(3_000);

/// Time after which a proposal is withdrawn that no majority has adopted.
pub const PROPOSAL_TIMEOUT: time::Duration = time::Duration::from_millis(10_000);

/// A set of instances.
pub type Set = collections::BTreeSet<name::InstanceName>;

/// The voters as stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Voters {
    /// Number of this record; each change increments it.
    pub generation: u64,
    /// The voters.
    pub current: Set,
    /// The set that is proposed to replace them.
    pub next: Option<Set>,
}

impl Voters {
    /// Returns the first voters of a fleet.
    pub fn first(current: Set) -> Self {
        Self {
            generation: 1,
            current,
            next: None,
        }
    }

    /// Returns the record that follows this one if an operator has removed it from the store, as the
    /// missing voters are known to be gone.
    pub fn restarted(&self, current: Set) -> Self {
        Self {
            generation: self.generation + 1,
            current,
            next: None,
        }
    }

    /// Returns the record that proposes another set.
    pub fn proposing(&self, next: Set) -> Self {
        Self {
            generation: self.generation + 1,
            current: self.current.clone(),
            next: Some(next),
        }
    }

    /// Returns the record in which the proposed set has replaced the voters.
    pub fn accepted(&self) -> Self {
        Self {
            generation: self.generation + 1,
            current: self.next.clone().unwrap_or_else(|| self.current.clone()),
            next: None,
        }
    }

    /// Returns the record in which the proposal is withdrawn.
    pub fn withdrawn(&self) -> Self {
        Self {
            generation: self.generation + 1,
            current: self.current.clone(),
            next: None,
        }
    }

    /// Whether the instances that `has` accepts are a majority of the voters, and of the proposed
    /// set if there is one.
    pub fn is_majority(&self, has: impl Fn(&name::InstanceName) -> bool) -> bool {
        let is_majority = |set: &Set| set.iter().filter(|n| has(n)).count() * 2 > set.len();
        is_majority(&self.current) && self.next.as_ref().is_none_or(is_majority)
    }

    /// All instances of both sets.
    pub fn names(&self) -> Set {
        let mut names = self.current.clone();
        names.extend(self.next.iter().flatten().cloned());
        names
    }
}

/// Chooses voters among the instances of each zone: as many of each zone as there are, up to a
/// fair share, so that the loss of a zone leaves a majority. Instances in `present` come first, so
/// that few change. An even number has no advantage over the odd one below it.
pub fn choose(zones: &collections::BTreeMap<&str, Vec<&name::InstanceName>>, present: &Set) -> Set {
    let share = MAX_VOTERS.div_ceil(zones.len().max(1));
    let mut chosen = Vec::new();
    for turn in 0..share {
        for names in zones.values() {
            let mut names = names.clone();
            names.sort_unstable_by_key(|name| (!present.contains(*name), *name));
            chosen.extend(names.get(turn).copied());
        }
    }
    chosen.truncate(MAX_VOTERS);
    if chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen.into_iter().cloned().collect()
}

/// The last answer of an instance.
#[derive(Debug, Clone, Copy)]
struct Answer {
    at: Timestamp,
    /// Generation that the instance has adopted.
    generation: u64,
    is_leaving: bool,
}

/// The state of the instance that keeps the voters up to date.
#[derive(Debug, Default)]
pub struct Keeper {
    answers: collections::BTreeMap<name::InstanceName, Answer>,
    /// Requests to each instance since its last answer.
    missed: collections::BTreeMap<name::InstanceName, u32>,
    /// The proposal that it has seen last, and since when.
    proposal: Option<(u64, Timestamp)>,
}

impl Keeper {
    /// Records that instances are asked now; forgets those that are not asked any more.
    pub fn record_requests(&mut self, names: &Set) {
        self.answers.retain(|name, _| names.contains(name));
        self.missed.retain(|name, _| names.contains(name));
        for name in names {
            *self.missed.entry(name.clone()).or_default() += 1;
        }
    }

    /// Records an answer.
    pub fn record(
        &mut self,
        now: Timestamp,
        name: &name::InstanceName,
        generation: u64,
        is_leaving: bool,
    ) {
        let answer = Answer {
            at: now,
            generation,
            is_leaving,
        };
        self.answers.insert(name.clone(), answer);
        self.missed.remove(name);
    }

    /// Returns voters chosen among the instances that have answered a moment ago; none without any.
    pub fn choose_live(
        &self,
        now: Timestamp,
        zones: &collections::BTreeMap<&str, Vec<&name::InstanceName>>,
    ) -> Option<Set> {
        let live = self.eligible(now, zones, &Set::new());
        let chosen = choose(&live, &Set::new());
        (!chosen.is_empty()).then_some(chosen)
    }

    /// Returns the next record of the voters, if it is time for a change; `zones` are the
    /// registered instances.
    pub fn next(
        &mut self,
        now: Timestamp,
        voters: &Voters,
        zones: &collections::BTreeMap<&str, Vec<&name::InstanceName>>,
    ) -> Option<Voters> {
        if voters.next.is_some() {
            return self.end_proposal(now, voters);
        }
        self.proposal = None;
        let live = self.eligible(now, zones, &voters.current);
        let chosen = choose(&live, &voters.current);
        let is_small = chosen.len() < MIN_VOTERS && chosen.len() < voters.current.len();
        if chosen.is_empty() || is_small || chosen == voters.current {
            return None;
        }
        Some(voters.proposing(chosen))
    }

    /// Accepts a proposal that a majority of both sets has adopted; withdraws one that is old.
    fn end_proposal(&mut self, now: Timestamp, voters: &Voters) -> Option<Voters> {
        let generation = voters.generation;
        let has_adopted = |name: &name::InstanceName| {
            let answer = self.answers.get(name);
            answer.is_some_and(|a| a.generation >= generation)
        };
        if voters.is_majority(has_adopted) {
            return Some(voters.accepted());
        }
        let known = self.proposal.filter(|(g, _)| *g == generation);
        let (_, since) = *self.proposal.insert(known.unwrap_or((generation, now)));
        let is_old = now.since(since) >= PROPOSAL_TIMEOUT;
        is_old.then(|| voters.withdrawn())
    }

    /// The instances of each zone that can be voters.
    fn eligible<'a>(
        &self,
        now: Timestamp,
        zones: &collections::BTreeMap<&'a str, Vec<&'a name::InstanceName>>,
        voters: &Set,
    ) -> collections::BTreeMap<&'a str, Vec<&'a name::InstanceName>> {
        let mut eligible = zones.clone();
        for names in eligible.values_mut() {
            names.retain(|name| self.is_eligible(now, name, voters));
        }
        eligible.retain(|_, names| !names.is_empty());
        eligible
    }

    /// Whether an instance can be a voter. A voter stays one until it has been silent for long, or
    /// says that it is leaving; another instance must have answered a moment ago.
    fn is_eligible(&self, now: Timestamp, name: &name::InstanceName, voters: &Set) -> bool {
        let answer = self.answers.get(name);
        if answer.is_some_and(|a| a.is_leaving) {
            return false;
        }
        match voters.contains(name) {
            true => self.missed.get(name).is_none_or(|m| *m < MAX_MISSED),
            false => answer.is_some_and(|a| now.since(a.at) < MAX_ANSWER_AGE),
        }
    }
}
