//! Slow start: how much more traffic a site may get, by its free slots and its answer times.

/// Traffic that a site may get without measured answers, in requests per second.
pub const PROBE_PER_S: f64 = 2.0;

/// Growth allowed in one second to a site that answers as usual, as a part of its traffic.
const GROWTH_SHARE_PER_S: f64 = 0.5;

/// Part of the free headroom that one step may fill, as others may fill it at the same time.
const HEADROOM_PART: f64 = 0.5;

/// Answer time, in usual ones, up to which a site grows in full.
const FULL_GROWTH_AT: f64 = 1.25;

/// Answer time, in usual ones, from which a site does not grow.
const NO_GROWTH_AT: f64 = 2.0;

/// Shortest latency that slots are reckoned with, in seconds.
const LEAST_LATENCY_S: f64 = 0.001;

/// What is known of a site whose traffic is to grow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampInput {
    /// This instance's traffic to the site, in requests per second.
    pub rate_per_s: f64,
    /// Free slots, less those that growth not yet seen in the figures will fill.
    pub headroom_slots: f64,
    /// Time that a request holds a slot, in milliseconds.
    pub latency_ms: f64,
    /// Answer time of the site; `None` when no recent answer was measured.
    pub answer_time_ms: Option<f64>,
    /// Answer time that is usual for the service; `None` when unknown.
    pub usual_answer_time_ms: Option<f64>,
    /// Time since the last step, in seconds.
    pub elapsed_s: f64,
}

/// What limits the growth of a site's traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthLimit {
    /// Growth that free slots allow, in requests per second.
    pub headroom_per_s: f64,
    /// Growth that answer times allow, in requests per second.
    pub ramp_per_s: f64,
}

impl GrowthLimit {
    /// Returns the lower of both limits, in requests per second.
    pub fn per_s(self) -> f64 {
        self.headroom_per_s.min(self.ramp_per_s)
    }
}

/// Returns by how much the site's traffic may grow in this step.
pub fn growth_limit(input: RampInput) -> GrowthLimit {
    let latency_s = (input.latency_ms / 1_000.0).max(LEAST_LATENCY_S);
    GrowthLimit {
        headroom_per_s: HEADROOM_PART * input.headroom_slots.max(0.0) / latency_s,
        ramp_per_s: ramp_per_s(&input),
    }
}

fn ramp_per_s(input: &RampInput) -> f64 {
    let probe = (PROBE_PER_S - input.rate_per_s).max(0.0);
    let Some(answer_time_ms) = input.answer_time_ms else { return probe };
    let usual_ms = input.usual_answer_time_ms.unwrap_or(answer_time_ms);
    let slowness = answer_time_ms / usual_ms.max(f64::MIN_POSITIVE);
    let part = ((NO_GROWTH_AT - slowness) / (NO_GROWTH_AT - FULL_GROWTH_AT)).clamp(0.0, 1.0);
    let step = (input.rate_per_s * GROWTH_SHARE_PER_S + PROBE_PER_S) * input.elapsed_s;
    (step * part).max(probe)
}
