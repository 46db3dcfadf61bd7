//! A straight line through a gauge over windows.

/// Sums for a least-squares line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearTrend {
    /// Values in it.
    pub count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_yy: f64,
    /// The last value.
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

    /// Its mean.
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 {
            self.sum_y / self.count
        } else {
            0.0
        }
    }

    /// How much it rises with each window, and the variance of that by how far the values are from the line.
    /// They are taken to be off by some `usual` part of the mean, as if four more windows had shown that.
    /// None of fewer than four.
    pub fn slope(&self, usual: f64) -> Option<(f64, f64)> {
        let n = self.count;
        let spread = self.sum_xx - self.sum_x * self.sum_x / n;
        if n < 4.0 || spread <= 0.0 {
            return None;
        }
        let common = self.sum_xy - self.sum_x * self.sum_y / n;
        let slope = common / spread;
        let off = (self.sum_yy - self.sum_y * self.sum_y / n - slope * common).max(0.0);
        let usual = 4.0 * (usual * self.mean()).powi(2);
        Some((slope, (off + usual) / (n - 2.0 + 4.0) / spread))
    }
}
