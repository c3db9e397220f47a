//! Decaying statistics: the weight of an observation halves with every half-life.

use crate::api::Ns;

const HALF_LIFE_NS: f64 = 3e9;
/// Below this weight a statistic counts as unmeasured again.
pub const MIN_WEIGHT: f64 = 0.15;

/// Decaying count, mean and standard deviation of observed values.
#[derive(Clone, Copy, Default)]
pub struct DecayingStat {
    pub weight: f64,
    pub sum: f64,
    pub squares: f64,
    pub updated_at: Ns,
}

impl DecayingStat {
    /// Returns the number of observations, each weighted by its age.
    pub fn weight_at(&self, now: Ns) -> f64 {
        self.weight * (-((now - self.updated_at).max(0) as f64) / HALF_LIFE_NS).exp2()
    }
    /// Adds an observation.
    pub fn record(&mut self, now: Ns, value: f64) {
        let decay = if self.weight > 0.0 { self.weight_at(now) / self.weight } else { 0.0 };
        let (sum, squares) = (self.sum * decay + value, self.squares * decay + value * value);
        *self = DecayingStat { weight: self.weight * decay + 1.0, sum, squares, updated_at: now };
    }
    /// Returns the mean, or 0 without observations.
    pub fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }
    /// Returns the mean plus this many standard deviations, or 0 without observations.
    pub fn upper_bound(&self, deviations: f64) -> f64 {
        let variance = (self.squares / self.weight.max(1e-9) - self.mean() * self.mean()).max(0.0);
        self.mean() + deviations * variance.sqrt()
    }
}

/// Returns the steady rate, in observations a second, that keeps a decayed count at this weight.
pub fn rate_per_s(weight: f64) -> f64 {
    weight * std::f64::consts::LN_2 / (HALF_LIFE_NS / 1e9)
}
