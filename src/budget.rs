//! Retry budget: retries as a share of first attempts.
//!
//! Without a budget, a service that slows down receives more retries the slower it
//! gets, and stays overloaded after the cause is gone. The budget limits the extra
//! load to a fixed share of the first attempts, regardless of how the servers behave.

/// Maximum number of retries that can accumulate for a burst.
const MAX_SAVED: u64 = 10;

/// Cost of one retry; the budget is kept in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// Retry budget of one service in one worker.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry for a first attempt.
    pub fn deposit(&mut self, percent: u32) {
        let max = MAX_SAVED * RETRY_COST;
        self.saved = (self.saved + u64::from(percent)).min(max);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.saved.checked_sub(RETRY_COST) else {
            return false;
        };
        self.saved = remaining;
        true
    }
}
