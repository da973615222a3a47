//! Retry budget: allows retries only as a fraction of the successful requests, so that
//! retries can't overload the endpoints.

/// Successful requests that pay for one retry.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Maximum number of saved retries.
const MAX_RETRIES: u32 = 100;

/// Number of saved retries at the start.
const INITIAL_RETRIES: u32 = 50;

/// A token bucket of retries.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Saved successes; [`SUCCESSES_PER_RETRY`] of them pay for one retry.
    credit: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            credit: INITIAL_RETRIES * SUCCESSES_PER_RETRY,
        }
    }
}

impl Budget {
    /// Adds the credit of one successful request.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + 1).min(MAX_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        match self.credit.checked_sub(SUCCESSES_PER_RETRY) {
            Some(remaining) => {
                self.credit = remaining;
                true
            }
            None => false,
        }
    }
}
