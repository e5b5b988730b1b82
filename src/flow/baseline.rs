//! What answers of a service usually are: how long they take, and how large.

use std::time::Duration;

/// Part of a new sample in the means. One server in ten that fails at once moves
/// them by a tenth.
const SMOOTHING: f64 = 1.0 / 32.0;

/// Samples before the means say anything.
const ENOUGH: u32 = 16;

/// An answer is hollow when it takes less than this part of the usual time and has
/// less than this part of the usual size. Work of 40 ms with a spread of a half
/// takes less than a quarter of that once in 400 times.
const HOLLOW_TIME: f64 = 0.25;
const HOLLOW_SIZE: f64 = 0.5;

/// Mean deviations beyond the mean that a request may stay open before it counts
/// as stalled. With queues half full, one in a thousand goes beyond.
const DEVIATIONS: f64 = 8.0;

/// Bounds of that time. The least covers a process that got no processor for two
/// tenths of a second; the greatest is half of the longest deadline known.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);
const MOST_PATIENCE: Duration = Duration::from_secs(2);

/// Patience before anything was measured.
const FIRST_PATIENCE: Duration = Duration::from_secs(1);

/// Means of a service's answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    samples: u32,
    seconds: f64,
    deviation: f64,
    bytes: f64,
}

impl Usual {
    /// Takes in an answer; says whether it is hollow.
    pub(crate) fn sample(&mut self, taken: Duration, bytes: u32) -> bool {
        let seconds = taken.as_secs_f64();
        let bytes = f64::from(bytes);
        let is_premature = self.samples >= ENOUGH
            && seconds < self.seconds * HOLLOW_TIME
            && bytes < self.bytes * HOLLOW_SIZE;
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh alike.
        let part = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.deviation += ((seconds - self.seconds).abs() - self.deviation) * part;
        self.seconds += (seconds - self.seconds) * part;
        self.bytes += (bytes - self.bytes) * part;
        is_premature
    }

    /// How long a request may stay open before it counts as stalled.
    pub(crate) fn patience(&self) -> Duration {
        if self.samples < ENOUGH {
            return FIRST_PATIENCE;
        }
        let seconds = self.seconds + DEVIATIONS * self.deviation;
        let patience = Duration::try_from_secs_f64(seconds).unwrap_or(MOST_PATIENCE);
        patience.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }
}
