//! Runs fuzz tests with fixed seeds, or as a long random search.
//!
//! bolero draws its seeds from the operating system, so that two runs of a plain `cargo test` do
//! not try the same. Here the bytes that its generators read come from seeds 0, 1, 2 and so on:
//! the verdict is the same each time. With `LILACPASS_FUZZ_SECONDS` set, bolero itself searches at
//! random for that long and shrinks what it finds.

use std::{
    env,
    fmt::Debug,
    panic::{self, AssertUnwindSafe, RefUnwindSafe},
    time::Duration,
};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{ByteSliceDriver, Options},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Environment variable with the seconds that a random search may take.
pub const SECONDS_VAR: &str = "LILACPASS_FUZZ_SECONDS";
/// Environment variable with the number of fixed seeds, in place of the test's own.
pub const SEEDS_VAR: &str = "LILACPASS_FUZZ_SEEDS";

/// Calls `test` with values made from seeds 0 up to `seeds`, of at most `max_len` bytes each.
///
/// # Panics
///
/// Where `test` panics; the message before names the seed.
pub fn check<T>(seeds: u64, max_len: usize, test: impl Fn(&T) + RefUnwindSafe)
where
    T: TypeGenerator + Debug + 'static,
{
    if let Some(seconds) = number(SECONDS_VAR) {
        bolero::check!()
            .with_test_time(Duration::from_secs(seconds))
            .with_max_len(max_len)
            .with_type::<T>()
            .for_each(|value| test(value));
        return;
    }
    for seed in 0..number(SEEDS_VAR).unwrap_or(seeds) {
        check_seed(seed, max_len, &test);
    }
}

fn check_seed<T>(seed: u64, max_len: usize, test: &impl Fn(&T))
where
    T: TypeGenerator + Debug + 'static,
{
    let mut bytes = vec![0; max_len];
    StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default().with_max_len(max_len);
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    let Some(value) = T::generate(&mut driver) else { return };
    let outcome = panic::catch_unwind(AssertUnwindSafe(|| test(&value)));
    if let Err(reason) = outcome {
        eprintln!("seed {seed} fails with {value:?}");
        panic::resume_unwind(reason);
    }
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
