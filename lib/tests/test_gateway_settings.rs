//! Settings of a gateway that follow from other settings.

use bramleyshelf_lib::{gateway_settings, shedding};

/// Settings with the given `capacity` section and, if not empty, further fields.
fn settings(capacity: &str, further: &str) -> gateway_settings::Settings {
    let text = format!(
        r#"{{
            "instance": "g1", "listen": "127.0.0.1:1", "probe_listen": "127.0.0.1:2",
            "metrics_listen": "127.0.0.1:3", "peer_listen": "127.0.0.1:4", "domain": "a",
            "regions": {{"a": "north"}}, "store": "127.0.0.1:5", "capacity": {capacity}{further}
        }}"#
    );
    serde_json::from_str(&text).expect("the settings are valid")
}

/// Guards against a slow link on the instance that reads the store for its failure domain: it would
/// delay the reads that all other gateways there wait for.
#[test]
fn weight_of_small_instance_is_a_fraction() {
    let large = settings(r#"{"cpu_share": 0.5, "link_mbps": 200.0}"#, "");
    let small = settings(r#"{"cpu_share": 0.09, "link_mbps": 10.0}"#, "");
    assert!(small.effective_weight() * 20 < large.effective_weight());
    assert!(small.effective_weight() >= 1);
}

/// Guards against settings of earlier releases that make gateways read other keys than before.
#[test]
fn evacuations_are_followed_only_if_a_bound_is_set() {
    assert!(settings("{}", "").evacuation_ms.is_none());
    let set = settings("{}", r#", "evacuation_ms": 5000"#);
    assert_eq!(set.evacuation_ms.map(|bound| bound.0), Some(5_000));
}

#[test]
fn weight_that_is_set_overrides_capacity() {
    let set = settings(r#"{"cpu_share": 0.09}"#, r#", "weight": 7"#);
    assert_eq!(set.effective_weight(), 7);
}

#[test]
fn limit_for_cold_upstreams_is_the_rate_unless_it_is_set() {
    let plain = settings("{}", "");
    assert_eq!((plain.cold_excess, plain.cold_slack), (1.0, 0.0));
    let set = settings("{}", r#", "cold_excess": 1.5, "cold_slack": 5"#);
    assert_eq!((set.cold_excess, set.cold_slack), (1.5, 5.0));
}

/// Guards against a change of behaviour for operators who do not set the rule.
#[test]
fn overload_is_by_due_time_unless_set() {
    assert_eq!(settings("{}", "").overload, shedding::Overload::Due);
    assert_eq!(settings("{}", r#", "overload": "loss""#).overload, shedding::Overload::Loss);
}
