//! The operator's own settings, in addition to the platform's configuration:
//! `nickelshed --operator deploy/operator.toml`.
use crate::sidecar::Journal;
use crate::source::{self, ReadResult};
use crate::Finding;
use schemars::JsonSchema;
use serde::Deserialize;

/// The operator's settings; every key has a default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub journal: Journal,
}

impl Operator {
    /// Reads the bytes of a file.
    ///
    /// # Errors
    /// Every finding about the file.
    pub fn load(bytes: &[u8]) -> Result<Operator, Vec<Finding>> {
        let text = source::text(bytes).map_err(|f| vec![*f])?;
        let ReadResult { value, findings, .. } = source::read(text);
        value.filter(|_| findings.is_empty()).ok_or(findings)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sidecar::Durability;

    #[test]
    fn example_equals_default_and_misspelt_keys_get_suggestions() {
        let example = Operator::load(include_bytes!("../../../../deploy/operator.toml")).unwrap();
        assert_eq!(example, Operator::default());
        let machine = Operator::load(b"[journal]\ndurability = \"machine\"").unwrap();
        assert_eq!(machine.journal.durability, Durability::Machine);
        for (text, help) in [
            ("[journal]\ndurabilty = \"machine\"", "Did you mean `durability`?"),
            ("[journal]\ndurability = \"machin\"", "Did you mean `machine`?"),
            ("[jornal]", "Did you mean `journal`?"),
        ] {
            assert_eq!(Operator::load(text.as_bytes()).unwrap_err()[0].help, help);
        }
    }
}
