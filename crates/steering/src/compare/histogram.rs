//! Latency histogram with bins of equal ratio.

/// Number of bins: 8 for each doubling, from 64 us to 67 s; the last one also has all longer
/// latencies.
pub const BINS: usize = 160;

/// Bins for each doubling of the latency, so that a bin is 9 % wide.
const BINS_PER_DOUBLING: f64 = 8.0;

/// Upper end of the first bin, in microseconds.
const FIRST_BIN_US: f64 = 64.0;

/// Number of latencies by bin.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LatencyHistogram {
    counts: Vec<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: vec![0; BINS] }
    }
}

impl LatencyHistogram {
    /// Creates a histogram from counts by bin; missing bins are empty, surplus ones are ignored.
    pub fn from_counts(counts: &[u64]) -> Self {
        let mut histogram = Self::default();
        for (own, count) in histogram.counts.iter_mut().zip(counts) {
            *own = *count;
        }
        histogram
    }

    /// Returns the bin of a latency.
    pub fn bin(latency_us: f64) -> usize {
        let doublings = (latency_us.max(FIRST_BIN_US) / FIRST_BIN_US).log2();
        ((doublings * BINS_PER_DOUBLING).ceil() as usize).min(BINS - 1)
    }

    /// Counts a latency.
    pub fn record(&mut self, latency_us: f64) {
        self.counts[Self::bin(latency_us)] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        self.counts.iter_mut().zip(&other.counts).for_each(|(own, count)| *own += count);
    }

    /// Returns the latencies recorded since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let pairs = self.counts.iter().zip(&earlier.counts);
        Self { counts: pairs.map(|(now, then)| now.saturating_sub(*then)).collect() }
    }

    /// Returns the counts by bin.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Returns the number of latencies.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Returns a quantile in milliseconds, interpolated logarithmically within its bin; `None` if
    /// the histogram is empty.
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let rank = quantile * self.total() as f64;
        let mut below = 0.0;
        for (bin, count) in self.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            let count = *count as f64;
            if below + count >= rank {
                let fraction = ((rank - below) / count).clamp(0.0, 1.0);
                return Some(edge_ms(bin as f64 - 1.0 + fraction));
            }
            below += count;
        }
        None
    }
}

/// Returns the latency at a position among the bins; an integral position is the upper end of that
/// bin.
fn edge_ms(position: f64) -> f64 {
    FIRST_BIN_US * (position / BINS_PER_DOUBLING).exp2() / 1_000.0
}
