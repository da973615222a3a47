//! How an instance comes to a member's connections, and how many it may hold.
//!
//! Where a member takes fewer connections than there are instances, a few owners in each
//! zone hold them and the other instances go through an owner. An instance that finds no
//! owner opens a connection for as long as it has work.
//!
//! ```
//! use cardamomhold_pool::share;
//!
//! assert_eq!(share::equal(47, 15), Some(3));
//! assert_eq!(share::equal(73, 146), None);
//! assert_eq!(share::owned(73, 6), 6);
//! ```

use std::time;

/// Connections of each member that are left for orders and for restarted instances.
const SPARE: usize = 2;

/// Part of a member's connections that its owners hold: as many again may still count for a
/// while after all owners have lost power.
const OWNED_PART: usize = 2;

/// Connections to a contended member that an instance lends at once.
const CONTENDED_CAP: usize = 4;

/// Pieces of work for one member that an instance sends through its owner at once.
const RELAYED_CAP: usize = 64;

/// An instance's part of a member's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// So many are the instance's own, and stay open.
    Owned(usize),
    /// Others own them; work goes through one of those.
    Relayed,
    /// No owner can be reached: connections are opened for work, and closed soon after.
    Contended,
}

impl Share {
    /// Connections that may be lent at once.
    pub fn cap(self) -> usize {
        match self {
            Self::Owned(own) => own,
            Self::Relayed => RELAYED_CAP,
            Self::Contended => CONTENDED_CAP,
        }
    }
}

/// Connections for each of `instances` out of those that a member takes; none when there are
/// too few for all.
pub fn equal(connections: usize, instances: usize) -> Option<usize> {
    let own = connections.saturating_sub(SPARE).checked_div(instances)?;
    Some(own).filter(|own| *own > 0)
}

/// Connections for each of `owners`.
pub fn owned(connections: usize, owners: usize) -> usize {
    (connections / OWNED_PART / owners.max(1)).max(1)
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
