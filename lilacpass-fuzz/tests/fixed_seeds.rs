//! Runs without environment variables must always test the same values, and as many as requested.
//!
//! The digests come from earlier processes, so a passing test shows that two runs generate the same values. Other
//! versions of bolero or rand may generate other values; then the digests have to be updated.

use std::{env, fmt::Debug, panic, sync::Mutex};

use bolero::{TypeGenerator, produce};

#[derive(Debug, TypeGenerator)]
enum Step {
    Start { worker: u8, slots: u16 },
    Stop(String),
    Wait,
}

/// The values that a check passed to its test, as text.
#[derive(Default)]
struct Recorder(Mutex<Vec<String>>);

impl Recorder {
    fn record(&self, value: &impl Debug) {
        self.0.lock().unwrap().push(format!("{value:?}\n"));
    }

    /// Checks the number and the digest of the values, unless an environment variable changes them.
    fn assert_values(&self, count: usize, digest: &str) {
        if !is_default_run() {
            return;
        }
        let values = self.0.lock().unwrap();
        let actual = blake3::hash(values.concat().as_bytes()).to_hex();
        assert_eq!((values.len(), &actual[..16]), (count, digest));
    }
}

/// Whether no environment variable changes which values are tested.
fn is_default_run() -> bool {
    [lilacpass_fuzz::SECONDS_VAR, lilacpass_fuzz::SEEDS_VAR]
        .iter()
        .all(|v| env::var_os(v).is_none())
}

#[test]
fn values_of_a_type_are_the_same_in_each_run() {
    let recorder = Recorder::default();
    lilacpass_fuzz::check::<(u64, Vec<Step>)>(300, 1 << 10, |value| recorder.record(value));
    recorder.assert_values(300, "5cda6f043c4a4409");
}

#[test]
fn values_of_a_generator_are_the_same_in_each_run() {
    let recorder = Recorder::default();
    let steps = produce::<Vec<Step>>().with().len(1..=20_usize);
    lilacpass_fuzz::check_with(steps, 300, 1 << 10, |value| recorder.record(value));
    recorder.assert_values(300, "1db376c386ba6f39");
}

#[test]
fn lists_are_the_same_in_each_run() {
    let recorder = Recorder::default();
    lilacpass_fuzz::check_lists::<Step>(300, 3..=30, |list| recorder.record(&list));
    recorder.assert_values(300, "b5315a7eb3d11575");
}

#[test]
fn bytes_are_the_same_in_each_run() {
    let recorder = Recorder::default();
    lilacpass_fuzz::check_bytes(300, 200, |bytes| recorder.record(&bytes));
    recorder.assert_values(300, "02828ce692637753");
}

#[test]
fn lengths_of_lists_cycle_through_the_range() {
    let lengths = Mutex::new(Vec::new());
    lilacpass_fuzz::check_lists::<u8>(10, 3..=6, |list| lengths.lock().unwrap().push(list.len()));
    if is_default_run() {
        assert_eq!(*lengths.lock().unwrap(), [3, 4, 5, 6, 3, 4, 5, 6, 3, 4]);
    }
}

#[test]
fn a_panic_of_the_test_is_propagated() {
    let result = panic::catch_unwind(|| {
        lilacpass_fuzz::check::<u8>(1_000, 1, |value| assert!(*value < 200, "too large"));
    });
    assert!(result.is_err());
}
