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

/// Waiting jobs to serve next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Their rank.
    pub rank: rank::Rank,
    /// Whether their target has been missed.
    pub is_late: bool,
}

const fn pick(rank: rank::Rank, is_late: bool) -> Pick {
    Pick { rank, is_late }
}

/// Order in which waiting jobs are served.
///
/// A late job brings little, so it doesn't displace a job of the next rank that is on time.
const ORDER: [Pick; 6] = [
    pick(rank::Rank::Urgent, false),
    pick(rank::Rank::Normal, false),
    pick(rank::Rank::Urgent, true),
    pick(rank::Rank::Bulk, false),
    pick(rank::Rank::Normal, true),
    pick(rank::Rank::Bulk, true),
];

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

    /// The rank to serve next, and whether to serve one of its late jobs.
    ///
    /// Jobs are served in the order of [`ORDER`], apart from the guarantees: a rank that is
    /// owed enough service goes ahead of a more urgent one.
    pub fn pick(&self, on_time: [bool; 3], late: [bool; 3], cost_us: [u64; 3]) -> Option<Pick> {
        let has_waiting = |pick: &&Pick| match pick.is_late {
            true => late[pick.rank.index()],
            false => on_time[pick.rank.index()],
        };
        let first = *ORDER.iter().find(has_waiting)?;
        for rank in rank::Rank::ALL {
            let index = rank.index();
            let is_waiting = on_time[index] || late[index];
            if rank <= first.rank || !is_waiting {
                continue;
            }
            if self.owed_us[index] >= MIN_OWED_US.max(cost_us[index] as i64) {
                let is_late = !on_time[index];
                return Some(Pick { rank, is_late });
            }
        }
        Some(first)
    }
}
