//! The budget aggregate: bytes charged to each connection, and who gives way when they run short.
//!
//! A charge that fits is granted at once; others wait in order of arrival. While one waits, the
//! holder with the largest product of bytes and time without progress gives way, unless what is
//! being given up suffices already. Progress is a release: a message has been handled, or an
//! answer has been taken.

use std::collections;
use std::time;

use cardamomhold_core::time::Timestamp;

use crate::plan;

/// Time without progress before which a holder doesn't give way. A line of 1 MiB takes 0.84 s on
/// the slowest link of the deployments, 10 Mbit/s, and a request is mostly served in less than
/// 250 ms.
pub const MIN_STALL: time::Duration = time::Duration::from_millis(1_000);

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder(pub u64);

/// Kind of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// From a caller.
    Caller,
    /// From another instance.
    Peer,
    /// To a member or to another instance; not limited in number, as the pools limit it.
    Outgoing,
}

/// Why a connection is refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The largest holder without progress, while memory is short.
    Memory,
    /// The oldest of too many half-open starts.
    Starts,
    /// Too many connections of callers.
    Callers,
    /// Too many connections from other instances.
    Peers,
    /// A single charge is larger than the budget.
    TooLarge,
}

impl Reason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Starts => "starts",
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::TooLarge => "too_large",
        }
    }
}

/// A decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The waiting charge of the holder is granted.
    Grant(Holder),
    /// The holder's connection is to be closed.
    GiveWay(Holder, Reason),
    /// The holder has made progress and needn't give way any more.
    Stay(Holder),
}

#[derive(Debug)]
struct Account {
    kind: Kind,
    held: usize,
    /// Last progress.
    since: Timestamp,
    /// Whether the first line hasn't been received yet.
    is_starting: bool,
    is_giving_way: bool,
}

/// Bytes charged to the connections of a process.
#[derive(Debug)]
pub struct Budget {
    limits: plan::Limits,
    used: usize,
    accounts: collections::BTreeMap<Holder, Account>,
    /// Charges that wait, oldest first.
    waiting: collections::VecDeque<(Holder, usize)>,
    next_holder: u64,
}

impl Budget {
    /// Creates a budget without holders.
    pub fn new(limits: plan::Limits) -> Self {
        Self {
            limits,
            used: 0,
            accounts: collections::BTreeMap::new(),
            waiting: collections::VecDeque::new(),
            next_holder: 0,
        }
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Bytes that are charged to a holder.
    pub fn held(&self, holder: Holder) -> usize {
        self.accounts.get(&holder).map_or(0, |a| a.held)
    }

    fn count(&self, kind: Kind) -> usize {
        self.accounts.values().filter(|a| a.kind == kind).count()
    }

    /// Opens an account for a connection. A caller's one is half-open until [`Budget::start`]; when
    /// there are too many of these, the oldest one gives way.
    ///
    /// # Errors
    /// [`Reason`] for which the connection is refused.
    pub fn open(&mut self, now: Timestamp, kind: Kind) -> Result<(Holder, Vec<Step>), Reason> {
        match kind {
            Kind::Caller if self.count(kind) >= self.limits.callers => return Err(Reason::Callers),
            Kind::Peer if self.count(kind) >= self.limits.peers => return Err(Reason::Peers),
            Kind::Caller | Kind::Peer | Kind::Outgoing => {}
        }
        let holder = Holder(self.next_holder);
        self.next_holder += 1;
        let account = Account {
            kind,
            held: 0,
            since: now,
            is_starting: kind == Kind::Caller,
            is_giving_way: false,
        };
        self.accounts.insert(holder, account);
        let mut steps = Vec::new();
        let is_half_open = |a: &Account| a.is_starting && !a.is_giving_way;
        let starts = self.accounts.values().filter(|a| is_half_open(a)).count();
        if starts > self.limits.starts {
            // Holders are numbered in the order of their start.
            let oldest = self.accounts.iter_mut().find(|(_, a)| is_half_open(a));
            if let Some((holder, account)) = oldest {
                account.is_giving_way = true;
                steps.push(Step::GiveWay(*holder, Reason::Starts));
            }
        }
        Ok((holder, steps))
    }

    /// Records a caller's complete first line.
    pub fn start(&mut self, holder: Holder) {
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.is_starting = false;
        }
    }

    /// Charges bytes before they are held; the grant may come with a later step.
    pub fn charge(&mut self, now: Timestamp, holder: Holder, bytes: usize) -> Vec<Step> {
        let Some(account) = self.accounts.get_mut(&holder) else {
            return Vec::new();
        };
        if account.held == 0 {
            account.since = now;
        }
        if account.held.saturating_add(bytes) > self.limits.bytes {
            account.is_giving_way = true;
            return vec![Step::GiveWay(holder, Reason::TooLarge)];
        }
        self.waiting.push_back((holder, bytes));
        self.settle(now)
    }

    /// Charges bytes that are held already, since another connection has released them.
    pub fn hold(&mut self, now: Timestamp, holder: Holder, bytes: usize) -> Vec<Step> {
        let Some(account) = self.accounts.get_mut(&holder) else {
            return Vec::new();
        };
        if account.held == 0 {
            account.since = now;
        }
        account.held += bytes;
        self.used += bytes;
        self.settle(now)
    }

    /// Releases bytes, which is progress of the holder.
    pub fn release(&mut self, now: Timestamp, holder: Holder, bytes: usize) -> Vec<Step> {
        let Some(account) = self.accounts.get_mut(&holder) else {
            return Vec::new();
        };
        let bytes = bytes.min(account.held);
        account.held -= bytes;
        account.since = now;
        self.used -= bytes;
        let mut steps = Vec::new();
        if account.held == 0 && account.is_giving_way && !account.is_starting {
            account.is_giving_way = false;
            steps.push(Step::Stay(holder));
        }
        steps.extend(self.settle(now));
        steps
    }

    /// Closes an account and releases what it holds.
    pub fn close(&mut self, now: Timestamp, holder: Holder) -> Vec<Step> {
        if let Some(account) = self.accounts.remove(&holder) {
            self.used -= account.held;
            self.waiting.retain(|(h, _)| *h != holder);
        }
        self.settle(now)
    }

    /// When a holder may have to give way for a waiting charge.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.waiting.front()?;
        let stalls = self.accounts.values().filter(|a| is_candidate(a));
        stalls.map(|a| a.since.after(MIN_STALL)).min()
    }

    /// Grants waiting charges in order, and chooses who gives way for the first that doesn't fit.
    pub fn settle(&mut self, now: Timestamp) -> Vec<Step> {
        let mut steps = Vec::new();
        while let Some((holder, wanted)) = self.waiting.front().copied() {
            let Some(account) = self.accounts.get_mut(&holder) else {
                self.waiting.pop_front();
                continue;
            };
            if self.used.saturating_add(wanted) > self.limits.bytes {
                self.choose(now, wanted, &mut steps);
                break;
            }
            account.held += wanted;
            self.used += wanted;
            self.waiting.pop_front();
            steps.push(Step::Grant(holder));
        }
        steps
    }

    /// Lets holders give way until `wanted` bytes are free or on their way.
    fn choose(&mut self, now: Timestamp, wanted: usize, steps: &mut Vec<Step>) {
        let leaving = self.accounts.values().filter(|a| a.is_giving_way);
        let leaving: usize = leaving.map(|a| a.held).sum();
        let mut left = self.used - leaving;
        while left.saturating_add(wanted) > self.limits.bytes {
            let stalled = self
                .accounts
                .iter_mut()
                .filter(|(_, a)| is_candidate(a) && now.since(a.since) >= MIN_STALL);
            let worst = stalled.max_by_key(|(_, a)| {
                now.since(a.since)
                    .as_micros()
                    .saturating_mul(a.held as u128)
            });
            let Some((holder, account)) = worst else {
                return;
            };
            account.is_giving_way = true;
            left -= account.held;
            steps.push(Step::GiveWay(*holder, Reason::Memory));
        }
    }
}

fn is_candidate(account: &Account) -> bool {
    account.held > 0 && !account.is_giving_way
}
