//! Which idle connection is closed when another workspace needs one at the limit.

use std::cmp;
use std::time;

use cardamomhold_core::time::Timestamp;

use crate::connections::Connections;
use crate::connections::Idle;
use crate::connections::Key;
use crate::connections::Part;

/// Shortest time between two evictions of connections that their workspaces still use. Opening a
/// connection takes 12 ms of a slot, so evictions take at most half a slot.
const EVICTION_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Idle time from which a connection may be evicted for a workspace that has others itself.
const MIN_IDLE: time::Duration = time::Duration::from_millis(250);

/// Time for which a connection is kept for the statement that it was opened for.
const UNUSED_TIME: time::Duration = time::Duration::from_millis(1_000);

impl<L> Idle<L> {
    /// When the connection may be evicted.
    fn evictable_at(&self) -> Timestamp {
        match self.is_unused {
            true => self.since.after(UNUSED_TIME),
            false => self.since,
        }
    }
}

impl<L> Part<L> {
    /// The evictable connection that has been idle longest: its index and since when.
    fn oldest(&self, now: Timestamp) -> Option<(usize, Timestamp)> {
        let idle = self.idle.iter().enumerate();
        let evictable = idle.filter(|(_, i)| i.evictable_at() <= now);
        let oldest = evictable.min_by_key(|(_, i)| i.since);
        oldest.map(|(index, i)| (index, i.since))
    }

    /// Idle connections beyond the recent demand.
    fn surplus(&self, now: Timestamp) -> usize {
        let beyond = self.connections().saturating_sub(self.demand.get(now));
        beyond.min(self.idle.len())
    }
}

impl<L> Connections<L> {
    /// Removes the idle connection to close for one of the workspace `key`, with the workspace that
    /// loses it: of the workspace with the most beyond its recent demand, or else the one that has
    /// been idle longest.
    pub(super) fn evict(&mut self, now: Timestamp, key: &Key) -> Option<(Key, L)> {
        let victim = match self.surplus_victim(now, key) {
            Some(victim) => victim,
            None if now < self.next_eviction => return None,
            None => {
                let victim = self.used_victim(now, key)?;
                self.next_eviction = now.after(EVICTION_INTERVAL);
                victim
            }
        };
        let (owner, index) = victim;
        let part = self.parts.get_mut(&owner)?;
        let idle = part.idle.remove(index);
        Some((owner, idle.link))
    }

    fn surplus_victim(&self, now: Timestamp, key: &Key) -> Option<(Key, usize)> {
        let others = self.parts.iter().filter(|(other, _)| *other != key);
        let candidates = others.filter_map(|(other, part)| {
            let (index, since) = part.oldest(now)?;
            let surplus = part.surplus(now);
            (surplus > 0).then_some((surplus, cmp::Reverse(since), other, index))
        });
        let best = candidates.max_by_key(|(surplus, since, ..)| (*surplus, *since));
        best.map(|(_, _, other, index)| (other.clone(), index))
    }

    /// A connection that its workspace has used lately. The last one of a workspace is evicted only
    /// if there aren't enough for all.
    fn used_victim(&self, now: Timestamp, key: &Key) -> Option<(Key, usize)> {
        let has_own = self.parts.get(key).is_some_and(|p| p.connections() > 0);
        let is_demanding = |part: &&Part<L>| part.demand.get(now) > 0;
        let demanding = self.parts.values().filter(is_demanding).count();
        let is_enough = demanding <= self.limit(now, key);
        let others = self.parts.iter().filter(|(other, _)| *other != key);
        let candidates = others.filter_map(|(other, part)| {
            let (index, since) = part.oldest(now)?;
            let is_kept = is_enough && part.connections() == 1;
            let is_recent = has_own && now < since.after(MIN_IDLE);
            (!is_kept && !is_recent).then_some((since, other, index))
        });
        let oldest = candidates.min_by_key(|(since, ..)| *since);
        oldest.map(|(_, other, index)| (other.clone(), index))
    }

    /// When another connection may be evicted, if no connection is returned earlier.
    pub(super) fn eviction_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let idle = self.parts.values().flat_map(|p| &p.idle);
        let times = idle.flat_map(|i| [i.evictable_at(), i.since.after(MIN_IDLE)]);
        let ceiling_end = self.ceiling.map(|(_, until)| until);
        let times = times.chain([self.next_eviction]).chain(ceiling_end);
        times.filter(|at| *at > now).min()
    }
}
