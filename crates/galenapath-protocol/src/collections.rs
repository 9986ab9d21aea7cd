//! Hash collections with a fast hasher.

use foldhash::fast::RandomState;
use std::collections::{HashMap, HashSet};

/// A hash map with a fast hasher, seeded at random in each process so that callers cannot choose
/// keys that collide.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// A hash set with the same hasher as [`FastMap`].
pub type FastSet<T> = HashSet<T, RandomState>;
