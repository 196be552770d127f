//! Values from fixed seeds.

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

/// Seeds that may be tried for one value; a generator can refuse the bytes of a seed.
const SEEDS_PER_VALUE: u64 = 16;

/// Tests `count` values of `generator`.
pub(crate) fn run<G>(generator: &G, count: u64, max_len: usize, test: &impl Fn(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let value = |seed| with_driver(seed, max_len, |driver| generator.generate(driver));
    run_values(count, value, test);
}

/// Tests `count` lists; each has one item more than the one before, up to the most, then again
/// the fewest.
pub(crate) fn run_lists<T>(
    count: u64,
    len: &RangeInclusive<usize>,
    max_len: usize,
    test: &impl Fn(&Vec<T>),
) where
    T: TypeGenerator + Debug,
{
    let lengths = (len.end() - len.start()) as u64 + 1;
    let list = |seed| {
        let items = *len.start() + (seed % lengths) as usize;
        with_driver(seed, max_len, |driver| (0..items).map(|_| T::generate(driver)).collect())
    };
    run_values(count, list, test);
}

fn run_values<T: Debug>(count: u64, value: impl Fn(u64) -> Option<T>, test: &impl Fn(&T)) {
    let most = count.saturating_mul(SEEDS_PER_VALUE);
    let values = (0..most).filter_map(|seed| Some((seed, value(seed)?)));
    let mut tested = 0;
    for (seed, value) in values.take(usize::try_from(count).unwrap_or(usize::MAX)) {
        run_value(seed, &value, test);
        tested += 1;
    }
    assert_eq!(tested, count, "the generator refuses nearly all bytes");
}

fn run_value<T: Debug>(seed: u64, value: &T, test: &impl Fn(&T)) {
    let outcome = panic::catch_unwind(AssertUnwindSafe(|| test(value)));
    if let Err(reason) = outcome {
        eprintln!("seed {seed} fails with {value:?}");
        panic::resume_unwind(reason);
    }
}

fn with_driver<T>(
    seed: u64,
    max_len: usize,
    make: impl FnOnce(&mut ByteSliceDriver<'_>) -> Option<T>,
) -> Option<T> {
    let mut bytes = vec![0; max_len];
    StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default().with_max_len(max_len);
    make(&mut ByteSliceDriver::new(&bytes, &options))
}
