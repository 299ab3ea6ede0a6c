//! Linear regression of a measured cost.

/// Linear model of a cost that grows with a count.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// Name of the measurement in the printed tables.
    pub name: &'static str,
    /// Unit of the cost, such as `ns`.
    pub unit: &'static str,
    /// Cost at a count of 0.
    pub fixed: f64,
    /// Increase of the cost per item.
    pub per_item: f64,
    /// Largest deviation of a measurement from the line, as a fraction of the largest cost.
    pub residual: f64,
    /// Largest count that was measured; the cost at a higher count is extrapolated.
    pub largest_count: f64,
}

impl LinearFit {
    /// Returns the estimated cost at a count.
    #[must_use]
    pub fn at(&self, count: f64) -> f64 {
        self.fixed + self.per_item * count
    }
}

/// Fits a line to points of count and cost by the method of least squares.
///
/// # Panics
///
/// Panics if there are fewer than two points.
#[must_use]
pub fn fit(name: &'static str, unit: &'static str, points: &[(f64, f64)]) -> LinearFit {
    assert!(points.len() >= 2, "a line needs at least two points");
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>();
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let per_item = covariance / variance;
    let fixed = mean_y - per_item * mean_x;
    let max_cost = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let max_deviation = points
        .iter()
        .map(|p| (p.1 - fixed - per_item * p.0).abs())
        .fold(0.0, f64::max);
    let largest_count = points.iter().map(|p| p.0).fold(0.0, f64::max);
    LinearFit {
        name,
        unit,
        fixed,
        per_item,
        residual: max_deviation / max_cost,
        largest_count,
    }
}
