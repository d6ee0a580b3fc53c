//! Fits a straight line to three points.

/// The least-squares line and its largest error.
pub(super) struct Fit {
    /// Value at size 0.
    pub(super) intercept: f64,
    /// Growth per unit of size.
    pub(super) slope: f64,
    /// Largest error as a fraction of the largest value. It is large if the figure
    /// does not grow linearly or the machine was busy.
    pub(super) residual: f64,
}

impl Fit {
    /// Fits the line to `values` at `sizes`.
    pub(super) fn of(sizes: [f64; 3], values: [f64; 3]) -> Fit {
        let mean = |of: [f64; 3]| of.iter().sum::<f64>() / 3.0;
        let (middle, level) = (mean(sizes), mean(values));
        let pairs = || sizes.into_iter().zip(values);
        let spread: f64 = sizes.iter().map(|size| (size - middle).powi(2)).sum();
        let common: f64 = pairs().map(|(size, value)| (size - middle) * (value - level)).sum();
        let slope = common / spread;
        let intercept = level - slope * middle;
        let error = |(size, value): (f64, f64)| (value - intercept - slope * size).abs();
        let error = pairs().map(error).fold(0.0, f64::max);
        let most = values.into_iter().map(f64::abs).fold(f64::MIN_POSITIVE, f64::max);
        Fit { intercept, slope, residual: error / most }
    }
}
