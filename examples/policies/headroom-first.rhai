// Headroom first, for services whose slots are scarce: prefers the share of free slots, and
// among equals the near sites.  Old figures and failures count against a site.
let weights = [];
for site in sites {
    let free = site.headroom_slots / site.capacity_slots;
    let near = if site.region == region { 1.0 } else { 0.4 };
    let fresh = if site.age_ms > 10000.0 { 0.5 } else { 1.0 };
    let sound = 1.0 - site.failed_share;
    weights.push(0.001 + site.headroom_slots * free * near * fresh * sound);
}
weights
