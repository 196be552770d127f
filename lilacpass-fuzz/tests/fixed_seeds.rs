//! Plain runs try the same values each time, and as many as they say.
//!
//! The digests were taken in other processes, so each run here shows that two plain runs agree.
//! Another version of bolero or rand may make other values: then they are to be taken anew.

use std::{env, fmt::Debug, panic, sync::Mutex};

use bolero::{TypeGenerator, produce};

#[derive(Debug, TypeGenerator)]
enum Step {
    Start { worker: u8, slots: u16 },
    Stop(String),
    Wait,
}

/// What a check has handed out, as text.
#[derive(Default)]
struct Seen(Mutex<Vec<String>>);

impl Seen {
    fn take(&self, value: &impl Debug) {
        self.0.lock().unwrap().push(format!("{value:?}\n"));
    }

    /// Compares number and digest of the values of a plain run.
    fn are(&self, count: usize, digest: &str) {
        if !is_plain() {
            return;
        }
        let values = self.0.lock().unwrap();
        let found = blake3::hash(values.concat().as_bytes()).to_hex();
        assert_eq!((values.len(), &found[..16]), (count, digest));
    }
}

/// Whether the values are those of a plain run.
fn is_plain() -> bool {
    [lilacpass_fuzz::SECONDS_VAR, lilacpass_fuzz::SEEDS_VAR]
        .iter()
        .all(|v| env::var_os(v).is_none())
}

#[test]
fn values_of_a_type_are_the_same_in_each_run() {
    let seen = Seen::default();
    lilacpass_fuzz::check::<(u64, Vec<Step>)>(300, 1 << 10, |value| seen.take(value));
    seen.are(300, "5cda6f043c4a4409");
}

#[test]
fn values_of_a_generator_are_the_same_in_each_run() {
    let seen = Seen::default();
    let steps = produce::<Vec<Step>>().with().len(1..=20_usize);
    lilacpass_fuzz::check_with(steps, 300, 1 << 10, |value| seen.take(value));
    seen.are(300, "1db376c386ba6f39");
}

#[test]
fn lists_are_the_same_in_each_run() {
    let seen = Seen::default();
    lilacpass_fuzz::check_lists::<Step>(300, 3..=30, |list| seen.take(&list));
    seen.are(300, "b5315a7eb3d11575");
}

#[test]
fn bytes_are_the_same_in_each_run() {
    let seen = Seen::default();
    lilacpass_fuzz::check_bytes(300, 200, |bytes| seen.take(&bytes));
    seen.are(300, "02828ce692637753");
}

#[test]
fn lists_have_all_lengths_in_turn() {
    let lengths = Mutex::new(Vec::new());
    lilacpass_fuzz::check_lists::<u8>(10, 3..=6, |list| lengths.lock().unwrap().push(list.len()));
    if is_plain() {
        assert_eq!(*lengths.lock().unwrap(), [3, 4, 5, 6, 3, 4, 5, 6, 3, 4]);
    }
}

#[test]
fn a_failure_reaches_the_test() {
    let outcome = panic::catch_unwind(|| {
        lilacpass_fuzz::check::<u8>(1_000, 1, |value| assert!(*value < 200, "too large"));
    });
    assert!(outcome.is_err());
}
