//! Random search by bolero, which also shrinks what it finds.

use std::{fmt::Debug, panic::RefUnwindSafe, time::Duration};

use bolero::ValueGenerator;

/// Tests random values of `generator` for some seconds.
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
