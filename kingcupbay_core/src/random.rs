//! A seeded random number generator for load distribution and experiments.
//! It is not suitable for secrets.

/// SplitMix64, after Steele, Lea and Flood (2014).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator; the same seed gives the same numbers.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a number below `limit`, which must not be 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.draw() % limit
    }

    /// Returns a number uniformly distributed over `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an exponentially distributed number with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }

    /// Returns up to `count` randomly chosen items of `from`, without repeats.
    pub fn sample<T>(&mut self, mut from: Vec<T>, count: usize) -> Vec<T> {
        let mut sampled = Vec::new();
        while sampled.len() < count && !from.is_empty() {
            let index = self.below(from.len() as u64) as usize;
            sampled.push(from.swap_remove(index));
        }
        sampled
    }
}

/// Mixes the bits of `value` so that each output bit depends on every input
/// bit: the finaliser of SplitMix64.
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
