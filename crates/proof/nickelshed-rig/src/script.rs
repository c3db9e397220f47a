//! Scripts of faults in a fleet: TOML files with a seed, the same for members in virtual time and for
//! processes.
use nickelshed_config::units::{Percent, Period};
use serde::Deserialize;
use std::str::FromStr;

/// A run of a fleet: its members, its network and its faults.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Script {
    pub seed: u64,
    pub length: Period,
    /// Members that start at the beginning; they are numbered from 0.
    pub members: usize,
    /// Number of sites that the members are divided among, in equal blocks.
    pub sites: usize,
    /// Number of members that all others use as seeds: the first ones.
    pub seeds: usize,
    /// Shortest and longest one-way latency. The latency of each datagram is drawn between them, so that
    /// datagrams overtake one another.
    pub latency: [Period; 2],
    /// Fraction of datagrams that is lost.
    #[serde(rename = "lost")]
    pub loss: Percent,
    /// Fraction of datagrams that arrives twice.
    #[serde(rename = "twice")]
    pub duplicated: Percent,
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
            loss: Percent(0.0),
            duplicated: Percent(0.0),
            faults: Vec::new(),
        }
    }
}

/// A fault to inject: its kind, its time, the members that it affects and its extent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    #[serde(rename = "at")]
    pub start: Period,
    /// How long the fault lasts; zero: until the end of the run.
    #[serde(default, rename = "lasts")]
    pub duration: Period,
    /// Members that the fault affects.
    #[serde(rename = "who")]
    pub targets: MemberSet,
    /// The other side of a cut; all other members if `None`.
    #[serde(default, rename = "to")]
    pub peers: Option<MemberSet>,
    /// For `cut`: only what `targets` send is lost.
    #[serde(default)]
    pub one_way: bool,
    /// For `lossy`: fraction of datagrams that is lost.
    #[serde(default, rename = "part")]
    pub loss: Percent,
    /// For `slow`: maximum delay that is added to the latency of a datagram.
    #[serde(default, rename = "by")]
    pub extra_delay: Period,
    /// For `kill`: the state folder is lost too.
    #[serde(default)]
    pub folder_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Datagrams between the two sides are lost.
    Cut,
    /// A fraction of the datagrams to and from the members is lost.
    Lossy,
    /// Datagrams to and from the members are delayed by up to `extra_delay` more.
    Slow,
    /// The processes are suspended, as by SIGSTOP.
    Stop,
    /// The processes are killed; they start again at the end of the fault, if it ends.
    Kill,
    /// The processes leave on purpose; they start again at the end of the fault, if it ends.
    Leave,
    /// The members start only at the time of the fault; all others start at the beginning of the run.
    Join,
    /// A second process starts under the name of each member, at another address.
    Double,
    /// The members are killed, and members of other names take over their addresses.
    Replace,
    /// The members receive datagrams of another fleet, with another key, truncated and of a newer version.
    Flood,
}

/// Members by their numbers: `3`, `0..25`, `1,4,7`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct MemberSet(pub Vec<usize>);

impl FromStr for MemberSet {
    type Err = String;

    fn from_str(text: &str) -> Result<MemberSet, String> {
        let invalid = || format!("`{text}` names no members. Write `3`, `0..25` or `1,4,7`");
        let mut numbers = Vec::new();
        for item in text.split(',') {
            match item.split_once("..") {
                Some((start, end)) => {
                    let (start, end): (usize, usize) = (
                        start.trim().parse().map_err(|_| invalid())?,
                        end.trim().parse().map_err(|_| invalid())?,
                    );
                    numbers.extend(start..end);
                }
                None => numbers.push(item.trim().parse().map_err(|_| invalid())?),
            }
        }
        if numbers.is_empty() {
            return Err(invalid());
        }
        Ok(MemberSet(numbers))
    }
}

impl TryFrom<String> for MemberSet {
    type Error = String;

    fn try_from(text: String) -> Result<MemberSet, String> {
        text.parse()
    }
}

impl Script {
    /// # Errors
    /// Returns what is wrong with the file, as a message.
    pub fn parse(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| e.to_string())?;
        let named = script
            .faults
            .iter()
            .flat_map(|fault| fault.targets.0.iter().chain(fault.peers.iter().flat_map(|set| &set.0)));
        if let Some(number) = named.into_iter().find(|number| **number >= script.members) {
            return Err(format!("member {number} is named, but there are only {}", script.members));
        }
        if script.latency[0] > script.latency[1] {
            return Err("the least latency is above the greatest".to_string());
        }
        if script.members == 0 {
            return Err("there are no members".to_string());
        }
        Ok(script)
    }

    /// Returns the site of a member.
    #[must_use]
    pub fn site(&self, member: usize) -> usize {
        member * self.sites.max(1) / self.members.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_a_script_and_reports_errors() {
        let text =
            "members = 4\n[[fault]]\nkind = \"cut\"\nat = \"1s\"\nlasts = \"2s\"\nwho = \"0..2\"\nto = \"3\"";
        let script = Script::parse(text).unwrap();
        assert_eq!(script.faults[0].targets, MemberSet(vec![0, 1]));
        assert_eq!(script.faults[0].peers, Some(MemberSet(vec![3])));
        for (invalid, expected) in [
            ("members = 2\n[[fault]]\nkind = \"stop\"\nat = \"1s\"\nwho = \"2\"", "member 2 is named"),
            ("[[fault]]\nkind = \"stop\"\nat = \"1s\"\nwho = \"x\"", "names no members"),
            ("[[fault]]\nkind = \"burn\"\nat = \"1s\"\nwho = \"1\"", "unknown variant `burn`"),
            ("members = 0", "no members"),
            ("latency = [\"9ms\", \"1ms\"]", "least latency"),
        ] {
            let error = Script::parse(invalid).unwrap_err();
            assert!(error.contains(expected), "{error}");
        }
    }
}
