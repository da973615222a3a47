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

/// Time without an answer after which a voter is replaced.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(10_000);

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
#[derive(Debug)]
pub struct Keeper {
    /// When it began to ask the others.
    since: Timestamp,
    answers: collections::BTreeMap<name::InstanceName, Answer>,
    /// The proposal that it has seen last, and since when.
    proposal: Option<(u64, Timestamp)>,
}

impl Keeper {
    /// Creates the state of an instance that has no answers yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            answers: collections::BTreeMap::new(),
            proposal: None,
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
        let mut live = zones.clone();
        for names in live.values_mut() {
            names.retain(|name| self.is_eligible(now, name, &voters.current));
        }
        live.retain(|_, names| !names.is_empty());
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

    /// Whether an instance can be a voter. A voter stays one until it has been silent for long, or
    /// says that it is leaving; another instance must have answered a moment ago.
    fn is_eligible(&self, now: Timestamp, name: &name::InstanceName, voters: &Set) -> bool {
        let answer = self.answers.get(name);
        if answer.is_some_and(|a| a.is_leaving) {
            return false;
        }
        let (answered, max_age) = match voters.contains(name) {
            true => (Some(answer.map_or(self.since, |a| a.at)), SILENCE_TIMEOUT),
            false => (answer.map(|a| a.at), MAX_ANSWER_AGE),
        };
        answered.is_some_and(|at| now.since(at) < max_age)
    }
}
