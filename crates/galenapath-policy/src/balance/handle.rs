//! Handles of backend servers.

/// Handle of a backend server, valid in the [`Balancer`](crate::Balancer) that returned it.
///
/// It holds an index into the server table and the generation of that table entry. The handle of a
/// removed server therefore stays invalid when its entry is reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendHandle(u32);

/// Bits of a handle that hold the index; the others hold the generation.
const INDEX_BITS: u32 = 20;
const INDEX_MASK: u32 = (1 << INDEX_BITS) - 1;
const GENERATION_MASK: u32 = (1 << (u32::BITS - INDEX_BITS)) - 1;

impl BackendHandle {
    /// Largest index into the server table.
    pub(super) const MAX_INDEX: usize = INDEX_MASK as usize;

    /// Returns the handle of entry `index`, which must not exceed [`Self::MAX_INDEX`].
    pub(super) fn new(index: usize, generation: u32) -> Self {
        Self((index as u32 & INDEX_MASK) | ((generation & GENERATION_MASK) << INDEX_BITS))
    }

    /// Index of the server in the balancer's table.
    pub(super) fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }

    /// Generation of the table entry when the handle was created.
    pub(super) fn generation(self) -> u32 {
        self.0 >> INDEX_BITS
    }

    /// Returns the generation after `generation`, wrapping around.
    pub(super) fn next_generation(generation: u32) -> u32 {
        (generation + 1) & GENERATION_MASK
    }
}
