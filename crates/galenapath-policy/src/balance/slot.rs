//! Handle of a backend server inside one balancer.

/// Dense handle of a backend server inside one [`Balancer`](crate::Balancer).
///
/// A handle of a server that has been removed stays invalid when its place is used again: the
/// generation of the place is part of the handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Slot(u32);

/// Bits of a handle that hold the place; the rest holds the generation.
const INDEX_BITS: u32 = 20;
const INDEX_MASK: u32 = (1 << INDEX_BITS) - 1;
const GENERATION_MASK: u32 = (1 << (u32::BITS - INDEX_BITS)) - 1;

impl Slot {
    /// Most backend servers that one balancer can hold.
    pub(super) const MAX_INDEX: usize = INDEX_MASK as usize;

    /// Builds the handle of place `index`, which must not exceed [`Self::MAX_INDEX`].
    pub(super) fn new(index: usize, generation: u32) -> Self {
        Self((index as u32 & INDEX_MASK) | ((generation & GENERATION_MASK) << INDEX_BITS))
    }

    /// Place of the server in the balancer's table.
    pub(super) fn index(self) -> usize {
        (self.0 & INDEX_MASK) as usize
    }

    /// Generation of the place when the handle was given out.
    pub(super) fn generation(self) -> u32 {
        self.0 >> INDEX_BITS
    }

    /// The generation that follows `generation`.
    pub(super) fn next_generation(generation: u32) -> u32 {
        (generation + 1) & GENERATION_MASK
    }
}
