//! Quantities with units, as an operator writes them: `3s`, `64KiB`, `25%`.
use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Longest duration in a configuration; a longer one is taken for a mistake in the unit.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3600);
/// Largest size in a configuration, in bytes: 1 TiB.
const MAX_SIZE_BYTES: u64 = 1 << 40;

/// A duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Period(pub Duration);

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A share as a fraction; `25%` is 0.25.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Percent(pub f64);

impl Period {
    pub const fn ms(ms: u64) -> Period {
        Period(Duration::from_millis(ms))
    }

    /// Returns the duration in nanoseconds, the unit of the policy. Cannot overflow, because a period is at
    /// most a day.
    pub fn ns(self) -> i64 {
        self.0.as_nanos() as i64
    }
}

impl FromStr for Period {
    type Err = String;

    fn from_str(text: &str) -> Result<Period, String> {
        let invalid = |why: String| {
            format!("`{text}` is not a time: {why}. Write a number with a unit, such as `3s` or `250ms`")
        };
        let period = humantime::parse_duration(text).map_err(|e| invalid(e.to_string()))?;
        if period > MAX_PERIOD {
            return Err(format!("`{text}` is longer than a day, which is the maximum"));
        }
        Ok(Period(period))
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let invalid = |why: &str| {
            format!("`{text}` is not a size: {why}. Write a number with a unit, such as `64KiB` or `192MB`")
        };
        if !text.ends_with(|c: char| c.is_ascii_alphabetic()) {
            return Err(invalid("its unit is missing"));
        }
        let bytes = text
            .parse::<bytesize::ByteSize>()
            .map_err(|_| invalid("its number or its unit is invalid"))?
            .as_u64();
        if bytes > MAX_SIZE_BYTES {
            return Err(format!("`{text}` is more than 1 TiB, which is the maximum"));
        }
        Ok(Size(bytes))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [
            ("GiB", 1 << 30),
            ("GB", 1_000_000_000),
            ("MiB", 1 << 20),
            ("MB", 1_000_000),
            ("KiB", 1 << 10),
            ("kB", 1_000),
        ];
        match units.iter().find(|(_, unit)| self.0 >= *unit && self.0.is_multiple_of(*unit)) {
            Some((name, unit)) => write!(f, "{}{name}", self.0 / unit),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for Percent {
    type Err = String;

    fn from_str(text: &str) -> Result<Percent, String> {
        let number = text.strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match number {
            Some(n) if (0.0..=10_000.0).contains(&n) => Ok(Percent(n / 100.0)),
            _ => Err(format!(
                "`{text}` is not a share. Write a number of at least 0 with a percent sign, such as `25%`"
            )),
        }
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Nobody writes ten decimals, and rounding to ten hides the error of the division by a hundred.
        let text = format!("{:.10}", self.0 * 100.0);
        write!(f, "{}%", text.trim_end_matches('0').trim_end_matches('.'))
    }
}

macro_rules! impl_text_format {
    ($type:ident, $expected:literal, $pattern:literal, $description:literal) => {
        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$type, D::Error> {
                struct TextVisitor;

                impl Visitor<'_> for TextVisitor {
                    type Value = $type;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expected)
                    }

                    fn visit_str<E: Error>(self, text: &str) -> Result<$type, E> {
                        text.parse().map_err(E::custom)
                    }
                }

                deserializer.deserialize_str(TextVisitor)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl JsonSchema for $type {
            fn schema_name() -> Cow<'static, str> {
                stringify!($type).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": $pattern, "description": $description})
            }
        }
    };
}

impl_text_format!(
    Period,
    "a time with its unit, such as \"3s\"",
    "^[0-9]",
    "A time with its unit: `3s`, `250ms`, `1m 30s`; at most a day."
);
impl_text_format!(
    Size,
    "a size with its unit, such as \"64KiB\"",
    "^[0-9.]+ *[A-Za-z]+$",
    "A size with its unit: `64KiB`, `192MB`; at most 1 TiB."
);
impl_text_format!(Percent, "a share with a percent sign, such as \"25%\"", "^[0-9.]+ *%$", "A share: `25%`.");

#[cfg(test)]
mod tests {
    use super::*;

    /// Formatting a value and parsing the result must return the same value.
    #[test]
    fn formatted_values_parse_to_the_same_value() {
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..5_000 {
            let period = Period(Duration::from_nanos(rng.u64(0..=MAX_PERIOD.as_nanos() as u64)));
            assert_eq!(period.to_string().parse(), Ok(period));
            let size = Size(rng.u64(0..=MAX_SIZE_BYTES) >> rng.u32(0..40));
            assert_eq!(size.to_string().parse(), Ok(size));
            let percent = Percent(f64::from(rng.u32(0..=10_000)) / 10_000.0);
            let parsed: Percent = percent.to_string().parse().unwrap();
            assert!((parsed.0 - percent.0).abs() < 1e-9, "{percent}");
        }
    }

    #[test]
    fn invalid_values_are_rejected_with_an_example() {
        for text in ["", "3", "s", "3 parsecs", "-3s", "25h", "99999999999999999999s", "1e3s", "NaN"] {
            assert!(text.parse::<Period>().is_err(), "{text}");
        }
        for text in ["", "64", "KiB", "64 parsecs", "-1KiB", "2TiB", "99999999999999999999999KiB"] {
            assert!(text.parse::<Size>().is_err(), "{text}");
        }
        for text in ["", "25", "%", "-1%", "inf%", "NaN%", "0.25"] {
            assert!(text.parse::<Percent>().is_err(), "{text}");
        }
        assert!("3".parse::<Period>().unwrap_err().contains("`3s`"));
    }
}
