//! Streaming estimate of a quantile of response times, in constant memory.

/// Largest relative step of the estimate per sample.
const STEP: f64 = 0.05;

/// Quantile of a stream of samples: each sample above the estimate raises it a little, and each one
/// below lowers it, so that it settles where the target fraction of samples is below.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuantileEstimator {
    /// Target fraction of the samples below the estimate.
    fraction: f64,
    value: Option<f64>,
    samples: u32,
}

impl QuantileEstimator {
    /// Starts without samples; `fraction` is in `0.0..1.0`.
    pub(super) fn new(fraction: f64) -> Self {
        Self { fraction, value: None, samples: 0 }
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, sample: f64) {
        let value = self.value.unwrap_or(sample);
        let fraction = if sample < value { self.fraction - 1.0 } else { self.fraction };
        self.value = Some(value * (1.0 + fraction * STEP));
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds a sample of unknown value that is above the estimate.
    pub(super) fn add_exceeding(&mut self) {
        self.value = self.value.map(|value| value * (1.0 + self.fraction * STEP));
    }

    /// Returns the estimate, once there was a sample.
    pub(super) fn value(&self) -> Option<f64> {
        self.value
    }

    /// Returns the number of samples.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }
}
