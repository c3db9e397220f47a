//! What befalls a fleet, as a file in TOML with a seed: the same for members in virtual time and for processes.
use nickelshed_config::units::{Percent, Period};
use serde::Deserialize;
use std::str::FromStr;

/// A day of a fleet: its members, its network and its faults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Script {
    pub seed: u64,
    pub length: Period,
    /// Members that start at the beginning; numbers from 0.
    pub members: usize,
    /// Members stand in so many sites, in equal blocks.
    pub sites: usize,
    /// The first so many are named as seeds to all.
    pub seeds: usize,
    /// One way, from the least to the most; drawn for each datagram, so that they overtake one another.
    pub latency: [Period; 2],
    /// Of the datagrams that so many are lost.
    pub lost: Percent,
    /// And so many come twice.
    pub twice: Percent,
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            seed: 1,
            length: Period::ms(30_000),
            members: 5,
            sites: 1,
            seeds: 2,
            latency: [Period::ms(1), Period::ms(15)],
            lost: Percent(0.0),
            twice: Percent(0.0),
            faults: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at: Period,
    /// Nought: for good.
    #[serde(default)]
    pub lasts: Period,
    /// Whom it meets.
    pub who: Who,
    /// The other side of a cut; without it, all others.
    #[serde(default)]
    pub to: Option<Who>,
    /// Of a cut: only what `who` send is lost.
    #[serde(default)]
    pub one_way: bool,
    /// Of `lossy`: so many are lost; of `slow`: see `by`.
    #[serde(default)]
    pub part: Percent,
    #[serde(default)]
    pub by: Period,
    /// Of `kill`: the state folder is lost too.
    #[serde(default)]
    pub folder_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Datagrams between the two sides are lost.
    Cut,
    /// Of the datagrams to and from them this part is lost.
    Lossy,
    /// Datagrams to and from them are later by up to so much more.
    Slow,
    /// Their processes stand still.
    Stop,
    /// Their processes are killed; they start again at the end of the fault, or never.
    Kill,
    /// They end on purpose, and start again at the end of the fault, or never.
    Leave,
    /// They are not there before this; without it a member starts at the beginning.
    Join,
    /// A second process starts under their names, at other addresses.
    Double,
    /// They are killed, and a member of another name takes their addresses.
    Replace,
    /// They are sent datagrams of another fleet, of another key, cut short and of a later form.
    Flood,
}

/// Members by their numbers: `3`, `0..25`, `1,4,7`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Who(pub Vec<usize>);

impl FromStr for Who {
    type Err = String;

    fn from_str(text: &str) -> Result<Who, String> {
        let wrong = || format!("`{text}` names no members. Write `3`, `0..25` or `1,4,7`");
        let mut all = Vec::new();
        for piece in text.split(',') {
            match piece.split_once("..") {
                Some((from, to)) => {
                    let (from, to): (usize, usize) =
                        (from.trim().parse().map_err(|_| wrong())?, to.trim().parse().map_err(|_| wrong())?);
                    all.extend(from..to);
                }
                None => all.push(piece.trim().parse().map_err(|_| wrong())?),
            }
        }
        if all.is_empty() {
            return Err(wrong());
        }
        Ok(Who(all))
    }
}

impl TryFrom<String> for Who {
    type Error = String;

    fn try_from(text: String) -> Result<Who, String> {
        text.parse()
    }
}

impl Script {
    /// # Errors
    /// What is wrong with the file, in words.
    pub fn read(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| e.to_string())?;
        let all = script.faults.iter().flat_map(|f| f.who.0.iter().chain(f.to.iter().flat_map(|w| &w.0)));
        if let Some(number) = all.into_iter().find(|n| **n >= script.members) {
            return Err(format!("member {number} is named, but there are only {}", script.members));
        }
        if script.latency[0] > script.latency[1] {
            return Err("the least latency is above the most".to_string());
        }
        if script.members == 0 {
            return Err("there are no members".to_string());
        }
        Ok(script)
    }

    #[must_use]
    pub fn site(&self, member: usize) -> usize {
        member * self.sites.max(1) / self.members.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_is_read_and_what_is_wrong_is_said() {
        let text =
            "members = 4\n[[fault]]\nkind = \"cut\"\nat = \"1s\"\nlasts = \"2s\"\nwho = \"0..2\"\nto = \"3\"";
        let script = Script::read(text).unwrap();
        assert_eq!(script.faults[0].who, Who(vec![0, 1]));
        assert_eq!(script.faults[0].to, Some(Who(vec![3])));
        for (wrong, says) in [
            ("members = 2\n[[fault]]\nkind = \"stop\"\nat = \"1s\"\nwho = \"2\"", "member 2 is named"),
            ("[[fault]]\nkind = \"stop\"\nat = \"1s\"\nwho = \"x\"", "names no members"),
            ("[[fault]]\nkind = \"burn\"\nat = \"1s\"\nwho = \"1\"", "unknown variant `burn`"),
            ("members = 0", "no members"),
            ("latency = [\"9ms\", \"1ms\"]", "least latency"),
        ] {
            let error = Script::read(wrong).unwrap_err();
            assert!(error.contains(says), "{error}");
        }
    }
}
