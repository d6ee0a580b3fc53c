//! A seeded generator, for spreading load and for experiments, not for secrets.

/// SplitMix64, after Steele, Lea and Flood (2014).
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
        mix(self.0)
    }

    /// A number below `limit`, which is not 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.draw() % limit
    }

    /// Even over `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Exponential with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
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

/// Mixes the bits of `value` so that each depends on all: the finaliser of
/// SplitMix64.
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
