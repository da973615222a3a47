//! The budget of retries: a part of the successes, so that retries never make a flood.

/// Successes that earn one retry.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Greatest number of retries in store.
const MOST_RETRIES: u32 = 100;

/// Retries in store at the start.
const FIRST_RETRIES: u32 = 50;

/// A bucket of retries.
#[derive(Debug, Clone)]
pub struct Budget {
    tenths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tenths: FIRST_RETRIES * SUCCESSES_PER_RETRY,
        }
    }
}

impl Budget {
    /// Takes note of a request that succeeded.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(MOST_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Spends one retry; false when none is left.
    pub fn spend(&mut self) -> bool {
        match self.tenths.checked_sub(SUCCESSES_PER_RETRY) {
            Some(left) => {
                self.tenths = left;
                true
            }
            None => false,
        }
    }
}
