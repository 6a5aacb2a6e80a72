//! Slow start: limits the growth of a site's traffic by its free slots and response times.

/// Traffic that a site may get without known response times, in requests per second.
pub const PROBE_PER_S: f64 = 2.0;

/// Growth per second of a site with response times near the baseline, as a fraction of its traffic.
const GROWTH_FRACTION_PER_S: f64 = 0.5;

/// Fraction of the free headroom that one step may use, as other instances may use it at the same
/// time.
const HEADROOM_FRACTION: f64 = 0.5;

/// Response time relative to the baseline, up to which a site's growth isn't reduced.
const FULL_GROWTH_SLOWNESS: f64 = 1.25;

/// Response time relative to the baseline, from which a site grows no further than the probe rate.
const NO_GROWTH_SLOWNESS: f64 = 2.0;

/// Lower bound of the latency by which free slots are converted to a rate, in seconds.
const MIN_LATENCY_S: f64 = 0.001;

/// Inputs to the growth limit of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampInput {
    /// This instance's traffic to the site, in requests per second.
    pub rate_per_s: f64,
    /// Free slots, less those that growth not yet visible in the figures will use.
    pub headroom_slots: f64,
    /// Time that a request holds a slot, in milliseconds.
    pub latency_ms: f64,
    /// Response time of the site, in milliseconds; `None` without a recent response.
    pub response_time_ms: Option<f64>,
    /// Baseline response time of the service, in milliseconds; `None` if unknown.
    pub baseline_response_time_ms: Option<f64>,
    /// Time since the last step, in seconds.
    pub elapsed_s: f64,
}

/// Limits of the growth of a site's traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthLimit {
    /// Growth allowed by free slots, in requests per second.
    pub headroom_per_s: f64,
    /// Growth allowed by response times, in requests per second.
    pub ramp_per_s: f64,
}

impl GrowthLimit {
    /// Returns the lower of both limits, in requests per second.
    pub fn per_s(self) -> f64 {
        self.headroom_per_s.min(self.ramp_per_s)
    }
}

/// Returns the growth limits of a site's traffic in this step.
pub fn growth_limit(input: RampInput) -> GrowthLimit {
    let latency_s = (input.latency_ms / 1_000.0).max(MIN_LATENCY_S);
    GrowthLimit {
        headroom_per_s: HEADROOM_FRACTION * input.headroom_slots.max(0.0) / latency_s,
        ramp_per_s: ramp_per_s(&input),
    }
}

fn ramp_per_s(input: &RampInput) -> f64 {
    let probe = (PROBE_PER_S - input.rate_per_s).max(0.0);
    let Some(response_time_ms) = input.response_time_ms else { return probe };
    let baseline_ms = input.baseline_response_time_ms.unwrap_or(response_time_ms);
    let slowness = response_time_ms / baseline_ms.max(f64::MIN_POSITIVE);
    let fraction = ((NO_GROWTH_SLOWNESS - slowness) / (NO_GROWTH_SLOWNESS - FULL_GROWTH_SLOWNESS))
        .clamp(0.0, 1.0);
    let step = (input.rate_per_s * GROWTH_FRACTION_PER_S + PROBE_PER_S) * input.elapsed_s;
    (step * fraction).max(probe)
}
