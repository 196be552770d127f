//! Runs fuzz tests with fixed seeds, or as a long random search.
//!
//! bolero takes its seeds from the operating system, so two runs of `cargo test` would test different values. This
//! crate feeds the generators with bytes from the seeds 0, 1, 2 and so on, which makes the result reproducible.
//!
//! Two environment variables make a run longer:
//!
//! - `LILACPASS_FUZZ_SEEDS=n` tries `n` fixed seeds, or as many as the test itself requests if that is more.
//! - `LILACPASS_FUZZ_SECONDS=n` replaces the fixed seeds by bolero's random search, which takes `n` seconds per test
//!   and shrinks failing values.

mod fixed;
mod random;

use std::{env, fmt::Debug, ops::RangeInclusive, panic::RefUnwindSafe};

use bolero::{TypeGenerator, ValueGenerator, produce};

/// Environment variable that enables the random search and holds its duration in seconds.
pub const SECONDS_VAR: &str = "LILACPASS_FUZZ_SECONDS";
/// Environment variable with the minimum number of fixed seeds per test; it never reduces the number of a test.
pub const SEEDS_VAR: &str = "LILACPASS_FUZZ_SEEDS";

/// Maximum number of bytes from which a list is generated.
const MAX_LIST_BYTES: usize = 1 << 14;

/// Calls `test` with `seeds` values of a type, each generated from at most `max_len` bytes.
///
/// # Panics
///
/// Panics if `test` panics. The seed and the value are printed before.
pub fn check<T>(seeds: u64, max_len: usize, test: impl Fn(&T) + RefUnwindSafe)
where
    T: TypeGenerator + Debug + RefUnwindSafe + 'static,
{
    check_with(produce::<T>(), seeds, max_len, test);
}

/// Calls `test` with `seeds` values of `generator`, each generated from at most `max_len` bytes.
///
/// # Panics
///
/// Panics if `test` panics. The seed and the value are printed before.
pub fn check_with<G>(
    generator: G,
    seeds: u64,
    max_len: usize,
    test: impl Fn(&G::Output) + RefUnwindSafe,
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    match env_number(SECONDS_VAR) {
        Some(seconds) => random::search(generator, seconds, max_len, &test),
        None => fixed::run(&generator, seed_count(seeds), max_len, &test),
    }
}

/// Calls `test` with `seeds` lists whose lengths are in `len`. With fixed seeds, the lengths cycle through this range.
///
/// # Panics
///
/// Panics if `test` panics. The seed and the value are printed before.
pub fn check_lists<T>(seeds: u64, len: RangeInclusive<usize>, test: impl Fn(&[T]) + RefUnwindSafe)
where
    T: TypeGenerator + Debug + RefUnwindSafe + 'static,
{
    let test = |list: &Vec<T>| test(list);
    if let Some(seconds) = env_number(SECONDS_VAR) {
        let lists = produce::<Vec<T>>().with().len(len);
        random::search(lists, seconds, MAX_LIST_BYTES, &test);
    } else {
        fixed::run_lists(seed_count(seeds), &len, MAX_LIST_BYTES, &test);
    }
}

/// Calls `test` with `seeds` byte strings of at most `max_len` bytes.
///
/// # Panics
///
/// Panics if `test` panics. The seed and the value are printed before.
pub fn check_bytes(seeds: u64, max_len: usize, test: impl Fn(&[u8]) + RefUnwindSafe) {
    check_lists::<u8>(seeds, 0..=max_len, test);
}

/// Returns the number of seeds to try: `seeds`, or the number in the environment if that is greater.
fn seed_count(seeds: u64) -> u64 {
    env_number(SEEDS_VAR).map_or(seeds, |from_env| from_env.max(seeds))
}

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
