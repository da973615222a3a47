//! The allowance: the tokens that an instance has, and its requests for more.
//!
//! A token may be used until a term after the request for it was sent. So what an instance uses in
//! a window was granted in the window or a term before it, whatever the network or the instance did
//! in between.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use xxhash_rust::xxh3;

use crate::allocator;
use crate::bounds;
use crate::reserve;
use crate::stock;

mod requests;

/// Workspaces in one request, which bounds the datagram to a few hundred bytes.
const MAX_WANTED: usize = 16;

/// How long operations are refused after some have waited in vain.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest time after which a refused operation is asked to return.
const MAX_RETURN: time::Duration = time::Duration::from_millis(1_000);

/// Interval between two removals of workspaces that are idle here.
const CLEAN_INTERVAL: time::Duration = time::Duration::from_millis(10_000);

/// The right to send one operation to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// When it ends.
    pub until: Timestamp,
}

/// Result of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// The operation may run.
    Permitted(Permit),
    /// It is beyond the limit; there may be a token after this time.
    Refused(time::Duration),
    /// The decision follows.
    Waiting,
}

/// The decision on an operation that has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The operation.
    pub id: u64,
    /// The permit, or the time after which there may be a token.
    pub result: Result<Permit, time::Duration>,
}

/// Tokens and requests of an instance.
#[derive(Debug)]
pub struct Allowance {
    incarnation: u64,
    bounds: bounds::Bounds,
    limits: allocator::Limits,
    stocks: collections::BTreeMap<name::WorkspaceName, stock::Stock>,
    reserve: reserve::Reserve,
    requests: requests::Requests,
    /// Until when no instance holds the tenure, as far as is known.
    vacant_until: Timestamp,
    /// Number of jitters drawn.
    draws: u64,
    cleaned: Timestamp,
    decisions: Vec<Decision>,
}

impl Allowance {
    /// Creates the allowance of a process that starts now.
    pub fn new(
        started: Timestamp,
        own: &name::InstanceName,
        incarnation: u64,
        bounds: bounds::Bounds,
    ) -> Self {
        Self {
            incarnation,
            bounds,
            limits: allocator::Limits::new(),
            stocks: collections::BTreeMap::new(),
            reserve: reserve::Reserve::new(started, own, bounds),
            requests: requests::Requests::new(own, incarnation),
            vacant_until: Timestamp(0),
            draws: 0,
            cleaned: started,
            decisions: Vec::new(),
        }
    }

    /// Sets the registered instances, which share the reserve.
    pub fn set_fleet(&mut self, fleet: Vec<name::InstanceName>) {
        self.reserve.set_fleet(fleet);
    }

    /// Changes the limits. Operations that wait in the name of a workspace without one may run.
    pub fn set_limits(&mut self, limits: &allocator::Limits) {
        self.limits.clone_from(limits);
        let mut freed = Vec::new();
        self.stocks.retain(|name, stock| {
            let is_kept = limits.contains_key(name);
            if !is_kept {
                freed.extend(stock.waiting.drain(..));
            }
            is_kept
        });
        for waiter in freed {
            let until = waiter.until;
            self.decide(waiter.id, Ok(Permit { until }));
        }
    }

    /// Whether a workspace has a limit.
    pub fn is_limited(&self, workspace: &name::WorkspaceName) -> bool {
        self.limits.contains_key(workspace)
    }

    /// The holder of the tenure, as far as this instance knows.
    pub fn holder(&self) -> Option<&name::InstanceName> {
        self.requests.holder.as_ref()
    }

    /// Whether the last requests brought no tokens.
    pub fn is_failing(&self) -> bool {
        self.requests.is_failing()
    }

    /// Number of requests without tokens since the last answer with some.
    pub fn failures(&self) -> u32 {
        self.requests.failures
    }

    /// Asks for the token of an operation, which waits for it until `until` at most.
    pub fn take(
        &mut self,
        now: Timestamp,
        id: u64,
        workspace: &name::WorkspaceName,
        until: Timestamp,
    ) -> Taken {
        self.clean(now);
        let is_failing = self.is_failing();
        let stock = self.stocks.entry(workspace.clone()).or_default();
        stock.record_operation(now);
        if stock.waiting.is_empty()
            && let Some(permit) = stock.take(now)
        {
            stock.refused = 0;
            return Taken::Permitted(permit);
        }
        if is_failing && let Some(permit) = self.reserve.take(now, workspace) {
            return Taken::Permitted(permit);
        }
        if now < stock.empty_until.max(self.vacant_until) || until <= now {
            return Taken::Refused(self.return_time(now, workspace));
        }
        stock.waiting.push_back(stock::Waiter { id, until });
        Taken::Waiting
    }

    /// Records that the voters aren't known, so no tokens can be asked for.
    pub fn record_unknown_voters(&mut self, now: Timestamp) {
        self.vacant_until = self.vacant_until.max(now.after(SILENCE_PAUSE));
    }

    /// Refuses all waiting operations until a time, as no instance can grant tokens before.
    fn record_vacancy(&mut self, now: Timestamp, until: Timestamp) {
        self.vacant_until = until;
        let waiting = self.stocks.iter().filter(|(_, s)| !s.waiting.is_empty());
        let workspaces: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        for workspace in workspaces {
            self.refuse_waiting(now, &workspace, true, |_| true);
        }
    }

    /// Returns the permit of an operation that has not run.
    pub fn put_back(&mut self, now: Timestamp, workspace: &name::WorkspaceName, permit: Permit) {
        if let Some(stock) = self.stocks.get_mut(workspace) {
            stock.add(now, permit.until, 1);
            self.serve(now, workspace);
        }
    }

    /// Time after which a refused operation should return: when there are tokens again, later the
    /// more were refused before it, and not all at the same time.
    fn return_time(&mut self, now: Timestamp, workspace: &name::WorkspaceName) -> time::Duration {
        self.draws += 1;
        let draw = xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.incarnation);
        let fraction = (draw >> 11) as f64 / (1u64 << 53) as f64;
        let rate = self.limits.get(workspace).map_or(1.0, |l| l.rate);
        let Some(stock) = self.stocks.get_mut(workspace) else {
            return SILENCE_PAUSE;
        };
        stock.refused = stock.refused.saturating_add(1);
        let backlog = f64::from(stock.refused) / rate.max(1.0);
        let backlog = backlog.min(MAX_RETURN.as_secs_f64());
        let empty = stock.empty_until.max(self.vacant_until);
        let empty = empty.since(now).as_secs_f64().max(0.02);
        let seconds = (empty + backlog) * (1.0 + fraction / 2.0);
        time::Duration::from_secs_f64(seconds).min(MAX_RETURN)
    }

    fn decide(&mut self, id: u64, result: Result<Permit, time::Duration>) {
        self.decisions.push(Decision { id, result });
    }

    /// Decisions on operations that have waited.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Gives tokens to waiting operations.
    fn serve(&mut self, now: Timestamp, workspace: &name::WorkspaceName) {
        let Some(stock) = self.stocks.get_mut(workspace) else {
            return;
        };
        while !stock.waiting.is_empty() {
            let Some(permit) = stock.take(now) else {
                return;
            };
            if let Some(waiter) = stock.waiting.pop_front() {
                stock.refused = 0;
                let result = Ok(permit);
                self.decisions.push(Decision {
                    id: waiter.id,
                    result,
                });
            }
        }
    }

    /// Refuses waiting operations of a workspace, unless the reserve has one for them.
    fn refuse_waiting(
        &mut self,
        now: Timestamp,
        workspace: &name::WorkspaceName,
        may_reserve: bool,
        is_due: impl Fn(&stock::Waiter) -> bool,
    ) {
        let Some(stock) = self.stocks.get_mut(workspace) else {
            return;
        };
        let mut due = Vec::new();
        stock.waiting.retain(|waiter| {
            let is_due = is_due(waiter);
            if is_due {
                due.push(waiter.id);
            }
            !is_due
        });
        for id in due {
            let reserved = may_reserve.then(|| self.reserve.take(now, workspace));
            let result = match reserved.flatten() {
                Some(permit) => Ok(permit),
                None => Err(self.return_time(now, workspace)),
            };
            self.decide(id, result);
        }
    }

    /// Refuses operations that have waited for too long; there was no answer for them.
    pub fn refuse_overdue(&mut self, now: Timestamp) {
        let is_overdue = |waiter: &stock::Waiter| waiter.until <= now;
        let mut workspaces = Vec::new();
        for (name, stock) in &mut self.stocks {
            if stock.waiting.iter().any(is_overdue) {
                stock.empty_until = stock.empty_until.max(now.after(SILENCE_PAUSE));
                workspaces.push(name.clone());
            }
        }
        for workspace in workspaces {
            self.refuse_waiting(now, &workspace, true, is_overdue);
        }
    }

    /// The next request, if one is due.
    pub fn request(&mut self, now: Timestamp) -> Option<allocator::Request> {
        let is_waiting = self.stocks.values().any(|s| !s.waiting.is_empty());
        let due = match is_waiting {
            true => self.requests.due(),
            false => self.requests.due_ahead(),
        };
        if now < due {
            return None;
        }
        let (wanted, is_needed) = self.wanted(now);
        is_needed.then(|| self.requests.start(now, wanted))
    }

    /// What to ask for, those with waiting operations first, and whether a request is needed now.
    fn wanted(&mut self, now: Timestamp) -> (Vec<allocator::Wanted>, bool) {
        let span = self.bounds.term() / 2;
        let mut all = Vec::new();
        let mut is_needed = false;
        for (name, stock) in &mut self.stocks {
            let waiting = stock.waiting.len() as u32;
            if waiting == 0 && now < stock.empty_until {
                continue;
            }
            let tokens = stock.tokens(now);
            let (likely, possible) = stock.expected(now, span);
            let (likely, possible) = (
                likely.saturating_sub(tokens),
                possible.saturating_sub(tokens),
            );
            is_needed |= waiting > 0 || possible > tokens;
            if waiting > 0 || possible > 0 {
                all.push(allocator::Wanted {
                    workspace: name.clone(),
                    waiting,
                    likely,
                    possible: possible.saturating_sub(likely),
                });
            }
        }
        all.sort_by_key(|wanted| {
            (
                std::cmp::Reverse(wanted.waiting),
                std::cmp::Reverse(wanted.possible),
            )
        });
        all.truncate(MAX_WANTED);
        (all, is_needed)
    }

    /// Stores the tokens of an answer.
    pub fn record(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        answer: &allocator::Answer,
    ) {
        let Some(sent) = self.requests.finish(from, answer) else {
            return;
        };
        let Some(grants) = &answer.grants else {
            // One voter that has lost sight of the holder doesn't show that there is none.
            if self.is_failing() && answer.vacant_ms > 0 {
                let vacant = time::Duration::from_millis(answer.vacant_ms.into());
                self.record_vacancy(now, now.after(vacant));
            }
            return;
        };
        self.vacant_until = Timestamp(0);
        let until = sent.at.after(self.bounds.term());
        for workspace in &sent.workspaces {
            let grant = grants.iter().find(|g| g.workspace == *workspace);
            let Some(grant) = grant else {
                self.refuse_waiting(now, workspace, true, |_| true);
                continue;
            };
            let Some(stock) = self.stocks.get_mut(workspace) else {
                continue;
            };
            stock.add(now, until, grant.tokens);
            let empty = time::Duration::from_millis(grant.empty_ms.into());
            stock.empty_until = now.after(empty);
            self.serve(now, workspace);
            if grant.empty_ms > 0 {
                self.refuse_waiting(now, workspace, false, |_| true);
            }
        }
    }

    /// The instance to send a request to: the holder or, while it isn't known or doesn't answer,
    /// one of the voters in turn.
    pub fn target(
        &mut self,
        voters: &collections::BTreeSet<name::InstanceName>,
    ) -> Option<name::InstanceName> {
        self.requests.target(voters)
    }

    /// When something is due.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let waiting = self.stocks.values().flat_map(|s| &s.waiting);
        let overdue = waiting.map(|w| w.until).min()?;
        Some(match self.requests.due() {
            due if due > now => overdue.min(due),
            _ => overdue,
        })
    }

    fn clean(&mut self, now: Timestamp) {
        if now.since(self.cleaned) >= CLEAN_INTERVAL {
            self.cleaned = now;
            self.stocks.retain(|_, stock| !stock.is_idle(now));
        }
    }
}
