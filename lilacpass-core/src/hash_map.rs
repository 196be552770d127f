//! A hash map with a hash function that is fast for short keys.

use std::collections;

use foldhash::fast::RandomState;

/// A hash map whose hash function is several times as fast for ids as that of the standard library. Its seed is random,
/// so that clients, who choose the ids of their jobs, cannot make them collide.
pub type HashMap<K, V> = collections::HashMap<K, V, RandomState>;
