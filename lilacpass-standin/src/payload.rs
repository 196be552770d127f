//! The small text language in which a payload tells a stand-in worker what to do.
//!
//! A payload is a list of `key=value` words, such as `id=check-7 run=250ms result=ok`. Words that
//! are not known are ignored, so that any text is a payload.

use std::{fmt, time::Duration};

/// Time between two heartbeats of standing work, where the payload names none.
pub const DEFAULT_BEAT: Duration = Duration::from_millis(500);
/// Run time where neither payload nor start declares one.
pub const DEFAULT_RUN: Duration = Duration::from_millis(20);
const HUNDRED_PERCENT: u64 = 100;

/// What a task is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// `id=`: names the piece of work; it comes back in the result.
    pub id: String,
    /// `run=250ms`: true run time, whatever was declared.
    pub run: Option<Duration>,
    /// `result=`: text of the result.
    pub result: String,
    /// `pad=`: letters that are added to the result, to make it long.
    pub pad: usize,
    /// `fail=1`: ends with an error after its run time.
    pub fail: bool,
    /// `beat=500ms`: time between two heartbeats of standing work.
    pub beat: Duration,
    /// `crash_at=2s`: ends with an error after this time.
    pub crash_at: Option<Duration>,
    /// `hang_at=2s`: sends no heartbeat after this time, but runs on.
    pub hang_at: Option<Duration>,
    /// `checkpoint=yes`: can be checkpointed and resumed.
    pub checkpoint: bool,
    /// `grow=2x`: uses so many times what it was given, in per cent.
    pub grow_percent: u64,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            id: String::new(),
            run: None,
            result: "ok".to_owned(),
            pad: 0,
            fail: false,
            beat: DEFAULT_BEAT,
            crash_at: None,
            hang_at: None,
            checkpoint: false,
            grow_percent: HUNDRED_PERCENT,
        }
    }
}

impl Payload {
    /// Reads a payload; any text is one.
    pub fn parse(text: &str) -> Self {
        let mut payload = Self::default();
        text.split_whitespace()
            .filter_map(|word| word.split_once('='))
            .for_each(|(key, value)| payload.set(key, value));
        payload
    }

    /// The result that a caller gets on success.
    pub fn expected_result(&self) -> String {
        format!("{}|{}|{}", self.id, self.result, "x".repeat(self.pad))
    }

    fn set(&mut self, key: &str, value: &str) {
        match key {
            "id" => value.clone_into(&mut self.id),
            "run" => self.run = parse_duration(value),
            "result" => value.clone_into(&mut self.result),
            "pad" => self.pad = value.parse().unwrap_or(0),
            "fail" => self.fail = value == "1",
            "beat" => self.beat = parse_duration(value).unwrap_or(DEFAULT_BEAT),
            "crash_at" => self.crash_at = parse_duration(value),
            "hang_at" => self.hang_at = parse_duration(value),
            "checkpoint" => self.checkpoint = value == "yes",
            "grow" => self.grow_percent = parse_factor(value).unwrap_or(HUNDRED_PERCENT),
            _ => {}
        }
    }
}

impl fmt::Display for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "id={} result={}", self.id, self.result)?;
        let times = [("run", self.run), ("crash_at", self.crash_at), ("hang_at", self.hang_at)];
        for (key, time) in times {
            if let Some(time) = time {
                write!(f, " {key}={}ms", time.as_millis())?;
            }
        }
        if self.beat != DEFAULT_BEAT {
            write!(f, " beat={}ms", self.beat.as_millis())?;
        }
        if self.pad > 0 {
            write!(f, " pad={}", self.pad)?;
        }
        if self.fail {
            f.write_str(" fail=1")?;
        }
        if self.checkpoint {
            f.write_str(" checkpoint=yes")?;
        }
        if self.grow_percent != HUNDRED_PERCENT {
            write!(f, " grow={}x", self.grow_percent as f64 / HUNDRED_PERCENT as f64)?;
        }
        Ok(())
    }
}

/// Reads `250ms`, `2s` or a plain number of milliseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    if let Some(s) = text.strip_suffix('s') {
        return s.parse().ok().map(Duration::from_secs);
    }
    text.parse().ok().map(Duration::from_millis)
}

/// Reads `2x` or `1.5x` as per cent.
fn parse_factor(text: &str) -> Option<u64> {
    let factor: f64 = text.strip_suffix('x').unwrap_or(text).parse().ok()?;
    (0.0..=1000.0).contains(&factor).then_some((factor * HUNDRED_PERCENT as f64) as u64)
}
