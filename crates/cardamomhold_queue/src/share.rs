//! Guaranteed shares of service: the most urgent rank goes first, but each lower rank
//! gets at least its share of the endpoint's time while it has work.

use cardamomhold_core::rank;

/// Greatest service that a rank is owed or has had in advance, in microseconds.
///
/// What a flooding rank got while the others were quiet counts against its guarantee for
/// this long, so that it takes nothing from the urgent rank.
const MEMORY_US: i64 = 1_000_000;

/// Service that a rank is owed before it goes ahead of a more urgent one, in microseconds.
///
/// A short burst of urgent work is thus served in one go; in a flood the debt is constant,
/// so that the share of service stays.
const GRACE_US: i64 = 40_000;

const PERCENT: i64 = 100;

/// The service that each rank is owed.
#[derive(Debug)]
pub struct Shares {
    percent: [u32; 3],
    owed: [i64; 3],
}

impl Shares {
    /// Shares in percent, the most urgent rank first.
    pub fn new(percent: [u32; 3]) -> Self {
        Self {
            percent,
            owed: [0; 3],
        }
    }

    /// Takes new shares.
    pub fn set(&mut self, percent: [u32; 3]) {
        self.percent = percent;
    }

    /// Takes note that `served` got service; a negative cost corrects an estimate.
    ///
    /// Only ranks with work take part: service that nobody waited for is no debt, and a
    /// rank saves nothing up while it has no work.
    pub fn charge(&mut self, served: rank::Rank, cost_us: i64, has_work: [bool; 3]) {
        for rank in rank::Rank::ALL {
            let at = rank.index();
            if !has_work[at] {
                self.owed[at] = 0;
                continue;
            }
            self.owed[at] += cost_us * i64::from(self.percent[at]) / PERCENT;
            if rank == served {
                self.owed[at] -= cost_us;
            }
            self.owed[at] = self.owed[at].clamp(-MEMORY_US, MEMORY_US);
        }
    }

    /// The rank that goes next.
    pub fn pick(&self, has_work: [bool; 3], cost_us: [u64; 3]) -> Option<rank::Rank> {
        let first = rank::Rank::ALL.into_iter().find(|r| has_work[r.index()])?;
        for rank in rank::Rank::ALL {
            let at = rank.index();
            if rank <= first || !has_work[at] {
                continue;
            }
            if self.owed[at] >= GRACE_US.max(cost_us[at] as i64) {
                return Some(rank);
            }
        }
        Some(first)
    }
}
