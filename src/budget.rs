//! Retry budget: retries as a share of first attempts.
//!
//! Without it, a service that slows down gets more requests the slower it is,
//! and does not recover after the cause has gone. The budget bounds the added
//! load to a fixed share whatever the servers do.

/// Retries that may be saved up for a burst.
const MOST_SAVED: u64 = 10;

/// Hundredths of a retry, the unit of account.
const ONE_RETRY: u64 = 100;

/// Account of retries for one service at one worker.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MOST_SAVED * ONE_RETRY,
        }
    }
}

impl RetryBudget {
    /// Pays in for a first attempt.
    pub fn deposit(&mut self, percent: u32) {
        let most = MOST_SAVED * ONE_RETRY;
        self.saved = (self.saved + u64::from(percent)).min(most);
    }

    /// Takes out one retry if there is one.
    pub fn withdraw(&mut self) -> bool {
        let Some(rest) = self.saved.checked_sub(ONE_RETRY) else {
            return false;
        };
        self.saved = rest;
        true
    }
}
