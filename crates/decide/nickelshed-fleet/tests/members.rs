//! Members face to face: what each rule does, with datagrams carried by hand.
use nickelshed_fleet::*;
use std::net::SocketAddr;

const MS: Ns = 1_000_000;
const SECOND: Ns = 1_000 * MS;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_400))
}

fn member(number: u8, start: u32, seeds: &[u8], now: Ns) -> Fleet {
    let facts = Facts {
        name: format!("n{number}"),
        address: address(number),
        site: "wschod".into(),
        version: [0, 2, 0],
        settings: 9,
    };
    let seeds = seeds.iter().map(|&s| address(s)).collect();
    let seal = Seal::new("prognozy", b"key");
    Fleet::new(Config { facts, start, seeds, seal, rate: 8_192, seed: u64::from(number) }, now)
}

/// A few members on a network without delay.
struct Few {
    now: Ns,
    members: Vec<Fleet>,
    outputs: Vec<(usize, Output)>,
    /// All that was ever sent: to whom, from whom.
    sent: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    /// Nothing reaches these, and nothing they send counts.
    cut: Vec<usize>,
    /// What the first sends the second is lost.
    lost: Vec<(usize, usize)>,
}

impl Few {
    fn new(members: Vec<Fleet>) -> Few {
        Few { now: 0, members, outputs: Vec::new(), sent: Vec::new(), cut: Vec::new(), lost: Vec::new() }
    }

    fn run(&mut self, time: Ns) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10 * MS;
            for number in 0..self.members.len() {
                if !self.cut.contains(&number) && self.members[number].wake_at() <= self.now {
                    self.tell(number, None);
                }
            }
        }
    }

    fn tell(&mut self, number: usize, datagram: Option<(SocketAddr, &[u8])>) {
        let mut out = Vec::new();
        let input = datagram.map_or(Input::Timer, |(from, bytes)| Input::Datagram { from, bytes });
        self.members[number].handle(self.now, input, &mut out);
        let own = self.members[number].own().1.address;
        for output in out {
            if let Output::Send { to, bytes } = output {
                self.sent.push((to, own, bytes.clone()));
                let there = self.members.iter().position(|m| m.own().1.address == to);
                let reaches = |t: &usize| {
                    !self.cut.contains(t) && !self.cut.contains(&number) && !self.lost.contains(&(number, *t))
                };
                if let Some(there) = there.filter(reaches) {
                    self.tell(there, Some((own, &bytes)));
                }
            } else {
                self.outputs.push((number, output));
            }
        }
    }

    fn state(&self, of: usize, by: usize) -> Option<State> {
        let id = self.members[of].own().0.id;
        self.members[by].members().find(|m| m.claim.id == id).map(|m| m.claim.state)
    }

    fn changes(&self, by: usize) -> Vec<Change> {
        let of = |(n, o): &(usize, Output)| match o {
            Output::Changed { change, .. } if *n == by => Some(*change),
            _ => None,
        };
        self.outputs.iter().filter_map(of).collect()
    }
}

fn three() -> Few {
    let mut few = Few::new(vec![member(1, 1, &[2], 0), member(2, 1, &[1], 0), member(3, 1, &[1], 0)]);
    few.run(5 * SECOND);
    few
}

#[test]
fn members_meet_over_a_seed_and_hold_one_view() {
    let few = three();
    for by in 0..3 {
        assert_eq!(few.members[by].present(), 3);
        assert_eq!(few.members[by].root(), few.members[0].root());
        assert_eq!(few.members[by].agreement(), (2, 2));
        assert!(!few.members[by].doubts_itself());
    }
}

#[test]
fn seeds_that_name_oneself_or_nobody_leave_a_member_alone_and_well() {
    let mut few = Few::new(vec![member(1, 1, &[1, 9], 0)]);
    few.run(6 * SECOND);
    assert_eq!(few.members[0].present(), 1);
    assert_eq!(few.members[0].own().0.state, State::Alive);
    assert!(few.sent.iter().all(|(to, ..)| *to == address(9)));
}

#[test]
fn one_that_is_silent_is_suspect_then_gone_and_is_found_again() {
    let mut few = three();
    few.cut = vec![2];
    few.run(SECOND);
    assert_eq!(few.state(2, 0), Some(State::Suspect));
    few.run(6 * SECOND);
    assert_eq!((few.state(2, 0), few.state(2, 1)), (Some(State::Gone), Some(State::Gone)));
    assert!(few.changes(0).ends_with(&[Change::Suspected, Change::Gone]));
    few.cut.clear();
    few.members[2].handle(few.now, Input::Timer, &mut Vec::new());
    few.run(4 * SECOND);
    assert_eq!((few.state(2, 0), few.state(0, 2)), (Some(State::Alive), Some(State::Alive)));
    assert!(few.members[2].own().0.incarnation.word > 0, "it has refuted that it is gone");
}

/// It can't be told that it is doubted, and so says nothing of it; but it is heard.
#[test]
fn a_suspect_that_is_heard_is_not_taken_for_gone() {
    let mut few = Few::new(vec![member(1, 1, &[2], 0), member(2, 1, &[1], 0)]);
    few.run(5 * SECOND);
    few.cut = vec![1];
    few.run(SECOND);
    assert_eq!(few.state(1, 0), Some(State::Suspect));
    (few.cut, few.lost) = (Vec::new(), vec![(0, 1)]);
    few.members[1].handle(few.now, Input::Timer, &mut Vec::new());
    few.run(10 * SECOND);
    assert_eq!(few.state(1, 0), Some(State::Suspect));
    few.lost.clear();
    few.run(3 * SECOND);
    assert_eq!(few.state(1, 0), Some(State::Alive));
}

/// Its part may be in use on the other side of a cut, and it may be back where only the new one asks.
#[test]
fn one_that_joins_later_learns_of_those_that_are_gone() {
    let mut few = three();
    few.cut = vec![2];
    few.run(8 * SECOND);
    few.members.push(member(4, 1, &[1], few.now));
    few.run(5 * SECOND);
    assert_eq!(few.state(2, 3), Some(State::Gone));
    assert!(!few.changes(3).contains(&Change::Gone), "it has seen nobody go");
}

/// Two that can't reach one another ask over the third.
#[test]
fn two_that_cannot_reach_one_another_are_not_even_suspect_while_another_reaches_both() {
    let mut few = three();
    few.lost = vec![(0, 1), (1, 0)];
    few.run(20 * SECOND);
    assert!((0..3).all(|by| !few.changes(by).contains(&Change::Suspected)));
}

#[test]
fn what_was_sent_by_a_life_that_is_over_brings_nobody_back() {
    let mut few = three();
    let old: Vec<_> = few.sent.iter().filter(|(_, from, _)| *from == address(3)).cloned().collect();
    few.cut = vec![2];
    few.run(8 * SECOND);
    assert_eq!(few.state(2, 0), Some(State::Gone));
    let before = few.changes(0).len();
    for (to, from, bytes) in old {
        let reader = usize::from(to == address(2));
        few.tell(reader, Some((from, &bytes)));
    }
    assert_eq!((few.state(2, 0), few.state(2, 1)), (Some(State::Gone), Some(State::Gone)));
    assert_eq!(few.changes(0).len(), before);
}

#[test]
fn one_that_ends_on_purpose_is_left_at_once_and_doubted_by_nobody() {
    let mut few = three();
    let mut out = Vec::new();
    few.members[1].handle(few.now, Input::Leave, &mut out);
    for output in out {
        if let Output::Send { to, bytes } = output {
            let there = usize::from(to == address(3)) * 2;
            few.tell(there, Some((address(2), &bytes)));
        }
    }
    few.cut = vec![1];
    few.run(5 * SECOND);
    assert_eq!((few.state(1, 0), few.state(1, 2)), (Some(State::Left), Some(State::Left)));
    assert!(!few.changes(0).contains(&Change::Suspected));
    assert_eq!(few.members[1].wake_at(), Ns::MAX);
}

#[test]
fn a_new_life_with_its_folder_lost_wins_over_its_old_one() {
    let mut few = three();
    few.members[2] = member(3, 9, &[1], few.now);
    few.run(3 * SECOND);
    // Started as one that has never been: its folder is gone.
    few.members[2] = member(3, 1, &[1], few.now);
    few.run(5 * SECOND);
    assert_eq!(few.state(2, 0), Some(State::Alive));
    assert_eq!(few.members[2].own().0.incarnation.start, 10);
    assert!(few.outputs.contains(&(2, Output::Keep { start: 10 })), "and it is to be kept");
}

#[test]
fn of_two_processes_with_one_name_the_earlier_one_falls_silent_and_says_so() {
    let mut few = three();
    few.run(10 * SECOND);
    let now = few.now;
    let mut double = member(3, 1, &[1], now);
    // The same name at another address.
    let facts = Facts { address: address(9), ..double.own().1.clone() };
    let seal = Seal::new("prognozy", b"key");
    double =
        Fleet::new(Config { facts, start: 2, seeds: vec![address(1)], seal, rate: 8_192, seed: 77 }, now);
    few.members.push(double);
    few.run(5 * SECOND);
    assert!(few.members[2].is_ousted() && !few.members[3].is_ousted());
    assert!(few.outputs.iter().any(|(n, o)| *n == 2 && matches!(o, Output::NameTaken { .. })));
    assert_eq!(few.members[0].present(), 3);
}

#[test]
fn one_that_stood_still_declares_nobody_gone_and_doubts_itself() {
    let mut few = three();
    few.cut = vec![0];
    few.run(30 * SECOND);
    few.cut.clear();
    assert_eq!(few.state(0, 1), Some(State::Gone));
    few.tell(0, None);
    assert!(few.members[0].doubts_itself());
    assert!(few.outputs.iter().any(|(n, o)| *n == 0 && matches!(o, Output::StoodStill { .. })));
    few.run(5 * SECOND);
    assert!(!few.changes(0).contains(&Change::Gone));
    assert!(!few.members[0].doubts_itself());
    assert_eq!((few.state(0, 1), few.state(1, 0)), (Some(State::Alive), Some(State::Alive)));
}

#[test]
fn an_answer_of_another_at_that_address_is_none() {
    let mut few = three();
    // n3 is dead, and n4 has its address.
    let facts = Facts { address: address(3), ..member(4, 1, &[], 0).own().1.clone() };
    let seal = Seal::new("prognozy", b"key");
    few.members[2] =
        Fleet::new(Config { facts, start: 1, seeds: vec![address(1)], seal, rate: 8_192, seed: 4 }, few.now);
    few.run(8 * SECOND);
    let old = few.members[0].members().find(|m| m.facts.name == "n3").map(|m| m.claim.state);
    assert_eq!(old, Some(State::Gone));
    assert_eq!(few.state(2, 0), Some(State::Alive));
}

#[test]
fn other_settings_are_another_life_that_is_kept_and_told() {
    let mut few = three();
    let mut out = Vec::new();
    few.members[1].handle(few.now, Input::Settings(10), &mut out);
    assert!(out.contains(&Output::Keep { start: 2 }));
    few.run(3 * SECOND);
    let seen = few.members[0].members().find(|m| m.facts.name == "n2").unwrap();
    assert_eq!((seen.facts.settings, seen.claim.incarnation.start), (10, 2));
}

/// Sends what an observer asks, and brings it the answers, until it is told all or has asked so often.
fn observe(few: &mut Few, of: usize, most: usize) -> Observer {
    let mut observer = Observer::new(Seal::new("prognozy", b"key"), 5);
    for _ in 0..most {
        let mut asks = observer.ask().to_vec();
        while let Some(bytes) = asks.pop() {
            let mut out = Vec::new();
            few.members[of].handle(few.now, Input::Datagram { from: address(200), bytes: &bytes }, &mut out);
            for output in out {
                if let Output::Send { to, bytes } = output {
                    if to == address(200) {
                        asks.extend(observer.hear(&bytes).unwrap());
                    }
                }
            }
        }
        if observer.is_complete() {
            return observer;
        }
        few.run(SECOND);
    }
    observer
}

#[test]
fn an_observer_is_told_a_whole_view_and_counts_nowhere() {
    let mut few = Few::new((1..=60).map(|n| member(n, 1, &[1, 2], 0)).collect());
    few.run(20 * SECOND);
    few.cut = vec![7];
    few.run(10 * SECOND);
    let (before, root) = (few.members[0].present(), few.members[0].root());
    let observer = observe(&mut few, 0, 30);
    assert!(observer.is_complete());
    assert_eq!(observer.root(), Some(root));
    let told = observer.told();
    assert_eq!(told.len(), 60);
    let gone: Vec<&str> =
        told.iter().filter(|t| t.claim.state == State::Gone).map(|t| t.facts.name.as_str()).collect();
    assert_eq!(gone, ["n8"]);
    few.run(3 * SECOND);
    assert_eq!((few.members[0].present(), few.members[0].root()), (before, root));
}

#[test]
fn a_flood_of_asks_is_answered_up_to_the_budget() {
    let mut few = three();
    let ping = few.sent.iter().find(|(to, ..)| *to == address(1)).cloned().unwrap();
    let before = few.members[0].counts();
    for ms in 0..5_000 {
        few.now += MS;
        if ms % 10 == 0 {
            for number in 0..3 {
                few.tell(number, None);
            }
        }
        few.tell(0, Some((address(9), &ping.2)));
    }
    let bytes = few.members[0].counts().sent_bytes - before.sent_bytes;
    assert!(bytes <= 6 * 8_192, "{bytes} bytes in 5 s");
    assert_eq!(few.members[1].present(), 3, "and nobody is taken for gone over it");
}
