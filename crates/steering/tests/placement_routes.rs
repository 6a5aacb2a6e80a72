//! Route lookup, compared with a naive search.

use proptest::prelude::{prop, prop_assert_eq, proptest};
use std::time::Duration;
use steering::deployment::{
    AllowedRegions, Deployment, RequestKind, Route, RouteTable, WeightedService,
};

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: format!("{host}{path_prefix}").into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(500),
        priority: 0,
        max_attempts: 2,
        affinity: false,
        allowed_regions: AllowedRegions::Any,
        is_public: false,
        weighted_services: vec![WeightedService { service: "dossier".into(), weight: 1.0 }],
    }
}

fn table(routes: &[Route]) -> RouteTable {
    RouteTable::new(&Deployment { routes: routes.to_vec(), ..Deployment::default() })
}

fn naive<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| *route.host == *host && path.starts_with(&*route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
}

proptest! {
    #[test]
    fn the_longest_prefix_of_the_host_wins(
        prefixes in prop::collection::hash_set("(/[ab]{1,2}){0,3}/", 1..8),
        path in "(/[ab]{1,2}){0,4}/?",
    ) {
        let routes: Vec<Route> = prefixes.iter().map(|prefix| route("a.example", prefix)).collect();
        let found = table(&routes).find("a.example", &path).map(|route| route.name.clone());
        let expected = naive(&routes, "a.example", &path).map(|route| route.name.clone());
        prop_assert_eq!(found, expected);
    }
}

#[test]
fn a_host_matches_in_any_case_and_with_a_port() {
    let table = table(&[route("a.example", "/x/")]);
    for host in ["a.example", "A.Example", "a.example:80"] {
        assert!(table.find(host, "/x/1").is_some(), "{host}");
    }
    for (host, path) in [("b.example", "/x/1"), ("a.example", "/x"), ("a.example", "/y/")] {
        assert!(table.find(host, path).is_none(), "{host} {path}");
    }
}
