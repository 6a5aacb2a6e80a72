// Latency first, for callers who cannot wait: a site loses half its weight with each 5 ms that
// it answers later than the quickest.  A site takes less as its last slots fill.
let quickest = ();
for site in sites {
    let usable = site.headroom_slots > 0.0 && site.failed_share < 0.5;
    if usable && (quickest == () || site.latency_ms < quickest) { quickest = site.latency_ms; }
}
if quickest == () { quickest = 0.0; }
let weights = [];
for site in sites {
    let halvings = (site.latency_ms - quickest) / 5.0;
    if halvings < 0.0 { halvings = 0.0; }
    let room = site.headroom_slots / site.capacity_slots / 0.2;
    if room > 1.0 { room = 1.0; }
    weights.push(0.000001 + 0.5 ** halvings * room * (1.0 - site.failed_share));
}
weights
