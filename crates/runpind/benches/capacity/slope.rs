//! Linear regression.

/// The line `constant + per_unit * size`, fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slope {
    pub(crate) constant: f64,
    pub(crate) per_unit: f64,
}

impl Slope {
    /// Fits a line to points of `(size, value)`.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let covariance: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let per_unit = covariance / variance;
        Self { constant: mean_value - per_unit * mean_size, per_unit }
    }

    /// Returns the value at a size.
    pub(crate) fn at(self, size: f64) -> f64 {
        self.constant + self.per_unit * size
    }
}
