//! Tests with values that are generated from fixed seeds.

use std::{
    fmt::Debug,
    ops::RangeInclusive,
    panic::{self, AssertUnwindSafe},
};

use bolero::{
    TypeGenerator, ValueGenerator,
    generator::bolero_generator::driver::{ByteSliceDriver, Options},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Maximum number of seeds tried per value. A generator may reject the bytes of a seed.
const MAX_SEEDS_PER_VALUE: u64 = 16;

/// Calls `test` with `count` values of `generator`.
pub(crate) fn run<G>(generator: &G, count: u64, max_len: usize, test: &impl Fn(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let generate = |seed| with_driver(seed, max_len, |driver| generator.generate(driver));
    run_values(count, generate, test);
}

/// Calls `test` with `count` lists. Their lengths cycle through `len`, from shortest to longest.
pub(crate) fn run_lists<T>(
    count: u64,
    len: &RangeInclusive<usize>,
    max_len: usize,
    test: &impl Fn(&Vec<T>),
) where
    T: TypeGenerator + Debug,
{
    let length_count = (len.end() - len.start()) as u64 + 1;
    let generate = |seed| {
        let length = *len.start() + (seed % length_count) as usize;
        with_driver(seed, max_len, |driver| (0..length).map(|_| T::generate(driver)).collect())
    };
    run_values(count, generate, test);
}

fn run_values<T: Debug>(count: u64, generate: impl Fn(u64) -> Option<T>, test: &impl Fn(&T)) {
    let max_seeds = count.saturating_mul(MAX_SEEDS_PER_VALUE);
    let values = (0..max_seeds).filter_map(|seed| Some((seed, generate(seed)?)));
    let mut tested = 0;
    for (seed, value) in values.take(usize::try_from(count).unwrap_or(usize::MAX)) {
        run_value(seed, &value, test);
        tested += 1;
    }
    assert_eq!(tested, count, "the generator rejects nearly all seeds");
}

fn run_value<T: Debug>(seed: u64, value: &T, test: &impl Fn(&T)) {
    let result = panic::catch_unwind(AssertUnwindSafe(|| test(value)));
    if let Err(payload) = result {
        eprintln!("seed {seed} fails with {value:?}");
        panic::resume_unwind(payload);
    }
}

fn with_driver<T>(
    seed: u64,
    max_len: usize,
    generate: impl FnOnce(&mut ByteSliceDriver<'_>) -> Option<T>,
) -> Option<T> {
    let mut bytes = vec![0; max_len];
    StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default().with_max_len(max_len);
    generate(&mut ByteSliceDriver::new(&bytes, &options))
}
