//! Quantiles of the normal distribution and of Student's t.

/// Returns the upper quantile of the standard normal distribution for a tail probability, by the
/// rational approximation 26.2.23 of Abramowitz and Stegun (error below 4.5e-4).
fn normal_quantile(tail: f64) -> f64 {
    let t = (-2.0 * tail.ln()).sqrt();
    let numerator = 2.515517 + t * (0.802853 + t * 0.010328);
    let denominator = 1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308));
    t - numerator / denominator
}

/// Returns the upper quantile of Student's t for a tail probability, by the first terms of its
/// expansion around the normal quantile; accurate from 5 degrees of freedom.
pub(super) fn student_quantile(tail: f64, degrees_of_freedom: f64) -> f64 {
    let z = normal_quantile(tail);
    let n = degrees_of_freedom;
    let first = (z.powi(3) + z) / 4.0;
    let second = (5.0 * z.powi(5) + 16.0 * z.powi(3) + 3.0 * z) / 96.0;
    let third = (3.0 * z.powi(7) + 19.0 * z.powi(5) + 17.0 * z.powi(3) - 15.0 * z) / 384.0;
    z + first / n + second / n.powi(2) + third / n.powi(3)
}
