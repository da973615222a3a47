//! How many of a member's connections one instance may hold.
//!
//! ```
//! use cardamomhold_pool::share;
//!
//! assert_eq!(share::Share::of(47, 15), share::Share::Owned(3));
//! assert_eq!(share::Share::of(73, 146), share::Share::Contended);
//! ```

use std::time;

/// Connections of each member that are left for orders and for restarted instances.
const SPARE: usize = 2;

/// Connections to a contended member that an instance lends at once.
const CONTENDED_CAP: usize = 4;

/// An instance's part of each member's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// So many are the instance's own, and stay open.
    Owned(usize),
    /// There are fewer connections than instances: each opens one when it has work, and
    /// closes it soon after.
    Contended,
}

impl Share {
    /// The share of one of `instances` in the `connections` that a member takes.
    pub fn of(connections: usize, instances: usize) -> Self {
        if instances == 0 {
            // Until the instances are known, one connection each stays within any limit.
            return Self::Owned(1);
        }
        match connections.saturating_sub(SPARE) / instances {
            0 => Self::Contended,
            own => Self::Owned(own),
        }
    }

    /// Connections that may be lent at once.
    pub fn cap(self) -> usize {
        match self {
            Self::Owned(own) => own,
            Self::Contended => CONTENDED_CAP,
        }
    }
}

/// How long an idle connection to a contended member stays open. The time shrinks fast
/// when the member has none left, and grows slowly otherwise, so that the instances settle
/// where nearly all connections are in use.
#[derive(Debug, Clone, Copy)]
pub struct Keep {
    time: time::Duration,
    longest: time::Duration,
}

impl Keep {
    /// Longest time at a member of the instance's zone.
    const NEAR: time::Duration = time::Duration::from_secs(10);

    /// Longest time at a member of another zone.
    const FAR: time::Duration = time::Duration::from_secs(2);

    /// Part of the longest time with which an instance begins.
    const FIRST: u32 = 8;

    /// Shortest time; a transaction's statements follow each other sooner.
    const SHORTEST: time::Duration = time::Duration::from_millis(20);

    /// Growth for each connection that was opened.
    const GROWTH: f64 = 1.02;

    /// The time with which an instance begins.
    pub fn new(is_near: bool) -> Self {
        let longest = if is_near { Self::NEAR } else { Self::FAR };
        Self {
            time: longest / Self::FIRST,
            longest,
        }
    }

    /// The time now.
    pub fn time(&self) -> time::Duration {
        self.time
    }

    /// Takes note that a connection was opened.
    pub fn opened(&mut self) {
        self.time = self.time.mul_f64(Self::GROWTH).min(self.longest);
    }

    /// Takes note that the member had no connection left.
    pub fn crowded(&mut self) {
        self.time = (self.time / 2).max(Self::SHORTEST);
    }
}
