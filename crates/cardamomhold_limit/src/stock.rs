//! The tokens of one workspace at one instance, and the operations that wait for one.

use std::collections;
use std::time;

use cardamomhold_core::time::Timestamp;

use crate::allowance;

/// Time over which the rate of operations is averaged.
const RATE_TIME: time::Duration = time::Duration::from_millis(1_000);

/// An operation that waits for a token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) id: u64,
    /// When it is refused.
    pub(crate) until: Timestamp,
}

/// Tokens of a workspace, with its waiting operations.
#[derive(Debug, Default)]
pub(crate) struct Stock {
    /// Tokens by the end of their term.
    lots: collections::BTreeMap<Timestamp, u32>,
    pub(crate) waiting: collections::VecDeque<Waiter>,
    /// Until when operations are refused, as the allocator has none for them.
    pub(crate) empty_until: Timestamp,
    /// Operations that were refused since one last found a token.
    pub(crate) refused: u32,
    /// Operations a second, at the time `counted`.
    rate: f64,
    counted: Timestamp,
}

impl Stock {
    pub(crate) fn record_operation(&mut self, now: Timestamp) {
        self.rate = self.rate(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.counted = now;
    }

    /// Operations a second of the last time.
    fn rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.counted).as_secs_f64();
        self.rate * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    /// Adds tokens that may be used until a time.
    pub(crate) fn add(&mut self, now: Timestamp, until: Timestamp, count: u32) {
        if until > now && count > 0 {
            *self.lots.entry(until).or_default() += count;
        }
    }

    /// Takes the token that expires first.
    pub(crate) fn take(&mut self, now: Timestamp) -> Option<allowance::Permit> {
        self.expire(now);
        let mut lot = self.lots.first_entry()?;
        let until = *lot.key();
        *lot.get_mut() -= 1;
        if *lot.get() == 0 {
            lot.remove();
        }
        Some(allowance::Permit { until })
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(lot) = self.lots.first_entry() {
            if *lot.key() > now {
                return;
            }
            lot.remove();
        }
    }

    pub(crate) fn tokens(&mut self, now: Timestamp) -> u32 {
        self.expire(now);
        self.lots.values().sum()
    }

    /// Operations that are expected within a time: those that come with near certainty, at two
    /// standard deviations below the mean, and those that come on average.
    pub(crate) fn expected(&self, now: Timestamp, span: time::Duration) -> (u32, u32) {
        let mean = self.rate(now) * span.as_secs_f64();
        let likely = (mean - 2.0 * mean.sqrt()).max(0.0);
        (likely as u32, mean.round() as u32)
    }

    /// Whether nothing is left that matters later.
    pub(crate) fn is_idle(&mut self, now: Timestamp) -> bool {
        self.expire(now);
        let is_empty = self.lots.is_empty() && self.waiting.is_empty();
        is_empty && now >= self.empty_until && self.rate(now) < 0.05
    }
}
