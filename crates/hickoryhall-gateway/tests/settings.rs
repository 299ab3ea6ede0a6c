//! Tests which settings files are accepted, and which field the error of a rejected one names.

use std::path::PathBuf;
use std::time::Duration;

use hickoryhall_gateway::settings::Settings;
use rstest::rstest;

const GOOD: &str = r#"{"host":"h1","failure_domain":"a","ip":"127.0.0.1","callers":"127.0.0.1:1",
    "readiness":"127.0.0.1:2","peer_port":3,"store":"127.0.0.1:4","seeds":["127.0.0.5:3"],"later":1,
    "bounds":{"grace_s":8,"retry_ratio":0.2,"retry_extra":54,"retry_window_s":10,"lease_ms":3000,
    "lease_min_ms":1000,"weights_ms":10000}}"#;

fn read(name: &str, text: &str) -> Result<Settings, String> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("written");
    Settings::read(&path).map_err(|error| error.to_string())
}

#[test]
fn good_settings_are_read_and_unknown_fields_ignored() {
    let settings = read("good.json", GOOD).expect("usable");
    assert_eq!(settings.seed_ips().len(), 1);
    assert_eq!(settings.metrics_port, None);
    assert_eq!(settings.bounds.grace_period(), Duration::from_secs(8));
}

/// Guards against a changed choice of servers in deployments whose settings do not name a price.
#[test]
fn traffic_between_domains_has_a_price_only_if_the_settings_name_one() {
    let settings = read("no-price.json", GOOD).expect("usable");
    assert_eq!(settings.crossing, None);
    let text = GOOD.replace(r#""later":1"#, r#""crossing":{"ms_per_mb":0.2}"#);
    let settings = read("price.json", &text).expect("usable");
    let prices = settings
        .crossing
        .map(|crossing| crossing.prices().ms_per_mb);
    assert_eq!(prices, Some(0.2));
}

/// Guards against requests that start on replaced weights after the bound. One that was sent 9.05 s
/// after the new desired version was set waited a second at its runner and started after the bound
/// of 10 s (enlarged Karoo fleet, scenario `trouble-2`, seed 1,009,672,971,664).
#[test]
fn old_weights_stop_well_before_their_bound() {
    let settings = read("weights.json", GOOD).expect("usable");
    let limit = settings.bounds.old_weights_limit();
    assert!(limit + Duration::from_millis(1_050) <= settings.bounds.weights_limit());
}

#[rstest]
#[case::empty_host(r#""host":"h1""#, r#""host":"""#, "host")]
#[case::empty_domain(r#""failure_domain":"a""#, r#""failure_domain":"""#, "failure_domain")]
#[case::no_grace(r#""grace_s":8"#, r#""grace_s":0"#, "bounds.grace_s")]
#[case::negative_ratio(r#""retry_ratio":0.2"#, r#""retry_ratio":-1"#, "bounds.retry_ratio")]
#[case::no_window(
    r#""retry_window_s":10"#,
    r#""retry_window_s":0"#,
    "bounds.retry_window_s"
)]
#[case::no_lease(r#""lease_ms":3000"#, r#""lease_ms":0"#, "bounds.lease_ms")]
#[case::no_port_for_forwarded_requests(r#""peer_port":3"#, r#""peer_port":65535"#, "peer_port")]
#[case::negative_price(r#""later":1"#, r#""crossing":{"ms_per_mb":-1}"#, "crossing.ms_per_mb")]
#[case::crossing_without_price(r#""later":1"#, r#""crossing":{}"#, "ms_per_mb")]
#[case::bad_address(r#""callers":"127.0.0.1:1""#, r#""callers":"here""#, "line 1")]
fn unusable_settings_name_their_field(#[case] good: &str, #[case] bad: &str, #[case] named: &str) {
    let text = GOOD.replace(good, bad);
    assert_ne!(text, GOOD);
    let error = read(&format!("{}.json", named.replace(' ', "-")), &text).expect_err("unusable");
    assert!(error.contains(named), "{error}");
    assert!(error.contains(".json"), "{error}");
}

/// Guards against a panic at the start: such a duration cannot be added to a point in time.
#[rstest]
#[case::grace(r#""grace_s":8"#, r#""grace_s":1e300"#, "bounds.grace_s")]
#[case::window(
    r#""retry_window_s":10"#,
    r#""retry_window_s":1e300"#,
    "bounds.retry_window_s"
)]
#[case::lease(
    r#""lease_ms":3000"#,
    r#""lease_ms":18446744073709551615"#,
    "bounds.lease_ms"
)]
fn durations_that_no_clock_reaches_are_refused(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] named: &str,
) {
    let text = GOOD.replace(good, bad);
    assert_ne!(text, GOOD);
    let error = read(&format!("long-{named}.json"), &text).expect_err("unusable");
    assert!(error.contains(named), "{error}");
}

/// Guards against hosts whose settings were written before these limits, and against a limit that
/// leaves no room for the host itself.
#[test]
fn limits_of_the_machine_have_defaults_and_least_values() {
    let settings = read("no-limits.json", GOOD).expect("usable");
    assert_eq!(settings.limits.memory_mb, 88);
    assert_eq!(settings.limits.file_descriptors, 4_100);
    let with = |limits: &str| GOOD.replace(r#""later":1"#, &format!(r#""limits":{limits}"#));
    let settings = read("limits.json", &with(r#"{"memory_mb":512}"#)).expect("usable");
    assert_eq!(settings.limits.memory_mb, 512);
    assert_eq!(settings.limits.file_descriptors, 4_100);
    // A platform that states no limits fills the template with `null`.
    let unstated = with(r#"{"memory_mb":null,"file_descriptors":null}"#);
    let settings = read("null-limits.json", &unstated).expect("usable");
    assert_eq!(settings.limits.memory_mb, 88);
    assert_eq!(settings.limits.file_descriptors, 4_100);
    let error = read("no-memory.json", &with(r#"{"memory_mb":1}"#)).expect_err("unusable");
    assert!(error.contains("limits.memory_mb"), "{error}");
    let error = read("no-files.json", &with(r#"{"file_descriptors":3}"#)).expect_err("unusable");
    assert!(error.contains("limits.file_descriptors"), "{error}");
}
