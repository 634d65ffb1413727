//! Quantiles and means of samples.

/// Returns the value below which the share `q` of `values` lies; `None` without values. Sorts them.
pub(crate) fn quantile(values: &mut [f64], q: f64) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    values.get((last as f64 * q).round() as usize).copied()
}

/// Returns the mean; 0 without values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}
