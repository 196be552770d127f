//! Random search with bolero, which also shrinks failing values.

use std::{fmt::Debug, panic::RefUnwindSafe, time::Duration};

use bolero::ValueGenerator;

/// Calls `test` with random values of `generator` for the given number of seconds.
pub(crate) fn search<G>(
    generator: G,
    seconds: u64,
    max_len: usize,
    test: &(impl Fn(&G::Output) + RefUnwindSafe),
) where
    G: ValueGenerator + RefUnwindSafe,
    G::Output: Debug,
{
    bolero::check!()
        .with_test_time(Duration::from_secs(seconds))
        .with_max_len(max_len)
        .with_generator(generator)
        .for_each(|value| test(value));
}
