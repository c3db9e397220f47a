//! Compares two scenarios run on the same seeds: mean of the paired differences with a bootstrap confidence
//! interval.
use rand::RngExt;

const BOOTSTRAP_SAMPLES: usize = 4_000;

/// The mean of the paired differences with its 95% bootstrap confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Difference {
    /// Whether the interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Returns the mean difference of the pairs (second minus first), or None if there are no pairs. The result
/// is deterministic: the same pairs give the same interval.
pub fn difference(pairs: &[(f64, f64)]) -> Option<Difference> {
    if pairs.is_empty() {
        return None;
    }
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / differences.len() as f64;
    let mut random = nickelshed_model::random_stream(pairs.len() as u64, 9);
    let mut means: Vec<f64> = (0..BOOTSTRAP_SAMPLES)
        .map(|_| {
            mean(&mut (0..differences.len()).map(|_| differences[random.random_range(0..differences.len())]))
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| means[((BOOTSTRAP_SAMPLES - 1) as f64 * fraction) as usize];
    Some(Difference {
        mean: mean(&mut differences.iter().copied()),
        low: quantile(0.025),
        high: quantile(0.975),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn noise_is_not_significant_and_a_consistent_gain_is() {
        let mut random = nickelshed_model::random_stream(5, 1);
        let noise: Vec<(f64, f64)> = (0..40).map(|_| (random.random(), random.random())).collect();
        assert!(!difference(&noise).unwrap().is_significant());
        let gain: Vec<(f64, f64)> =
            noise.iter().map(|(a, _)| (*a, a + 0.01 + 0.01 * random.random::<f64>())).collect();
        let measured = difference(&gain).unwrap();
        assert!(measured.is_significant() && measured.low > 0.009 && measured.high < 0.021, "{measured:?}");
        assert_eq!(difference(&[]), None);
    }
}
