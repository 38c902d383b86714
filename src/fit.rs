//! Straight lines through measured points.

use serde::Serialize;

/// One measured value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// The line `intercept + slope * x` of least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Value at 0.
    pub intercept: f64,
    /// Growth for each step of 1.
    pub slope: f64,
    /// Root mean square of the deviations, divided by the mean magnitude of the
    /// values.
    pub relative_rms: f64,
}

impl Fit {
    /// Fits a line; `None` without two different values of `x`.
    pub fn new(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let mean_x = mean(|point| point.x);
        let mean_y = mean(|point| point.y);
        let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let common: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = common / spread;
        let intercept = mean_y - slope * mean_x;
        let deviation = |p: &Point| (p.y - intercept - slope * p.x).powi(2);
        let rms = (points.iter().map(deviation).sum::<f64>() / count).sqrt();
        let magnitude = mean(|point| point.y.abs());
        let relative_rms = if magnitude == 0.0 {
            0.0
        } else {
            rms / magnitude
        };
        Some(Self {
            intercept,
            slope,
            relative_rms,
        })
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
