//! A candidate for the tenure, and its holder.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

use crate::bounds;
use crate::tenure;
use crate::tenure::presence;

/// Delay of a candidate for each voter before it in the order, so that few try at a time. Voters
/// that are known to be absent aren't counted.
const RANK_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time after which a candidate without a majority gives up an attempt.
const ATTEMPT_TIME: time::Duration = time::Duration::from_millis(250);

/// Interval between the requests of an attempt: the confirmations of the lost holder don't end at
/// the same time everywhere.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Pause of a candidate after an attempt without a majority.
const ATTEMPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Requests whose answers still count: those of an attempt, with the first renewal.
const MAX_ROUNDS: usize = 6;

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

/// A tenure that another instance hands over to this one.
#[derive(Debug)]
struct Handover {
    former: tenure::Former,
    /// Generation of the voters that confirmed its lease.
    generation: u64,
}

/// What a candidate sends, to all voters where nothing else is said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A request for their confirmations.
    Ask(tenure::Request),
    /// Its withdrawal.
    Withdraw(tenure::Withdrawal),
    /// Asks those that precede it whether they are there.
    Probe(voters::Set),
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
    /// When the present attempt is given up.
    attempt_until: Timestamp,
    presence: presence::Presence,
    handover: Option<Handover>,
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
            attempt_until: Timestamp(0),
            presence: presence::Presence::default(),
            handover: None,
        }
    }

    /// Adopts voters of a newer generation; the holder asks them at once.
    pub fn adopt(&mut self, now: Timestamp, voters: &voters::Voters) {
        let known = self.voters.as_ref().map_or(0, |v| v.generation);
        if voters.generation > known {
            self.voters = Some(voters.clone());
            self.presence.retain(&voters.names());
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

    /// Whether this instance is one of the voters.
    pub fn is_eligible(&self) -> bool {
        let voters = self.voters.as_ref();
        voters.is_some_and(|v| v.names().contains(&self.own))
    }

    /// The instances to ask, this one among them.
    pub fn voters(&self) -> voters::Set {
        let names = self.voters.as_ref().map(voters::Voters::names);
        names.unwrap_or_default()
    }

    /// Records a sign of life of another voter.
    pub fn record_presence(&mut self, now: Timestamp, name: &name::InstanceName) {
        self.presence.record(now, name);
    }

    /// Records whether another voter is a candidate.
    pub fn record_candidate(&mut self, name: &name::InstanceName, is_candidate: bool) {
        self.presence.record_candidate(name, is_candidate);
    }

    /// The voters that come before this one in the order.
    fn preceding(&self) -> voters::Set {
        let mut names = self.voters();
        names.split_off(&self.own);
        names
    }

    /// Delay of its attempts, by the voters that precede it and aren't known to be absent.
    fn rank_delay(&self, now: Timestamp) -> time::Duration {
        let preceding = self.preceding();
        let present = preceding
            .iter()
            .filter(|n| !self.presence.is_absent(now, n));
        RANK_DELAY * present.count() as u32
    }

    /// When an attempt begins, if no other instance is confirmed before.
    fn attempt_at(&self, now: Timestamp, free_at: Timestamp) -> Timestamp {
        match self.handover {
            Some(_) => self.next,
            None => self.next.max(free_at.after(self.rank_delay(now))),
        }
    }

    /// Takes the tenure over from another instance, which has given it up.
    pub fn take_over(&mut self, now: Timestamp, former: tenure::Former, generation: u64) {
        if !self.is_holder(now) && self.is_eligible() {
            self.handover = Some(Handover { former, generation });
            self.next = now;
        }
    }

    /// When a step is due; `free_at` is the time from which this instance's voter may confirm it.
    pub fn next_step(&self, now: Timestamp, free_at: Timestamp) -> Option<Timestamp> {
        if !self.is_eligible() {
            return None;
        }
        if self.is_holder(now) || !self.rounds.is_empty() {
            return Some(self.next);
        }
        let times = [
            Some(self.attempt_at(now, free_at)),
            Some(self.presence.due(free_at)),
            self.presence.judged_at(now),
        ];
        times.into_iter().flatten().min()
    }

    /// The next step, if one is due.
    pub fn step(&mut self, now: Timestamp, free_at: Timestamp) -> Option<Step> {
        let due = self.next_step(now, free_at)?;
        if due > now {
            return None;
        }
        if self.is_holder(now) {
            return Some(self.ask(now, bounds::RENEWAL_INTERVAL));
        }
        if !self.rounds.is_empty() {
            if now < self.attempt_until {
                return Some(self.ask(now, RETRY_INTERVAL));
            }
            self.next = now.after(ATTEMPT_PAUSE + self.rank_delay(now));
            return self.withdraw(now).map(Step::Withdraw);
        }
        if self.attempt_at(now, free_at) <= now {
            self.attempt_until = now.after(ATTEMPT_TIME);
            return Some(self.ask(now, RETRY_INTERVAL));
        }
        if self.presence.due(free_at) > now {
            return None;
        }
        self.presence.record_request(now);
        Some(Step::Probe(self.preceding()))
    }

    /// Begins a round; the next step follows after `pause`.
    fn ask(&mut self, now: Timestamp, pause: time::Duration) -> Step {
        let held = self.lease.filter(|l| now < l.until).map(|l| l.generation);
        let handed = self.handover.as_ref().map(|h| h.generation);
        self.number += 1;
        self.next = now.after(pause);
        if self.rounds.len() >= MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            number: self.number,
            sent: now,
            confirmed: voters::Set::new(),
        });
        Step::Ask(tenure::Request {
            incarnation: self.incarnation,
            number: self.number,
            held: held.or(handed),
            former: self.handover.as_ref().map(|h| h.former.clone()),
        })
    }

    /// The voter that the tenure is handed over to, one that answers and would hold it.
    fn successor(&self, now: Timestamp) -> Option<tenure::Successor> {
        let generation = self.lease.filter(|l| now < l.until)?.generation;
        let names = self.voters().into_iter();
        let mut others = names.filter(|name| *name != self.own);
        let name = others.find(|name| self.presence.is_recent(now, name))?;
        Some(tenure::Successor { name, generation })
    }

    /// Gives up the tenure, which it hands over, or an attempt; none when there is nothing to give
    /// up.
    pub fn withdraw(&mut self, now: Timestamp) -> Option<tenure::Withdrawal> {
        let successor = self.successor(now);
        if self.lease.is_none() && self.rounds.is_empty() {
            return None;
        }
        if self.timing.ends_at_handover || !self.is_holder(now) {
            self.lease = None;
        }
        self.rounds.clear();
        self.handover = None;
        Some(tenure::Withdrawal {
            incarnation: self.incarnation,
            number: self.number,
            successor,
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
        // A confirmation holds for as long from its time on, so it counts for earlier requests too.
        for round in &mut self.rounds {
            if round.number <= reply.number {
                round.confirmed.insert(from.clone());
            }
        }
        let mut rounds = self.rounds.iter().rev();
        let round = rounds.find(|r| voters.is_majority(|name| r.confirmed.contains(name)));
        let Some(Round { number, sent, .. }) = round else {
            return false;
        };
        let (number, until) = (*number, sent.after(self.timing.lease));
        if until <= now {
            return false;
        }
        let generation = voters.generation;
        let begins = !self.is_holder(now);
        let known = self.lease.filter(|l| l.until > until);
        self.lease = Some(known.unwrap_or(Lease { until, generation }));
        if begins {
            self.handover = None;
            self.next = self.next.max(now.after(bounds::RENEWAL_INTERVAL));
        }
        self.rounds.retain(|r| r.number > number);
        begins
    }

    /// End of the lease of an instance that holds the tenure.
    pub fn lease_end(&self, now: Timestamp) -> Option<Timestamp> {
        self.lease.map(|l| l.until).filter(|until| *until > now)
    }
}
