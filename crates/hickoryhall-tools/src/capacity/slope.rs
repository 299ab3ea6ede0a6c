//! Straight lines through measurements.

/// A cost that grows with a count.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Cost of nothing.
    pub fixed: f64,
    /// Cost of each one more.
    pub each: f64,
    /// Largest distance of a measurement from the line, as a part of the largest one.
    pub residual: f64,
    /// Largest count measured.
    pub largest: f64,
}

impl Slope {
    /// Returns the cost at a count.
    #[must_use]
    pub fn at(&self, count: f64) -> f64 {
        self.fixed + self.each * count
    }
}

/// Fits a line through points of count and cost, by least squares.
///
/// # Panics
///
/// Panics where there are fewer than two points.
#[must_use]
pub fn fit(name: &'static str, unit: &'static str, points: &[(f64, f64)]) -> Slope {
    assert!(points.len() >= 2, "a line needs two points");
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>();
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let each = covariance / variance;
    let fixed = mean_y - each * mean_x;
    let largest_cost = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let off = points
        .iter()
        .map(|p| (p.1 - fixed - each * p.0).abs())
        .fold(0.0, f64::max);
    let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
    Slope {
        name,
        unit,
        fixed,
        each,
        residual: off / largest_cost,
        largest,
    }
}
