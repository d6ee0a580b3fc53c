//! A straight line through measured points.

/// The line of least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// Value at zero.
    pub(crate) base: f64,
    /// Growth for one more.
    pub(crate) slope: f64,
    /// Largest distance of a point from the line.
    pub(crate) residual: f64,
}

impl Line {
    /// The line through `points`; two at least, at different places.
    pub(crate) fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let slope = joint / spread;
        let base = y - slope * x;
        let distance = |point: &(f64, f64)| (point.1 - base - slope * point.0).abs();
        let residual = points.iter().map(distance).fold(0.0, f64::max);
        Some(Line { base, slope, residual })
    }

    /// The line's value at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
