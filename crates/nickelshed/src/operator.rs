//! The operator's file: what the platform's configuration has no word for. Everything in it has a default.
use serde::Deserialize;
use std::path::Path;

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub journal: Journal,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    pub durability: Durability,
}

/// What a message that was taken on outlasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The end of the process.
    #[default]
    Process,
    /// The loss of power: 202 is answered once its record is synced.
    Machine,
}

impl From<Durability> for nickelshed_journal::Durability {
    fn from(d: Durability) -> Self {
        match d {
            Durability::Process => nickelshed_journal::Durability::Process,
            Durability::Machine => nickelshed_journal::Durability::Machine,
        }
    }
}

impl Operator {
    /// # Errors
    /// Names the file, the line and what is wrong there.
    pub fn read(path: &Path) -> Result<Operator, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_example_is_the_default_and_a_misspelt_key_is_named() {
        let example: Operator = toml::from_str(include_str!("../../../deploy/operator.toml")).unwrap();
        assert_eq!(example.journal.durability, Durability::Process);
        let machine: Operator = toml::from_str("[journal]\ndurability = \"machine\"").unwrap();
        assert_eq!(machine.journal.durability, Durability::Machine);
        for wrong in ["[journal]\ndurabilty = \"machine\"", "[journal]\ndurability = \"disk\"", "[jornal]"] {
            let error = toml::from_str::<Operator>(wrong).unwrap_err().to_string();
            assert!(error.contains("expected"), "{error}");
        }
    }
}
