//! Choice of peers by a seeded generator.

/// A small generator (SplitMix64): for spreading load, not for secrets.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `limit`, which is not 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.draw() % limit
    }

    /// Up to `count` different ones of `from`.
    pub fn pick<T>(&mut self, mut from: Vec<T>, count: usize) -> Vec<T> {
        let mut picked = Vec::new();
        while picked.len() < count && !from.is_empty() {
            let place = self.below(from.len() as u64) as usize;
            picked.push(from.swap_remove(place));
        }
        picked
    }
}
