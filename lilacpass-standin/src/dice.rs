//! Seeded chance, for faults that strike some calls and not others.

use std::sync::{Mutex, PoisonError};

use rand::{RngExt, SeedableRng, rngs::StdRng};

const PERMILLE: u32 = 1000;

/// A shared random number generator with a fixed seed.
#[derive(Debug)]
pub struct Dice(Mutex<StdRng>);

impl Dice {
    /// A generator that gives the same sequence for the same seed.
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(StdRng::seed_from_u64(seed)))
    }

    /// True in `permille` of a thousand calls.
    pub fn strikes(&self, permille: u32) -> bool {
        if permille == 0 {
            return false;
        }
        let mut rng = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..PERMILLE) < permille
    }
}
