//! Seeded pseudo-random numbers, so that the same seed leads to the same decisions.

use xxhash_rust::xxh3;

/// A pseudo-random number generator.
#[derive(Debug, Clone, Copy)]
pub struct Random {
    seed: u64,
    drawn: u64,
}

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// A number below `bound`; zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        self.drawn += 1;
        let number = xxh3::xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed);
        (number % bound.max(1) as u64) as usize
    }

    /// Shuffles a list.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for i in (1..list.len()).rev() {
            list.swap(i, self.below(i + 1));
        }
    }
}
