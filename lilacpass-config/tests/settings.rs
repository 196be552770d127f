//! Parsing settings: defaults, ranges, relations, and positions of problems.

use std::time::Duration;

use lilacpass_config::settings;
use lilacpass_schema::v1;

/// The smallest valid settings file. It ends within the section `platform`.
const MINIMAL: &str = r#"
[instance]
name = "entry-1"
data_centre = "hal-a"
http_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
[platform]
log_addresses = ["127.0.0.1:7001"]
instance_list_addresses = ["127.0.0.1:7002"]
"#;

/// Returns the problems of `MINIMAL` with `extra` appended.
fn problems_with(extra: &str) -> Vec<String> {
    problems_in(&format!("{MINIMAL}{extra}"))
}

/// Returns the problems of a whole settings file.
fn problems_in(text: &str) -> Vec<String> {
    settings::parse(text)
        .expect_err("the text has problems")
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn absent_and_zero_settings_take_their_defaults() {
    let settings = settings::parse(&format!("{MINIMAL}[holding]\nlease_ms = 0\n")).unwrap();
    assert_eq!(settings.holding.lease, Duration::from_millis(2_500));
    assert_eq!(settings.holding.clock_drift_ppm, 1_000);
    assert_eq!(settings.platform.stream_prefix, "lilacpass");
    assert_eq!(settings.platform.batch, Duration::from_millis(3));
    assert_eq!(settings.traffic.max_body.0, 1 << 20);
    assert_eq!(settings.jobs.keep_ended, Duration::from_secs(86_400));
    assert!(settings.instance.peer_key.is_none());
}

#[test]
fn a_number_out_of_range_is_refused_with_line_unit_and_range() {
    let problems = settings::parse(&format!("{MINIMAL}[holding]\nlease_ms = 50\n")).unwrap_err();
    let first = &problems[0];
    assert_eq!(first.to_string(), "line 11: holding.lease_ms = 50: must be 500 to 60000 ms");
    assert_eq!((first.line, first.column), (11, 12));
    assert_eq!((first.unit, first.allowed.as_str()), ("ms", "500 to 60000"));
}

#[test]
fn each_number_is_refused_on_either_side_of_its_range() {
    for doc in settings::describe()
        .iter()
        .filter(|doc| doc.allowed.contains(" to ") && !doc.default.is_empty())
    {
        let (section, key) = doc.path.split_once('.').unwrap();
        let (min, max) = doc.allowed.split_once(" to ").unwrap();
        let (min, max): (u64, u64) = (min.parse().unwrap(), max.parse().unwrap());
        let outside = [min.checked_sub(1).filter(|n| *n > 0), Some(max + 1)];
        for value in outside.into_iter().flatten() {
            // `MINIMAL` ends within the section `platform`, which must not be opened again.
            let header =
                if section == "platform" { String::new() } else { format!("[{section}]\n") };
            let text = format!("{MINIMAL}{header}{key} = {value}\n");
            let problems = problems_in(&text).join("\n");
            let expected = format!("{} = {value}: must be {} {}", doc.path, doc.allowed, doc.unit);
            assert!(problems.contains(expected.trim_end()), "{expected}\n--\n{problems}");
        }
    }
}

#[test]
fn unknown_keys_are_refused_with_the_nearest_known_one() {
    assert_eq!(
        problems_with("[holding]\nlease = 900\n[jobz]\n"),
        [
            "line 11: holding.lease: unknown key; did you mean `lease_ms`?",
            "line 12: jobz: unknown key; did you mean `jobs`?"
        ]
    );
    assert_eq!(
        problems_with("[holding]\nleese = 900\nrenew_ms = 1\n"),
        [
            "line 11: holding.leese: unknown key; did you mean `lease_ms`?",
            "line 12: holding.renew_ms = 1: must be 50 to 30000 ms"
        ]
    );
    assert_eq!(
        problems_with("[holding]\nzzzzzzzzzz = 1\n"),
        ["line 11: holding.zzzzzzzzzz: unknown key"]
    );
}

#[test]
fn wrong_types_are_refused_all_at_once() {
    assert_eq!(
        problems_with("[holding]\nlease_ms = \"1s\"\nrenew_ms = 1.5\n[peers]\nsilent_ms = -1\n"),
        [
            "line 11: holding.lease_ms: must be a whole number, is string",
            "line 12: holding.renew_ms: must be a whole number, is float",
            "line 14: peers.silent_ms = -1: must be 0 to 9223372036854775807"
        ]
    );
    assert_eq!(problems_with("[holding\n").len(), 1);
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    let cases = [
        ("[holding]\nrenew_ms = 1250\n", "renew_ms = 1250: must be less than 1250 ms (half of"),
        ("call_timeout_ms = 1500\n", "platform.call_timeout_ms = 1500: must be less than 1500 ms"),
        ("[holding]\nstart_flight_ms = 2500\n", "start_flight_ms = 2500: must be less than 2500"),
        ("[holding]\ngrant_ms = 1999\n", "grant_ms = 1999: must be at least two times peers"),
        ("[peers]\nsilent_ms = 1000\n", "heartbeat_ms = 1000: must be less than 1000 ms"),
        ("[jobs]\nreport_wait_ms = 5000\n", "report_wait_ms = 5000: must be less than 5000 ms"),
        ("[holding]\nlongest_pause_ms = 2500\n", "lease_ms = 2500: must be less than 2500 ms"),
    ];
    for (extra, expected) in cases {
        let problems = problems_with(extra).join("\n");
        assert!(problems.contains(expected), "{expected}\n--\n{problems}");
    }
}

#[test]
fn a_peer_key_is_needed_off_loopback_and_never_shown() {
    let without_key =
        MINIMAL.replace("peer_address = \"127.0.0.1:0\"", "peer_address = \"192.0.2.1:7000\"");
    assert_eq!(
        problems_in(&without_key),
        ["line 2: instance.peer_key: is required where peer_address is not on loopback"]
    );
    let with_key =
        |key: &str| without_key.replace("[platform]", &format!("peer_key = \"{key}\"\n[platform]"));
    let short = problems_in(&with_key("tooshort")).join("\n");
    assert_eq!(short, "line 7: instance.peer_key: must be 16 to 256 characters");
    let settings = settings::parse(&with_key("0123456789abcdef")).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let key = settings.instance.peer_key.unwrap();
    assert!(key.matches(b"0123456789abcdef"));
    assert!(!key.matches(b"0123456789abcdeg") && !key.matches(b""));
}

#[test]
fn all_missing_required_settings_are_reported_together() {
    let problems = problems_in("[holding]\nlease_ms = 50\n");
    assert!(problems.iter().any(|line| line.contains("holding.lease_ms = 50: must be 500")));
    for field in ["name", "data_centre", "http_address", "peer_address"] {
        assert!(
            problems.iter().any(|line| line.contains(&format!("instance.{field}: is required")))
        );
    }
    assert!(
        problems.iter().any(|line| line.contains("platform.log_addresses: needs at least one"))
    );
    let invalid_address =
        MINIMAL.replace("\"127.0.0.1:7001\"", "\"127.0.0.1:7001\", \"localhost:1\"");
    assert_eq!(
        problems_in(&invalid_address),
        ["line 8: platform.log_addresses = \"localhost:1\": must be a valid list of IP:port"]
    );
}

#[test]
fn the_settings_table_matches_the_schema() {
    let all = v1::Settings {
        instance: Some(v1::InstanceSettings::default()),
        platform: Some(v1::PlatformSettings::default()),
        holding: Some(v1::HoldingSettings::default()),
        peers: Some(v1::PeerSettings::default()),
        traffic: Some(v1::TrafficSettings::default()),
        jobs: Some(v1::JobSettings::default()),
    };
    let mut in_schema: Vec<String> = toml::Table::try_from(&all)
        .unwrap()
        .iter()
        .flat_map(|(section, value)| {
            value.as_table().unwrap().keys().map(move |key| format!("{section}.{key}"))
        })
        .collect();
    let mut described: Vec<_> = settings::describe().iter().map(|d| d.path.to_owned()).collect();
    in_schema.sort();
    described.sort();
    assert_eq!(described, in_schema);
}

#[test]
fn the_defaults_are_within_their_ranges() {
    for doc in settings::describe().iter().filter(|doc| !doc.default.is_empty()) {
        let Ok(default) = doc.default.parse::<u64>() else { continue };
        let (min, max) = doc.allowed.split_once(" to ").unwrap();
        assert!((min.parse().unwrap()..=max.parse().unwrap()).contains(&default), "{}", doc.path);
    }
}

/// Guards against settings under which a non-idempotent task ends as `may_have_run` whenever an entry instance dies,
/// because the task's lease expires before the next holder of its worker has claimed it.
#[test]
fn a_task_lease_shorter_than_a_takeover_is_refused() {
    let text = format!("{MINIMAL}\n[jobs]\ntask_lease_ms = 6000\n");
    let problems = settings::parse(&text).unwrap_err();
    assert!(problems.iter().any(|problem| problem.field == "holding.lease_ms"), "{problems:?}");
}
