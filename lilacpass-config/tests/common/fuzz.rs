//! Runs a test over random lists: from fixed seeds, so that each run has the same verdict, and
//! on request from random seeds.
#![allow(dead_code, unreachable_pub)]

use std::{
    fmt,
    panic::{self, RefUnwindSafe},
};

use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Bytes that the items of one list are made of.
const LIST_BYTES: usize = 1 << 12;
/// Items of the longest list.
const MAX_ITEMS: u64 = 200;

/// Calls `run` with `count` lists from fixed seeds; then, with the environment variable
/// `LILACPASS_FUZZ_ITERATIONS` set, with so many lists from random seeds.
pub fn lists<T>(count: u64, run: impl Fn(&[T]) + RefUnwindSafe)
where
    T: bolero::TypeGenerator + fmt::Debug + RefUnwindSafe + 'static,
{
    for seed in 0..count {
        let list = list(seed);
        if let Err(failure) = panic::catch_unwind(|| run(&list)) {
            eprintln!("the list from seed {seed} fails");
            panic::resume_unwind(failure);
        }
    }
    let more = std::env::var("LILACPASS_FUZZ_ITERATIONS").ok().and_then(|n| n.parse().ok());
    if let Some(more) = more {
        bolero::check!()
            .with_iterations(more)
            .with_max_len(LIST_BYTES)
            .with_type::<Vec<T>>()
            .for_each(|list| run(list));
    }
}

fn list<T: bolero::TypeGenerator>(seed: u64) -> Vec<T> {
    let mut bytes = vec![0; LIST_BYTES];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default().with_max_len(LIST_BYTES);
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    (0..seed % MAX_ITEMS).filter_map(|_| T::generate(&mut driver)).collect()
}
