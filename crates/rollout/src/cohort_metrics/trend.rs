//! A straight line fitted to the values of a gauge, such as resident memory, over windows.

/// Sums for a least-squares line through the values of a gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearTrend {
    /// Number of values that were added.
    pub count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_yy: f64,
    /// Value that was added last.
    pub last: f64,
}

impl LinearTrend {
    pub(super) fn add(&mut self, x: f64, y: f64) {
        self.count += 1.0;
        self.sum_x += x;
        self.sum_y += y;
        self.sum_xx += x * x;
        self.sum_xy += x * y;
        self.sum_yy += y * y;
        self.last = y;
    }

    /// Returns the mean of the values; 0 if there are none.
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 {
            self.sum_y / self.count
        } else {
            0.0
        }
    }

    /// Returns the rise per window and the variance of that rise, which follows from the distances
    /// of the values from the line. The fit includes prior noise: a standard deviation of `noise`
    /// times the mean, weighted as four more windows. Returns `None` with fewer than four values.
    pub fn slope(&self, noise: f64) -> Option<(f64, f64)> {
        let n = self.count;
        let spread_x = self.sum_xx - self.sum_x * self.sum_x / n;
        if n < 4.0 || spread_x <= 0.0 {
            return None;
        }
        let covariance = self.sum_xy - self.sum_x * self.sum_y / n;
        let slope = covariance / spread_x;
        let residual = (self.sum_yy - self.sum_y * self.sum_y / n - slope * covariance).max(0.0);
        let prior = 4.0 * (noise * self.mean()).powi(2);
        Some((slope, (residual + prior) / (n - 2.0 + 4.0) / spread_x))
    }
}
