// Nearest with headroom: each site, nearest first, takes what is left.
// A site with less than a fifth of its slots free takes a part only.
let order = [];
let weights = [];
for (site, position) in sites {
    order.push([site.delay_ms, position]);
    weights.push(0.0);
}
order.sort(|a, b| if a[0] < b[0] { -1 } else if a[0] > b[0] { 1 } else { a[1] - b[1] });
let left = 1.0;
for entry in order {
    let site = sites[entry[1]];
    let part = site.headroom_slots / site.capacity_slots / 0.2;
    if part > 1.0 { part = 1.0; }
    weights[entry[1]] = left * part;
    left -= left * part;
}
weights[order[0][1]] += left;
weights
