//! A candidate for the tenure, and its holder.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

use crate::bounds;
use crate::tenure;

/// Interval between two requests of the holder, and time after which a candidate without a
/// majority gives up an attempt. A third of the lease.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Delay of a candidate for each voter before it in the order, so that few try at a time.
const RANK_DELAY: time::Duration = time::Duration::from_millis(100);

/// Pause of a candidate after an attempt without a majority.
const ATTEMPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Requests whose answers still count.
const MAX_ROUNDS: usize = 4;

#[derive(Debug)]
struct Round {
    number: u64,
    sent: Timestamp,
    confirmed: voters::Set,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    until: Timestamp,
    /// Generation of the voters that confirmed it.
    generation: u64,
}

/// What a candidate sends to all voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A request for their confirmations.
    Ask(tenure::Request),
    /// Its withdrawal.
    Withdraw(tenure::Withdrawal),
}

/// State of a candidate.
#[derive(Debug)]
pub struct Candidate {
    own: name::InstanceName,
    incarnation: u64,
    timing: bounds::Timing,
    voters: Option<voters::Voters>,
    /// Number of the last request.
    number: u64,
    rounds: collections::VecDeque<Round>,
    lease: Option<Lease>,
    /// When the next step is due, at the earliest.
    next: Timestamp,
}

impl Candidate {
    /// Creates a candidate that holds nothing.
    pub fn new(own: &name::InstanceName, incarnation: u64, timing: bounds::Timing) -> Self {
        Self {
            own: own.clone(),
            incarnation,
            timing,
            voters: None,
            number: 0,
            rounds: collections::VecDeque::new(),
            lease: None,
            next: Timestamp(0),
        }
    }

    /// Adopts voters of a newer generation; the holder asks them at once.
    pub fn adopt(&mut self, now: Timestamp, voters: &voters::Voters) {
        let known = self.voters.as_ref().map_or(0, |v| v.generation);
        if voters.generation > known {
            self.voters = Some(voters.clone());
            self.next = self.next.min(now);
            // A majority is counted within one generation.
            for round in &mut self.rounds {
                round.confirmed.clear();
            }
        }
    }

    /// Whether this instance holds the tenure.
    pub fn is_holder(&self, now: Timestamp) -> bool {
        self.lease.is_some_and(|l| now < l.until)
    }

    /// Place among the voters; none if this instance isn't one.
    fn rank(&self) -> Option<u32> {
        let names = self.voters.as_ref()?.names();
        let rank = names.iter().position(|n| *n == self.own);
        rank.map(|r| r as u32)
    }

    /// Whether this instance is one of the voters.
    pub fn is_eligible(&self) -> bool {
        self.rank().is_some()
    }

    /// The instances to ask, this one among them.
    pub fn voters(&self) -> voters::Set {
        let names = self.voters.as_ref().map(voters::Voters::names);
        names.unwrap_or_default()
    }

    /// When a step is due; `free_at` is the time from which this instance's voter may confirm it.
    pub fn next_step(&self, now: Timestamp, free_at: Timestamp) -> Option<Timestamp> {
        let rank = self.rank()?;
        match self.is_holder(now) || !self.rounds.is_empty() {
            true => Some(self.next),
            false => Some(self.next.max(free_at.after(RANK_DELAY * rank))),
        }
    }

    /// The next step, if one is due.
    pub fn step(&mut self, now: Timestamp, free_at: Timestamp) -> Option<Step> {
        let due = self.next_step(now, free_at)?;
        if due > now {
            return None;
        }
        if !self.is_holder(now) && !self.rounds.is_empty() {
            let rank = self.rank().unwrap_or_default();
            self.next = now.after(ATTEMPT_PAUSE + RANK_DELAY * rank);
            return self.withdraw().map(Step::Withdraw);
        }
        let held = self.lease.filter(|l| now < l.until).map(|l| l.generation);
        self.number += 1;
        self.next = now.after(REQUEST_INTERVAL);
        if self.rounds.len() >= MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            number: self.number,
            sent: now,
            confirmed: voters::Set::new(),
        });
        Some(Step::Ask(tenure::Request {
            incarnation: self.incarnation,
            number: self.number,
            held,
        }))
    }

    /// Gives up the tenure or an attempt; none when there is nothing to give up.
    pub fn withdraw(&mut self) -> Option<tenure::Withdrawal> {
        if self.lease.take().is_none() && self.rounds.is_empty() {
            return None;
        }
        self.rounds.clear();
        Some(tenure::Withdrawal {
            incarnation: self.incarnation,
            number: self.number,
        })
    }

    /// Counts a voter's answer; returns whether a tenure begins with it.
    pub fn record(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        reply: &tenure::Reply,
    ) -> bool {
        let Some(voters) = &self.voters else {
            return false;
        };
        if !reply.is_confirmed
            || reply.incarnation != self.incarnation
            || reply.generation != voters.generation
        {
            return false;
        }
        let round = self.rounds.iter_mut().find(|r| r.number == reply.number);
        let Some(round) = round else {
            return false;
        };
        round.confirmed.insert(from.clone());
        let until = round.sent.after(self.timing.lease);
        if !voters.is_majority(|name| round.confirmed.contains(name)) || until <= now {
            return false;
        }
        let generation = voters.generation;
        let begins = !self.is_holder(now);
        let known = self.lease.filter(|l| l.until > until);
        self.lease = Some(known.unwrap_or(Lease { until, generation }));
        let number = reply.number;
        self.rounds.retain(|r| r.number > number);
        begins
    }

    /// End of the lease of an instance that holds the tenure.
    pub fn lease_end(&self, now: Timestamp) -> Option<Timestamp> {
        self.lease.map(|l| l.until).filter(|until| *until > now)
    }
}
