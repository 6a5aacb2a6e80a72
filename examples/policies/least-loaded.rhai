// Least loaded: by the slots that are free, wherever the site is.
let weights = [];
for site in sites {
    weights.push(site.headroom_slots + 0.01);
}
weights
