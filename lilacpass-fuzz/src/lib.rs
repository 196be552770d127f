//! Runs fuzz tests with fixed seeds, or as a long random search.
//!
//! bolero draws its seeds from the operating system, so that two runs of a plain `cargo test` do
//! not try the same. Here the bytes that its generators read come from seeds 0, 1, 2 and so on:
//! the verdict is the same each time.
//!
//! Two environment variables make a run longer:
//!
//! - `LILACPASS_FUZZ_SEEDS=n` tries at least `n` fixed seeds, and never fewer than the test's own.
//! - `LILACPASS_FUZZ_SECONDS=n` has bolero itself search at random for `n` seconds a test, in place
//!   of the fixed seeds, and shrink what it finds.

mod fixed;
mod random;

use std::{env, fmt::Debug, ops::RangeInclusive, panic::RefUnwindSafe};

use bolero::{TypeGenerator, ValueGenerator, produce};

/// Environment variable with the seconds that a random search may take.
pub const SECONDS_VAR: &str = "LILACPASS_FUZZ_SECONDS";
/// Environment variable with the number of fixed seeds, where more than the test's own are wanted.
pub const SEEDS_VAR: &str = "LILACPASS_FUZZ_SEEDS";

/// Most bytes that a list is made from.
const LIST_BYTES: usize = 1 << 14;

/// Calls `test` with `seeds` values of a type, made from at most `max_len` bytes each.
///
/// # Panics
///
/// Where `test` panics; the message before names the seed.
pub fn check<T>(seeds: u64, max_len: usize, test: impl Fn(&T) + RefUnwindSafe)
where
    T: TypeGenerator + Debug + RefUnwindSafe + 'static,
{
    check_with(produce::<T>(), seeds, max_len, test);
}

/// Calls `test` with `seeds` values of `generator`, made from at most `max_len` bytes each.
///
/// # Panics
///
/// Where `test` panics; the message before names the seed.
pub fn check_with<G>(
    generator: G,
    seeds: u64,
    max_len: usize,
    test: impl Fn(&G::Output) + RefUnwindSafe,
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    match number(SECONDS_VAR) {
        Some(seconds) => random::search(generator, seconds, max_len, &test),
        None => fixed::run(&generator, at_least(seeds), max_len, &test),
    }
}

/// Calls `test` with `seeds` lists with as many items as `len` allows; the fixed seeds go through
/// all these lengths in turn.
///
/// # Panics
///
/// Where `test` panics; the message before names the seed.
pub fn check_lists<T>(seeds: u64, len: RangeInclusive<usize>, test: impl Fn(&[T]) + RefUnwindSafe)
where
    T: TypeGenerator + Debug + RefUnwindSafe + 'static,
{
    let test = |list: &Vec<T>| test(list);
    if let Some(seconds) = number(SECONDS_VAR) {
        let lists = produce::<Vec<T>>().with().len(len);
        random::search(lists, seconds, LIST_BYTES, &test);
    } else {
        fixed::run_lists(at_least(seeds), &len, LIST_BYTES, &test);
    }
}

/// Calls `test` with `seeds` byte strings of at most `max_len` bytes.
///
/// # Panics
///
/// Where `test` panics; the message before names the seed.
pub fn check_bytes(seeds: u64, max_len: usize, test: impl Fn(&[u8]) + RefUnwindSafe) {
    check_lists::<u8>(seeds, 0..=max_len, test);
}

fn at_least(seeds: u64) -> u64 {
    number(SEEDS_VAR).map_or(seeds, |more| more.max(seeds))
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
