//! The promotion lock: a record in the store, held by one instance at a time, whose holder may
//! promote members. Its fencing token increases with each new holder.
//!
//! The platform doesn't check the token, so the instances themselves keep the promotions in the
//! order of their tokens. A holder may send one only for a limited time after it began a read of
//! the store that shows its lock. A new holder waits until that time has passed for the former
//! one, unless the former one tells it that it sends nothing any more.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::lease;

/// Time since the holder was last seen alive after which another instance may acquire the lock.
pub const HOLDER_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Additional delay before an instance acquires the lock, for each instance ahead of it among
/// the holder's possible successors.
pub const RANK_DELAY: time::Duration = time::Duration::from_millis(300);

/// Time without progress of a change of primary after which another instance acquires the lock
/// although its holder is alive.
pub const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

/// How long the holder may send promotions after it began a read that shows its lock.
pub const RIGHT_DURATION: time::Duration = time::Duration::from_millis(500);

/// Time after which a promotion that was sent has arrived or is discarded.
pub const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Longest pause of a process between its look at the clock and the sending.
const SEND_MARGIN: time::Duration = time::Duration::from_millis(50);

/// Time after which nothing that a former holder has sent can arrive any more.
pub const TAKEOVER_DELAY: time::Duration = RIGHT_DURATION
    .saturating_add(DELIVERY_TIMEOUT)
    .saturating_add(SEND_MARGIN)
    .saturating_add(lease::MAX_CLOCK_DRIFT);

/// Minimum time between promotions of two holders that are both alive.
pub const TURN_INTERVAL: time::Duration = time::Duration::from_millis(3_000);

/// The lock as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromotionLock {
    /// Instance that holds the lock.
    pub holder: name::InstanceName,
    /// Fencing token; increases when the holder changes.
    pub token: u64,
}

impl PromotionLock {
    /// Returns the lock after `holder` has acquired it.
    pub fn acquired(before: Option<&PromotionLock>, holder: &name::InstanceName) -> Self {
        Self {
            holder: holder.clone(),
            token: before.map_or(1, |b| b.token + 1),
        }
    }
}

/// Why an instance may not send a promotion now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// Another instance has acquired the lock.
    Superseded,
    /// Promotions of a former holder may still arrive.
    Unsettled,
}

/// Statement of a former holder that it sends no promotions any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Release {
    /// Token of the lock that has replaced its own.
    pub token: u64,
    /// Time until promotions of the holders before it can't arrive any more, in microseconds.
    pub remaining_us: u64,
    /// Time since its last promotion, in microseconds; none if it has sent none.
    pub idle_us: Option<u64>,
}

/// Signs of life of the lock's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Signs {
    /// When the holder last gave a sign of life.
    pub seen: Option<Timestamp>,
    /// When this instance learned of the holder.
    pub learned: Option<Timestamp>,
}

impl Signs {
    /// Whether an instance may acquire the lock now because its holder does not act.
    ///
    /// `needed_since` is when the instance first found that a promotion is needed, and `rank` the
    /// number of instances ahead of it among the holder's possible successors. Both timeouts begin
    /// anew with each holder, so that the lock isn't taken from one that has only just acquired it.
    pub fn may_acquire(self, now: Timestamp, needed_since: Timestamp, rank: u32) -> bool {
        let since = |sign: Option<Timestamp>| sign.map_or(needed_since, |s| s.max(needed_since));
        let delay = RANK_DELAY * rank;
        let is_silent = now >= since(self.seen).after(HOLDER_TIMEOUT + delay);
        is_silent || now >= since(self.learned).after(STALL_TIMEOUT + delay)
    }
}

/// What an instance knows about the lock, and whether it may send promotions itself.
#[derive(Debug)]
pub struct Tenure {
    own: name::InstanceName,
    lock: Option<PromotionLock>,
    /// When this instance learned of the lock's holder.
    learned: Timestamp,
    /// When the holder last gave a sign of life.
    seen: Option<Timestamp>,
    /// From when on no promotion of an earlier holder can arrive.
    settled: Timestamp,
    /// From when on no promotion of a holder before the former one can arrive, if this instance is
    /// the former holder.
    prior: Timestamp,
    /// The holder before this instance, until it has released the lock.
    former: Option<name::InstanceName>,
    /// Promotions of this instance in progress.
    calls: usize,
    /// When the last promotion of this instance ended.
    last_call: Option<Timestamp>,
}

impl Tenure {
    /// Creates the state of the instance `own`, which knows of no lock yet. An earlier process of
    /// the same instance may have acquired one a moment before `now`.
    pub fn new(now: Timestamp, own: &name::InstanceName) -> Self {
        let settled = now.after(TAKEOVER_DELAY);
        Self {
            own: own.clone(),
            lock: None,
            learned: now,
            seen: None,
            settled,
            prior: settled,
            former: None,
            calls: 0,
            last_call: None,
        }
    }

    /// The newest known lock.
    pub fn lock(&self) -> Option<&PromotionLock> {
        self.lock.as_ref()
    }

    /// The holder of the newest known lock.
    pub fn holder(&self) -> Option<&name::InstanceName> {
        self.lock.as_ref().map(|l| &l.holder)
    }

    /// Whether this instance holds the lock, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.holder() == Some(&self.own)
    }

    /// Signs of life of the holder.
    pub fn signs(&self) -> Signs {
        Signs {
            seen: self.seen,
            learned: self.lock.as_ref().map(|_| self.learned),
        }
    }

    /// Stores a lock if it is newer than the known one; returns whether it was. A new holder has
    /// just been alive.
    pub fn learn(&mut self, now: Timestamp, lock: &PromotionLock) -> bool {
        if self.lock.as_ref().is_some_and(|l| l.token >= lock.token) {
            return false;
        }
        let known = self.lock.as_ref().filter(|l| l.holder == self.own);
        let is_next = known.is_some_and(|l| l.token + 1 == lock.token);
        let settled = now.after(TAKEOVER_DELAY);
        // An instance that never learned that it held the lock in between can't tell what the
        // holder before it has sent.
        self.prior = if is_next { self.settled } else { settled };
        self.settled = settled;
        self.lock = Some(lock.clone());
        self.learned = now;
        self.seen = Some(now);
        self.former = None;
        true
    }

    /// Records that this instance has acquired the lock from `former`.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        lock: &PromotionLock,
        former: Option<&name::InstanceName>,
    ) {
        if self.learn(now, lock) {
            self.former = former.cloned();
        }
    }

    /// The former holder, as long as it is worth asking for the lock's release.
    pub fn unreleased(&self, now: Timestamp) -> Option<&name::InstanceName> {
        self.former.as_ref().filter(|_| now < self.settled)
    }

    /// Records a sign of life of an instance.
    pub fn record_life(&mut self, now: Timestamp, instance: &name::InstanceName) {
        if self.holder() == Some(instance) {
            self.seen = Some(now);
        }
    }

    /// Begins a promotion with a token; [`Tenure::end_call`] has to follow.
    ///
    /// # Errors
    /// [`Denial`]
    pub fn begin_call(&mut self, now: Timestamp, token: u64) -> Result<(), Denial> {
        let is_current = self.lock.as_ref().is_some_and(|l| l.token == token);
        if !is_current || !self.is_holder() {
            return Err(Denial::Superseded);
        }
        if now < self.settled {
            return Err(Denial::Unsettled);
        }
        self.calls += 1;
        Ok(())
    }

    /// Ends a promotion, whether or not it was sent.
    pub fn end_call(&mut self, now: Timestamp) {
        self.calls = self.calls.saturating_sub(1);
        self.last_call = Some(now);
    }

    /// Returns the statement for the new holder that this instance, which held the lock before,
    /// sends nothing any more; none while a promotion is in progress.
    pub fn release(&self, now: Timestamp, token: u64) -> Option<Release> {
        let is_current = self.lock.as_ref().is_some_and(|l| l.token == token);
        if !is_current || self.is_holder() || self.calls > 0 {
            return None;
        }
        Some(Release {
            token,
            remaining_us: self.prior.since(now).as_micros() as u64,
            idle_us: self.last_call.map(|at| now.since(at).as_micros() as u64),
        })
    }

    /// Records the release of the lock by its former holder. Both are alive, so that their
    /// promotions are kept apart by [`TURN_INTERVAL`].
    pub fn record_release(
        &mut self,
        now: Timestamp,
        former: &name::InstanceName,
        release: &Release,
    ) {
        let is_current = self.lock.as_ref().is_some_and(|l| l.token == release.token);
        if !is_current || self.former.as_ref() != Some(former) {
            return;
        }
        let idle = release.idle_us.map(time::Duration::from_micros);
        let turn = idle.map_or(time::Duration::ZERO, |idle| {
            TURN_INTERVAL.saturating_sub(idle)
        });
        let remaining = time::Duration::from_micros(release.remaining_us);
        self.settled = now.after(turn.max(remaining));
        self.former = None;
    }
}
