//! Authentication, quotas and allowed regions of customers.

use std::sync::Arc;
use steering::deployment::{
    AllowedRegions, Authentication, Customer, CustomerTable, Deployment, KeyDigest, Quota,
    QuotaError,
};

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::new(key)).collect(),
        priority: None,
        quota: None,
        allowed_regions: AllowedRegions::Any,
    }
}

fn table(customers: Option<Vec<Customer>>) -> CustomerTable {
    CustomerTable::new(&Deployment { customers, ..Deployment::default() })
}

fn customer_of_key(table: &CustomerTable, key: &str) -> Option<Arc<str>> {
    match table.authenticate(Some(KeyDigest::new(key)), false) {
        Authentication::Customer(customer) => Some(customer.name.clone()),
        Authentication::NotRequired | Authentication::Failed => None,
    }
}

#[test]
fn each_key_identifies_its_customer_and_unknown_keys_none() {
    let table = table(Some(vec![customer("ann", &["a", "b"]), customer("ben", &[])]));
    assert_eq!(customer_of_key(&table, "a").as_deref(), Some("ann"));
    assert_eq!(customer_of_key(&table, "b").as_deref(), Some("ann"));
    assert_eq!(customer_of_key(&table, "c"), None);
    assert_eq!(table.authenticate(None, false), Authentication::Failed);
}

#[test]
fn no_key_is_needed_on_a_public_route_or_without_customers() {
    let with_customers = table(Some(Vec::new()));
    assert_eq!(with_customers.authenticate(None, true), Authentication::NotRequired);
    assert_eq!(with_customers.authenticate(None, false), Authentication::Failed);
    assert_eq!(table(None).authenticate(None, false), Authentication::NotRequired);
}

#[test]
fn a_key_of_two_customers_belongs_to_the_first() {
    let table = table(Some(vec![customer("ann", &["a"]), customer("ben", &["a", "b"])]));
    assert_eq!(customer_of_key(&table, "a").as_deref(), Some("ann"));
    assert_eq!(customer_of_key(&table, "b").as_deref(), Some("ben"));
}

#[test]
fn ten_thousand_customers_are_distinguished() {
    let names: Vec<String> = (0..10_000).map(|number| format!("customer-{number}")).collect();
    let customers = names.iter().map(|name| customer(name, &[&format!("key-of-{name}")]));
    let table = table(Some(customers.collect()));
    for name in names.iter().step_by(97) {
        assert_eq!(
            customer_of_key(&table, &format!("key-of-{name}")).as_deref(),
            Some(name.as_str())
        );
    }
    let large = names.iter().filter(|name| table.is_large(name)).count();
    assert_eq!(large, 32, "customers with their own metrics");
}

#[test]
fn debug_output_does_not_reveal_a_key() {
    let customer = customer("ann", &["secret"]);
    let digest = format!("{:?}", KeyDigest::new("secret"));
    assert_eq!(digest, format!("{:?}", KeyDigest::new("other")));
    let printed = format!("{customer:?} {:?}", table(Some(vec![customer.clone()])));
    assert!(!printed.contains("secret"), "{printed}");
}

#[test]
fn a_quota_needs_a_rate_above_zero() {
    let quota = Quota { rate_per_s: 5.0, burst: 2.0 };
    assert_eq!(Quota::new(Some(5.0), Some(2.0)), Ok(Some(quota)));
    assert_eq!(Quota::new(Some(0.0), Some(2.0)), Ok(None));
    assert_eq!(Quota::new(None, Some(2.0)), Ok(None));
    assert_eq!(Quota::new(Some(5.0), None), Ok(Some(Quota { burst: 0.0, ..quota })));
    assert_eq!(Quota::new(Some(-1.0), None), Err(QuotaError::Rate(-1.0)));
    assert_eq!(Quota::new(Some(1.0), Some(-1.0)), Err(QuotaError::Burst(-1.0)));
    assert!(Quota::new(Some(f64::NAN), None).is_err());
}

#[test]
fn the_regions_of_route_and_customer_both_apply() {
    let only =
        |names: &[&str]| AllowedRegions::from_list(names.iter().map(|name| Arc::from(*name)));
    assert_eq!(only(&[]), AllowedRegions::Any);
    assert_eq!(only(&["n", "s"]).intersection(&only(&["s"])), only(&["s"]));
    assert_eq!(AllowedRegions::Any.intersection(&only(&["s"])), only(&["s"]));
    let none = only(&["n"]).intersection(&only(&["s"]));
    assert!(!none.permits("n") && !none.permits("s"), "{none}");
    assert!(AllowedRegions::Any.permits("n"));
}
