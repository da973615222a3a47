//! Guaranteed shares of service: the most urgent rank is served first, but each lower rank
//! with waiting jobs gets at least its share of the endpoint's time.

use cardamomhold_core::rank;

/// Maximum service that a rank is owed or has received in advance, in microseconds.
///
/// Service that a flooding rank received while the other ranks were idle counts against its
/// guarantee up to this amount, so that it then takes no service from the urgent rank.
const MAX_OWED_US: i64 = 1_000_000;

/// Service that a rank must be owed before it is served ahead of a more urgent one, in
/// microseconds.
///
/// A short burst of urgent jobs is thus served without interruption; in a flood the owed
/// service stays constant, so that the share is kept.
const MIN_OWED_US: i64 = 40_000;

const PERCENT: i64 = 100;

/// The service that each rank is owed.
#[derive(Debug)]
pub struct Shares {
    percent: [u32; 3],
    /// Owed service in microseconds; negative for service received in advance.
    owed_us: [i64; 3],
}

impl Shares {
    /// Shares in percent, the most urgent rank first.
    pub fn new(percent: [u32; 3]) -> Self {
        Self {
            percent,
            owed_us: [0; 3],
        }
    }

    /// Sets new shares in percent, the most urgent rank first.
    pub fn set(&mut self, percent: [u32; 3]) {
        self.percent = percent;
    }

    /// Charges service to the rank `served`; a negative cost corrects an estimate.
    ///
    /// A rank without waiting jobs waits for no service, so its owed service is reset to zero.
    pub fn charge(&mut self, served: rank::Rank, cost_us: i64, has_waiting: [bool; 3]) {
        for rank in rank::Rank::ALL {
            let index = rank.index();
            if !has_waiting[index] {
                self.owed_us[index] = 0;
                continue;
            }
            self.owed_us[index] += cost_us * i64::from(self.percent[index]) / PERCENT;
            if rank == served {
                self.owed_us[index] -= cost_us;
            }
            self.owed_us[index] = self.owed_us[index].clamp(-MAX_OWED_US, MAX_OWED_US);
        }
    }

    /// The rank to serve next.
    pub fn pick(&self, has_waiting: [bool; 3], cost_us: [u64; 3]) -> Option<rank::Rank> {
        let first = rank::Rank::ALL
            .into_iter()
            .find(|r| has_waiting[r.index()])?;
        for rank in rank::Rank::ALL {
            let index = rank.index();
            if rank <= first || !has_waiting[index] {
                continue;
            }
            if self.owed_us[index] >= MIN_OWED_US.max(cost_us[index] as i64) {
                return Some(rank);
            }
        }
        Some(first)
    }
}
