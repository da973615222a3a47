//! Guaranteed shares of service: the most urgent rank goes first, but each lower rank
//! gets at least its share of the endpoint's time while it has work.

use cardamomhold_core::rank;

/// Greatest service that a rank is owed or has had in advance, in microseconds.
///
/// What a rank got while the others were quiet counts against its guarantee for this
/// long, so that a flood of a lower rank takes nothing from the urgent one.
const MEMORY_US: i64 = 1_000_000;

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
    pub fn charge(&mut self, served: rank::Rank, cost_us: i64, has_work: [bool; 3]) {
        for rank in rank::Rank::ALL {
            let at = rank.index();
            let takes_part = rank == served || has_work[at];
            if !takes_part {
                continue;
            }
            self.owed[at] += cost_us * i64::from(self.percent[at]) / PERCENT;
            if rank == served {
                self.owed[at] -= cost_us;
            }
            self.owed[at] = self.owed[at].clamp(-MEMORY_US, MEMORY_US);
        }
    }

    /// A rank without work saves nothing for later.
    pub fn settle(&mut self, has_work: [bool; 3]) {
        for (owed, has_work) in self.owed.iter_mut().zip(has_work) {
            if !has_work {
                *owed = (*owed).min(0);
            }
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
            if self.owed[at] >= cost_us[at] as i64 {
                return Some(rank);
            }
        }
        Some(first)
    }
}
