//! A seeded random generator (SplitMix64) and the distributions of the experiment.

use kingcupbay_core::random;

/// A random generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(random::Random);

impl Random {
    /// Creates the generator number `stream` of `seed`. Streams are independent, so
    /// that one organisation can send more while the others send the same.
    pub(crate) fn new(seed: u64, stream: u64) -> Random {
        let own = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (stream << 32);
        let mut random = random::Random::new(own);
        random.draw();
        Random(random)
    }

    /// Draws from the uniform distribution over `[0, 1)`.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0.unit()
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }

    /// Draws from the exponential distribution with the given mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        self.0.exponential(mean)
    }

    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.below(last + 1));
        }
    }
}

/// Distribution of ranks by Zipf's law.
#[derive(Debug)]
pub(crate) struct Zipf {
    /// Cumulative probability up to each rank; the last one is 1.
    sums: Vec<f64>,
}

impl Zipf {
    pub(crate) fn new(count: usize, exponent: f64) -> Zipf {
        let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
        let mut sums: Vec<f64> = weights
            .scan(0.0, |sum, weight| {
                *sum += weight;
                Some(*sum)
            })
            .collect();
        let all = sums.last().copied().unwrap_or(1.0);
        sums.iter_mut().for_each(|sum| *sum /= all);
        Zipf { sums }
    }

    pub(crate) fn rank(&self, random: &mut Random) -> usize {
        let drawn = random.unit();
        self.sums.partition_point(|&sum| sum <= drawn).min(self.sums.len() - 1)
    }
}
