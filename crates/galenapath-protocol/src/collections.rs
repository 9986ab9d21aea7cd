//! Hash collections with a fast hasher.

use foldhash::fast::RandomState;
use std::collections::{HashMap, HashSet};

/// A hash map with the workspace's hasher: seeded at random per process, so a caller cannot choose
/// keys that collide.
pub type FastMap<K, V> = HashMap<K, V, RandomState>;

/// A hash set with the workspace's hasher.
pub type FastSet<T> = HashSet<T, RandomState>;
