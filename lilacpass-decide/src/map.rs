//! A hash map whose order is the same in each run, so that decisions can be replayed.

use std::{
    collections::{HashMap, hash_map::DefaultHasher},
    hash::BuildHasherDefault,
};

/// A hash map with a fixed hash key.
pub(crate) type Map<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
