//! A voter: confirms one holder at a time.
//!
//! Voters change in two steps, and the sets of two generations that don't follow each other may
//! have no instance in common. A holder by an old set may have been confirmed a moment before a
//! majority of that set adopted the proposal of another one. So a voter confirms nobody for the
//! duration of a lease from the time when it learns that a set is in effect, except an instance
//! that states a valid lease by the generation before or a newer one: its majority meets the old
//! one, so there is no other holder. A proposal and its withdrawal leave the set in effect, so they
//! begin no new abstention.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

use crate::bounds;
use crate::tenure;

/// Time for which other candidates wait for the successor that a holder has named.
const HANDOVER_TIME: time::Duration = time::Duration::from_millis(100);

#[derive(Debug, Clone)]
struct Confirmation {
    holder: name::InstanceName,
    incarnation: u64,
    number: u64,
    until: Timestamp,
}

/// State of a voter.
#[derive(Debug)]
pub struct Voter {
    timing: bounds::Timing,
    started: Timestamp,
    voters: Option<voters::Voters>,
    /// When it learnt that the present set is in effect, and by which generation.
    adopted: Timestamp,
    first: u64,
    /// Whether the voters that it knows are at least as new as those that the process before it
    /// had adopted.
    is_current: bool,
    confirmation: Option<Confirmation>,
    /// When the last holder gave its confirmation back.
    freed: Timestamp,
    /// The successor that it named.
    successor: Option<name::InstanceName>,
    /// Process and last number of each candidate's withdrawal; a request that arrives after it
    /// counts for nothing.
    withdrawn: collections::BTreeMap<name::InstanceName, (u64, u64)>,
}

impl Voter {
    /// Creates the voter of a process that starts now.
    pub fn new(started: Timestamp, timing: bounds::Timing) -> Self {
        Self {
            timing,
            started,
            voters: None,
            adopted: started,
            first: 0,
            is_current: false,
            confirmation: None,
            freed: Timestamp(0),
            successor: None,
            withdrawn: collections::BTreeMap::new(),
        }
    }

    /// Adopts voters of a newer generation.
    pub fn adopt(&mut self, now: Timestamp, voters: &voters::Voters) {
        if voters.generation <= self.generation() {
            return;
        }
        let names = voters.names();
        self.withdrawn.retain(|name, _| names.contains(name));
        let is_in_effect = self.voters.as_ref().is_some_and(|known| {
            let is_same = known.current == voters.current || !self.timing.restarts_abstention;
            known.generation + 1 == voters.generation && is_same
        });
        self.voters = Some(voters.clone());
        if !is_in_effect {
            self.adopted = now;
            self.first = voters.generation;
        }
    }

    /// Lets it confirm, as its voters are known to be at least as new as those that the process
    /// before it had adopted.
    pub fn allow(&mut self) {
        self.is_current = true;
    }

    /// End of its abstentions.
    fn abstains_until(&self) -> Timestamp {
        let started = self.started.after(self.timing.start_abstention);
        started.max(self.adopted.after(self.timing.adoption_abstention))
    }

    /// Time until which it confirms no holder, as far as it knows; none while a holder renews its
    /// lease, or could get one.
    pub fn vacant_until(&self, now: Timestamp) -> Option<Timestamp> {
        match self.confirmation.as_ref().filter(|c| now < c.until) {
            Some(confirmation) => {
                let renewed = self.timing.confirmation - bounds::RENEWAL_INTERVAL * 3 / 2;
                let is_renewed = confirmation.until.since(now) > renewed;
                (!is_renewed).then_some(confirmation.until)
            }
            None => Some(self.abstains_until()).filter(|until| *until > now),
        }
    }

    /// Generation of the voters that it has adopted, 0 without any.
    pub fn generation(&self) -> u64 {
        self.voters.as_ref().map_or(0, |v| v.generation)
    }

    /// The instance that it confirms at present.
    pub fn holder(&self, now: Timestamp) -> Option<&name::InstanceName> {
        let confirmation = self.confirmation.as_ref().filter(|c| now < c.until);
        confirmation.map(|c| &c.holder)
    }

    /// The successor that the last holder named, while it is waited for.
    pub fn successor(&self, now: Timestamp) -> Option<&name::InstanceName> {
        let is_awaited = now < self.freed.after(HANDOVER_TIME);
        self.successor.as_ref().filter(|_| is_awaited)
    }

    /// Time from which it may confirm `own`, if no other instance is confirmed before.
    pub fn free_at(&self, own: &name::InstanceName) -> Timestamp {
        let other = self.confirmation.as_ref().filter(|c| c.holder != *own);
        let freed = match &self.successor {
            Some(successor) if successor != own => self.freed.after(HANDOVER_TIME),
            Some(_) | None => self.freed,
        };
        let times = [
            self.abstains_until(),
            other.map_or(Timestamp(0), |c| c.until),
            freed,
        ];
        times.into_iter().max().unwrap_or_default()
    }

    /// Answers a request.
    pub fn confirm(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        request: &tenure::Request,
    ) -> tenure::Reply {
        if let Some(former) = &request.former {
            self.end_confirmation(now, former, Some(from));
        }
        let is_confirmed = self.may_confirm(now, from, request);
        if is_confirmed {
            let until = now.after(self.timing.confirmation);
            let number = self.confirmation.as_ref().map_or(0, |c| c.number);
            self.confirmation = Some(Confirmation {
                holder: from.clone(),
                incarnation: request.incarnation,
                number: number.max(request.number),
                until,
            });
        }
        tenure::Reply {
            incarnation: request.incarnation,
            number: request.number,
            generation: self.generation(),
            is_confirmed,
            holder: self.holder(now).cloned(),
            is_candidate: false,
        }
    }

    fn may_confirm(
        &self,
        now: Timestamp,
        from: &name::InstanceName,
        request: &tenure::Request,
    ) -> bool {
        let Some(voters) = &self.voters else {
            return false;
        };
        let is_started = now >= self.started.after(self.timing.start_abstention);
        if !is_started || !self.is_current || !voters.names().contains(from) {
            return false;
        }
        let is_fresh = now < self.adopted.after(self.timing.adoption_abstention);
        let is_present = request.held.is_some_and(|g| g + 1 >= self.first);
        if is_fresh && !is_present {
            return false;
        }
        let withdrawn = self.withdrawn.get(from.as_str());
        if withdrawn.is_some_and(|(i, n)| *i == request.incarnation && request.number <= *n) {
            return false;
        }
        self.confirmation.as_ref().is_none_or(|c| {
            let is_same = c.holder == *from && c.incarnation == request.incarnation;
            is_same || now >= c.until
        })
    }

    /// Takes a confirmation back, as its holder doesn't rely on it any more.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        withdrawal: &tenure::Withdrawal,
    ) {
        let former = tenure::Former {
            holder: from.clone(),
            incarnation: withdrawal.incarnation,
            number: withdrawal.number,
        };
        let successor = withdrawal.successor.as_ref().map(|s| &s.name);
        self.end_confirmation(now, &former, successor);
    }

    fn end_confirmation(
        &mut self,
        now: Timestamp,
        former: &tenure::Former,
        successor: Option<&name::InstanceName>,
    ) {
        // The former holder may be no voter any more; its later requests count for nothing then.
        let names = self.voters.as_ref().map(voters::Voters::names);
        if names.is_some_and(|n| n.contains(&former.holder)) {
            let last = (former.incarnation, former.number);
            let known = self.withdrawn.entry(former.holder.clone()).or_insert(last);
            if known.0 != last.0 || known.1 < last.1 {
                *known = last;
            }
        }
        let is_theirs = self.confirmation.as_ref().is_some_and(|c| {
            c.holder == former.holder
                && c.incarnation == former.incarnation
                && c.number <= former.number
        });
        if is_theirs {
            self.confirmation = None;
            self.freed = now;
            self.successor = successor.cloned();
        }
    }
}
