//! Assignment of callers to arms, and the order of sites.

use configuration::{Arm, SiteIndex};
use proptest::prelude::*;
use std::collections::HashSet;
use steering::hash::{address_hash, mix};
use steering::routing::{Arms, BUILT_IN_ARM, RequestRng, Weights};

fn arm(name: &str, share_percent: u32, shadow: bool) -> Arm {
    Arm { name: name.into(), policy: 0, share_percent, shadow }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 10_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

#[test]
fn callers_are_divided_by_the_shares_of_the_arms() {
    let arms = Arms::new(&[arm("a", 70, false), arm("shadow", 0, true), arm("b", 30, false)]);

    let callers_of_b = (0..100_000_u32)
        .filter(|caller| {
            arms.arm_position(address_hash(std::net::IpAddr::from(caller.to_be_bytes()))) == 2
        })
        .count();

    assert!((29_000..31_000).contains(&callers_of_b), "{callers_of_b}");
    assert_eq!(arms.shadows().collect::<Vec<_>>(), [1]);
}

#[test]
fn without_arms_all_callers_get_the_built_in_one() {
    let arms = Arms::new(&[]);

    assert_eq!(&*arms.entries()[arms.arm_position(17)].name, BUILT_IN_ARM);
}

#[test]
fn hashes_are_the_same_in_every_release() {
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf);
    assert_eq!(mix(1), 0x910a_2dec_8902_5cc1);
    assert_eq!(
        address_hash("::ffff:10.0.0.1".parse().expect("address")),
        address_hash("10.0.0.1".parse().expect("address")),
    );
}

#[test]
fn first_sites_follow_the_weights() {
    let weights = Weights::new(&[0.5, 0.0, 0.2, 0.1]);
    let rng = RequestRng::new(7);
    let mut counts = [0_u32; 5];

    for _ in 0..100_000 {
        let first = weights.order(rng.next()).first().copied();
        counts[first.map_or(4, SiteIndex::get)] += 1;
    }

    let expected = [50_000_u32, 0, 20_000, 10_000, 20_000];
    for (count, expected) in counts.iter().zip(expected) {
        assert!(count.abs_diff(expected) < 1_000, "{counts:?}");
    }
}

proptest! {
    #![proptest_config(config())]

    /// Compares with a naive implementation: the random number selects the first site among the
    /// cumulative weights in descending order; every site with weight occurs once, none without.
    #[test]
    fn order_agrees_with_naive_implementation(
        weights_by_site in prop::collection::vec(prop_oneof![Just(0.0), 0.0..1.0_f64, Just(f64::NAN), Just(-1.0)], 0..40),
        random_number in any::<u64>(),
    ) {
        let weights = Weights::new(&weights_by_site);

        let order = weights.order(random_number);

        let valid = |weight: f64| if weight > 0.0 { weight } else { 0.0 };
        let sum: f64 = weights_by_site.iter().copied().map(valid).sum();
        let scale = if sum > 1.0 { 1.0 / sum } else { 1.0 };
        let mut sorted: Vec<(usize, f64)> =
            weights_by_site.iter().map(|weight| valid(*weight) * scale).enumerate().filter(|(_, w)| *w > 0.0).collect();
        sorted.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut point = (random_number >> 11) as f64 / (1_u64 << 53) as f64;
        let first = sorted.iter().find(|(_, weight)| { point -= weight; point < 0.0 });
        prop_assert_eq!(order.first().map(|site| site.get()), first.map(|(site, _)| *site));
        prop_assert_eq!(weights.first(random_number), order.first().copied());
        if first.is_some() {
            let listed: HashSet<usize> = order.iter().map(|site| site.get()).collect();
            prop_assert_eq!(order.len(), listed.len());
            prop_assert_eq!(listed, sorted.iter().map(|(site, _)| *site).collect::<HashSet<_>>());
        }
    }
}
