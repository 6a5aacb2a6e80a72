//! A quantile of answer times that follows what is seen, in one number.

/// Part by which one sample moves the quantile.
const STEP: f64 = 0.05;

/// The quantile of a stream of samples: each sample above it raises it a little, each one below
/// lowers it, so that it rests where the wanted part of the samples is below.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quantile {
    /// The wanted part of the samples below.
    part: f64,
    value: Option<f64>,
    samples: u32,
}

impl Quantile {
    /// Begins without a sample; `part` is in `0.0..1.0`.
    pub(super) fn new(part: f64) -> Self {
        Self { part, value: None, samples: 0 }
    }

    /// Takes over a sample.
    pub(super) fn add(&mut self, sample: f64) {
        let value = self.value.unwrap_or(sample);
        let part = if sample < value { self.part - 1.0 } else { self.part };
        self.value = Some(value * (1.0 + part * STEP));
        self.samples = self.samples.saturating_add(1);
    }

    /// Takes over that a sample is above the quantile, whatever it will be.
    pub(super) fn exceeded(&mut self) {
        self.value = self.value.map(|value| value * (1.0 + self.part * STEP));
    }

    /// The quantile, once there was a sample.
    pub(super) fn value(&self) -> Option<f64> {
        self.value
    }

    /// The number of samples.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }
}
