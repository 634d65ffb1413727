//! A straight line through points with outliers.

/// Most rounds of the fit.
const ROUNDS: usize = 20;
/// Smallest residual that is told from zero, relative to the average one.
const MIN_RESIDUAL: f64 = 0.01;

/// The line `y = base + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Line {
    pub(crate) base: f64,
    pub(crate) slope: f64,
}

impl Line {
    /// Fits a line to the points `(x, y)` below which the share `q` of the points lies, whatever
    /// their `x`: a quantile regression by reweighted least squares. Outliers move it little,
    /// however far off they are. Returns `None` if the points have too few different `x`.
    pub(crate) fn fit(points: &[(f64, f64)], q: f64) -> Option<Line> {
        let mut line = Line::least_squares(points, |_| 1.0)?;
        for _ in 0..ROUNDS {
            let residuals = points.iter().map(|point| line.residual(point).abs());
            let floor = residuals.sum::<f64>() / points.len() as f64 * MIN_RESIDUAL;
            if floor <= 0.0 {
                return Some(line);
            }
            line = Line::least_squares(points, |point| {
                let residual = line.residual(point);
                let side = if residual > 0.0 { q } else { 1.0 - q };
                side / residual.abs().max(floor)
            })?;
        }
        Some(line)
    }

    fn residual(&self, (x, y): &(f64, f64)) -> f64 {
        y - (self.base + self.slope * x)
    }

    fn least_squares(points: &[(f64, f64)], weight: impl Fn(&(f64, f64)) -> f64) -> Option<Line> {
        let weighted: Vec<(f64, f64, f64)> = points
            .iter()
            .map(|point| (point.0, point.1, weight(point)))
            .collect();
        let sum: f64 = weighted.iter().map(|(_, _, w)| w).sum();
        let x_mean = weighted.iter().map(|(x, _, w)| x * w).sum::<f64>() / sum;
        let y_mean = weighted.iter().map(|(_, y, w)| y * w).sum::<f64>() / sum;
        let deviations = weighted.iter().map(|(x, y, w)| (x - x_mean, y - y_mean, w));
        let (variance, covariance) = deviations
            .fold((0.0, 0.0), |(variance, covariance), (x, y, w)| {
                (variance + w * x * x, covariance + w * x * y)
            });
        if variance <= f64::EPSILON {
            return None;
        }
        let slope = covariance / variance;
        Some(Line {
            base: y_mean - slope * x_mean,
            slope,
        })
    }
}
