//! Extracts what the log files of all instances report about one job, in order of time.

use std::{fs, io, path::Path};

use lilacpass_jobs::JobKey;

/// Maximum width of a line of the table.
const COLUMNS: usize = 80;
/// Width of the time of day.
const TIME_COLUMNS: usize = 12;

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Time of day as shown in the log, to the millisecond.
    pub time: String,
    /// The instance: name of the log file without its extension.
    pub instance: String,
    /// Message of the line with its values.
    pub text: String,
}

/// Reads the lines about a job from all files of a folder, in order of time.
pub fn read(folder: &Path, job: JobKey) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if !path.is_file() {
            continue;
        }
        let instance = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let bytes = fs::read(&path)?;
        let text = String::from_utf8_lossy(&bytes);
        let matching = text.lines().filter(|line| line.contains(&job.to_string()));
        lines.extend(matching.filter_map(|line| parse(&instance, line)));
    }
    lines.sort();
    Ok(lines)
}

/// Parses a line in the format of the instances, `[TIME LEVEL ] text`. Returns `None` for other lines.
pub fn parse(instance: &str, line: &str) -> Option<Line> {
    let start = line.find('[')?;
    let (head, text) = line.get(start + 1..)?.split_once(']')?;
    let stamp = head.split_whitespace().next()?;
    let (_, time) = stamp.split_once('T')?;
    let time = time.trim_end_matches('Z').to_owned();
    Some(Line { time, instance: instance.to_owned(), text: text.trim().to_owned() })
}

/// Formats the lines as a table of up to 80 columns, with the time since the previous line in milliseconds.
pub fn table(lines: &[Line], job: JobKey) -> String {
    let mut table = String::new();
    let mut before_ms = None;
    for line in lines {
        let at_ms = milliseconds(&line.time);
        let since_ms =
            before_ms.zip(at_ms).map_or(0, |(before, at): (u64, u64)| at.saturating_sub(before));
        before_ms = at_ms.or(before_ms);
        // The id of the job is on each line, and would take up a quarter of it.
        let text = line.text.replace(&job.to_string(), "JOB");
        let row = format!("{:TIME_COLUMNS$} {since_ms:>6} {} {text}", line.time, line.instance);
        let shown: String = row.chars().take(COLUMNS).collect();
        table.push_str(shown.trim_end());
        table.push('\n');
    }
    table
}

/// Milliseconds from midnight to a time of day in the format `HH:MM:SS.mmm`.
fn milliseconds(time: &str) -> Option<u64> {
    let (hours, rest) = time.split_once(':')?;
    let (minutes, seconds) = rest.split_once(':')?;
    let (seconds, millis) = seconds.split_once('.').unwrap_or((seconds, "0"));
    let number = |text: &str| text.parse::<u64>().ok();
    let whole = number(hours)? * 3_600 + number(minutes)? * 60 + number(seconds)?;
    Some(whole * 1_000 + number(millis)?)
}
