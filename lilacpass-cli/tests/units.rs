//! Tests of parsing and formatting sizes, durations and times.

use std::time::Duration;

use lilacpass_cli::units;

#[test]
fn sizes_and_durations_require_a_unit() {
    assert_eq!(units::parse_duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(units::parse_duration("15m"), Ok(Duration::from_secs(900)));
    assert_eq!(units::parse_duration("30d"), Ok(Duration::from_secs(2_592_000)));
    for refused in ["", "5", "ms", "-1s", "1.5h", "1h30m", "99999999999999999d"] {
        assert!(units::parse_duration(refused).is_err(), "{refused}");
    }
    assert_eq!(units::parse_cpu("1.5").map(|cpu| cpu.0), Ok(1_500));
    assert_eq!(units::parse_cpu("500m").map(|cpu| cpu.0), Ok(500));
    assert_eq!(units::parse_memory("4GiB").map(|memory| memory.0), Ok(4_096));
    assert_eq!(units::parse_memory("512MiB").map(|memory| memory.0), Ok(512));
    assert!(["-1", "x", "nan", "1e99"].iter().all(|text| units::parse_cpu(text).is_err()));
    assert!(["512", "4GB", "-1GiB"].iter().all(|text| units::parse_memory(text).is_err()));
}

#[test]
fn durations_are_formatted_in_at_most_two_units() {
    let cases = [(0, "0ms"), (999, "999ms"), (1_000, "1s"), (200_000, "3m 20s")];
    cases.iter().for_each(|(ms, text)| assert_eq!(units::format_ms(*ms), *text));
    assert_eq!(units::format_ms(187_200_000), "2d 4h");
    assert_eq!(units::format_unix_ms(0), "1970-01-01 00:00:00");
    assert_eq!(units::format_unix_ms(951_782_400_000), "2000-02-29 00:00:00");
    assert_eq!(units::format_unix_ms(1_796_237_618_000), "2026-12-02 18:53:38");
}

/// Compares the formatted dates with a calendar that is advanced day by day using the leap year rule.
#[test]
fn dates_match_the_calendar_for_two_hundred_years() {
    let multiple = |year: u64, of: u64| year.is_multiple_of(of);
    let leap = |year| multiple(year, 4) && (!multiple(year, 100) || multiple(year, 400));
    let (mut year, mut month, mut day) = (1970, 1, 1);
    for days in 0..73_000 {
        let expected = format!("{year:04}-{month:02}-{day:02} 00:00:00");
        assert_eq!(units::format_unix_ms(days * 86_400_000), expected);
        let days_in_month = match month {
            2 if leap(year) => 29,
            2 => 28,
            4 | 6 | 9 | 11 => 30,
            _ => 31,
        };
        day += 1;
        if day > days_in_month {
            (month, day) = (month + 1, 1);
        }
        if month > 12 {
            (year, month) = (year + 1, 1);
        }
    }
}
