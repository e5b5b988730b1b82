//! Typical response time and size of a service's answers.

use std::time::Duration;

/// Weight of a new sample in the means. One server in ten that fails at once moves the means
/// by a tenth.
const SMOOTHING_WEIGHT: f64 = 1.0 / 32.0;

/// Samples that are required before the means are used.
const MIN_SAMPLES: u32 = 16;

/// An answer is premature if its response time and its size are below these fractions of the
/// means. A response time of 40 ms with a spread of a half is below a quarter of the mean
/// once in 400 requests.
const PREMATURE_TIME: f64 = 0.25;
const PREMATURE_SIZE: f64 = 0.5;

/// Mean deviations above the mean after which a request counts as stalled. With half-full
/// queues, one request in a thousand takes longer.
const DEVIATIONS: f64 = 8.0;

/// Bounds of the stall timeout. The minimum covers a process that is not scheduled for
/// 0.2 s; the maximum is half of the longest known request deadline.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Stall timeout before there are enough samples.
const INITIAL_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Exponential means of a service's answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseBaseline {
    samples: u32,
    seconds: f64,
    deviation: f64,
    bytes: f64,
}

impl ResponseBaseline {
    /// Adds the sample of an answer. Returns whether the answer is premature.
    pub(crate) fn sample(&mut self, duration: Duration, bytes: u32) -> bool {
        let seconds = duration.as_secs_f64();
        let bytes = f64::from(bytes);
        let is_premature = self.samples >= MIN_SAMPLES
            && seconds < self.seconds * PREMATURE_TIME
            && bytes < self.bytes * PREMATURE_SIZE;
        self.samples = self.samples.saturating_add(1);
        // The first samples are averaged with equal weights.
        let weight = SMOOTHING_WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation += ((seconds - self.seconds).abs() - self.deviation) * weight;
        self.seconds += (seconds - self.seconds) * weight;
        self.bytes += (bytes - self.bytes) * weight;
        is_premature
    }

    /// Mean response time; `None` before the first answer.
    pub(crate) fn mean(&self) -> Option<Duration> {
        let seconds = (self.samples > 0).then_some(self.seconds)?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// How long a request may stay open before it counts as stalled.
    pub(crate) fn stall_timeout(&self) -> Duration {
        if self.samples < MIN_SAMPLES {
            return INITIAL_STALL_TIMEOUT;
        }
        let seconds = self.seconds + DEVIATIONS * self.deviation;
        let timeout = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_STALL_TIMEOUT);
        timeout.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
    }
}
