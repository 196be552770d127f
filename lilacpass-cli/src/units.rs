//! Parsing and formatting of sizes, durations and times for people.

use std::time::Duration;

use lilacpass_core::size::{Mebibytes, Millicores};

const MILLICORES_PER_CORE: f64 = 1_000.0;
const MIB_PER_GIB: u64 = 1_024;
const MS_PER_S: u64 = 1_000;
const MS_PER_MIN: u64 = 60 * MS_PER_S;
const MS_PER_H: u64 = 60 * MS_PER_MIN;
const MS_PER_DAY: u64 = 24 * MS_PER_H;

/// Units of a duration with their length in milliseconds. The first one that is a suffix of the text is used, so "ms"
/// must come before "s".
const DURATION_UNITS: [(&str, u64); 5] =
    [("ms", 1), ("d", MS_PER_DAY), ("h", MS_PER_H), ("m", MS_PER_MIN), ("s", MS_PER_S)];

/// Parses a duration with its unit, such as `250ms`, `90s`, `15m`, `8h` or `30d`.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || {
        format!("{text:?} is not a duration: expected a whole number followed by ms, s, m, h or d")
    };
    let (digits, unit_ms) = DURATION_UNITS
        .iter()
        .find_map(|(unit, ms)| text.strip_suffix(unit).map(|digits| (digits, *ms)))
        .ok_or_else(invalid)?;
    let count: u64 = digits.parse().map_err(|_| invalid())?;
    count.checked_mul(unit_ms).map(Duration::from_millis).ok_or_else(invalid)
}

/// Parses a CPU amount: cores such as `2` or `1.5`, or millicores such as `500m`.
pub fn parse_cpu(text: &str) -> Result<Millicores, String> {
    const MAX_CORES: f64 = 1e6;
    if text.ends_with(Millicores::UNIT) {
        return text.parse().map_err(|err| format!("{err}"));
    }
    let cores: f64 = text.parse().map_err(|_| {
        format!("{text:?} is not a CPU amount: expected cores (1.5) or millicores (1500m)")
    })?;
    if !(0.0..=MAX_CORES).contains(&cores) {
        return Err(format!("{text:?} is not between 0 and {MAX_CORES} cores"));
    }
    Ok(Millicores((cores * MILLICORES_PER_CORE).round() as u64))
}

/// Parses a memory size with its unit, such as `512MiB` or `4GiB`.
pub fn parse_memory(text: &str) -> Result<Mebibytes, String> {
    let invalid =
        || format!("{text:?} is not a memory size: expected a whole number followed by MiB or GiB");
    if let Some(gib) = text.strip_suffix("GiB") {
        let gib: u64 = gib.trim_end().parse().map_err(|_| invalid())?;
        return gib.checked_mul(MIB_PER_GIB).map(Mebibytes).ok_or_else(invalid);
    }
    if !text.ends_with(Mebibytes::UNIT) {
        return Err(invalid());
    }
    text.parse().map_err(|_| invalid())
}

/// Converts a duration to milliseconds, for the fields that end in `_ms`.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a duration in at most two units, such as `420ms`, `12s`, `3m 20s` or `2d 4h`.
pub fn format_ms(ms: u64) -> String {
    match ms {
        0..MS_PER_S => format!("{ms}ms"),
        MS_PER_S..MS_PER_MIN => format!("{}s", ms / MS_PER_S),
        MS_PER_MIN..MS_PER_H => two_units(ms, MS_PER_MIN, "m", MS_PER_S, "s"),
        MS_PER_H..MS_PER_DAY => two_units(ms, MS_PER_H, "h", MS_PER_MIN, "m"),
        _ => two_units(ms, MS_PER_DAY, "d", MS_PER_H, "h"),
    }
}

/// Formats millicores as cores, such as `1.5`.
pub fn format_cores(cpu_milli: u64) -> String {
    format!("{}", cpu_milli as f64 / MILLICORES_PER_CORE)
}

/// Formats a memory size in MiB, or from 1 GiB on in GiB with at most one decimal.
pub fn format_memory(memory_mib: u64) -> String {
    if memory_mib < MIB_PER_GIB {
        return format!("{memory_mib}MiB");
    }
    format!("{:.1}GiB", memory_mib as f64 / MIB_PER_GIB as f64).replace(".0GiB", "GiB")
}

/// Formats a time in milliseconds since 1970 as UTC, such as `2026-12-02 18:53:38`.
pub fn format_unix_ms(unix_ms: u64) -> String {
    let (days, second_of_day) = (unix_ms / MS_PER_DAY, unix_ms % MS_PER_DAY / MS_PER_S);
    let (year, month, day) = civil_from_days(days);
    let (hour, minute, second) =
        (second_of_day / 3_600, second_of_day / 60 % 60, second_of_day % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

fn two_units(ms: u64, big_ms: u64, big: &str, small_ms: u64, small: &str) -> String {
    format!("{}{big} {}{small}", ms / big_ms, ms % big_ms / small_ms)
}

/// Converts a number of days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// The computation uses years that begin in March, so that a leap day is the last day of its year.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    const DAYS_TO_1970: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    const YEARS_PER_ERA: u64 = 400;
    let shifted = days + DAYS_TO_1970;
    let (era, day_of_era) = (shifted / DAYS_PER_ERA, shifted % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * YEARS_PER_ERA + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
