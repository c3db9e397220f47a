//! Whether one of two is better, from the same days: paired differences, and an interval by the bootstrap.
use rand::RngExt;

const DRAWS: usize = 4_000;

/// The mean of paired differences with the interval that holds 95 of 100 means of days drawn anew from these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Difference {
    /// Whether the interval leaves nought out.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// None without any pair. The same pairs give the same interval.
pub fn difference(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let gaps: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / gaps.len() as f64;
    let mut random = nickelshed_model::stream(pairs.len() as u64, 9);
    let mut means: Vec<f64> = (0..DRAWS)
        .map(|_| mean(&mut (0..gaps.len()).map(|_| gaps[random.random_range(0..gaps.len())])))
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((DRAWS - 1) as f64 * part) as usize];
    Some(Difference { mean: mean(&mut gaps.iter().copied()), low: at(0.025), high: at(0.975) })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn noise_is_no_difference_and_a_gain_is_one() {
        let mut random = nickelshed_model::stream(5, 1);
        let noise: Vec<(f64, f64)> = (0..40).map(|_| (random.random(), random.random())).collect();
        assert!(!difference(&noise).unwrap().is_significant());
        let gain: Vec<(f64, f64)> =
            noise.iter().map(|(a, _)| (*a, a + 0.01 + 0.01 * random.random::<f64>())).collect();
        let seen = difference(&gain).unwrap();
        assert!(seen.is_significant() && seen.low > 0.009 && seen.high < 0.021, "{seen:?}");
        assert_eq!(difference(&[]), None);
    }
}
