//! The rules of the protocol, with a few members and datagrams delivered by hand.
use nickelshed_fleet::*;
use std::net::SocketAddr;

const MS: Ns = 1_000_000;
const SECOND: Ns = 1_000 * MS;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_400))
}

fn member(number: u8, start_number: u32, seeds: &[u8], now: Ns) -> Fleet {
    let info = MemberInfo {
        name: format!("n{number}"),
        address: address(number),
        site: "wschod".into(),
        version: [0, 2, 0],
        settings: 9,
    };
    let seeds = seeds.iter().map(|&s| address(s)).collect();
    let authenticator = Authenticator::new("prognozy", b"key");
    Fleet::new(
        Config {
            info,
            start_number,
            seeds,
            authenticator,
            max_bytes_per_s: 8_192,
            random_seed: u64::from(number),
        },
        now,
    )
}

/// A few members on a network without latency.
struct TestNetwork {
    now: Ns,
    members: Vec<Fleet>,
    outputs: Vec<(usize, Output)>,
    /// All datagrams ever sent: recipient, sender, bytes.
    sent: Vec<(SocketAddr, SocketAddr, Vec<u8>)>,
    /// Members that receive nothing, and whose datagrams reach nobody.
    isolated: Vec<usize>,
    /// Pairs of sender and recipient whose datagrams are lost.
    lost: Vec<(usize, usize)>,
}

impl TestNetwork {
    fn new(members: Vec<Fleet>) -> TestNetwork {
        TestNetwork {
            now: 0,
            members,
            outputs: Vec::new(),
            sent: Vec::new(),
            isolated: Vec::new(),
            lost: Vec::new(),
        }
    }

    fn run(&mut self, duration: Ns) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 10 * MS;
            for number in 0..self.members.len() {
                if !self.isolated.contains(&number) && self.members[number].wake_at() <= self.now {
                    self.deliver(number, None);
                }
            }
        }
    }

    fn deliver(&mut self, number: usize, datagram: Option<(SocketAddr, &[u8])>) {
        let mut out = Vec::new();
        let input = datagram.map_or(Input::Timer, |(from, bytes)| Input::Datagram { from, bytes });
        self.members[number].handle(self.now, input, &mut out);
        let own = self.members[number].local_member().1.address;
        for output in out {
            if let Output::Send { to, bytes } = output {
                self.sent.push((to, own, bytes.clone()));
                let receiver = self.members.iter().position(|member| member.local_member().1.address == to);
                let reaches = |index: &usize| {
                    !self.isolated.contains(index)
                        && !self.isolated.contains(&number)
                        && !self.lost.contains(&(number, *index))
                };
                if let Some(receiver) = receiver.filter(reaches) {
                    self.deliver(receiver, Some((own, &bytes)));
                }
            } else {
                self.outputs.push((number, output));
            }
        }
    }

    fn state(&self, subject: usize, observer: usize) -> Option<State> {
        let id = self.members[subject].local_member().0.id;
        self.members[observer]
            .members()
            .find(|member| member.status.id == id)
            .map(|member| member.status.state)
    }

    fn changes(&self, observer: usize) -> Vec<Change> {
        let matching = |(member_index, output): &(usize, Output)| match output {
            Output::Changed { change, .. } if *member_index == observer => Some(*change),
            _ => None,
        };
        self.outputs.iter().filter_map(matching).collect()
    }
}

fn three_members() -> TestNetwork {
    let mut network =
        TestNetwork::new(vec![member(1, 1, &[2], 0), member(2, 1, &[1], 0), member(3, 1, &[1], 0)]);
    network.run(5 * SECOND);
    network
}

#[test]
fn members_join_through_a_seed_and_agree_on_one_view() {
    let network = three_members();
    for observer in 0..3 {
        assert_eq!(network.members[observer].present_count(), 3);
        assert_eq!(network.members[observer].view_digest(), network.members[0].view_digest());
        assert_eq!(network.members[observer].agreement(), (2, 2));
        assert!(!network.members[observer].is_local_health_degraded());
    }
}

#[test]
fn member_with_only_own_or_unused_seed_addresses_becomes_alive_alone() {
    let mut network = TestNetwork::new(vec![member(1, 1, &[1, 9], 0)]);
    network.run(6 * SECOND);
    assert_eq!(network.members[0].present_count(), 1);
    assert_eq!(network.members[0].local_member().0.state, State::Alive);
    assert!(network.sent.iter().all(|(to, ..)| *to == address(9)));
}

#[test]
fn silent_member_is_suspected_then_failed_and_recovers() {
    let mut network = three_members();
    network.isolated = vec![2];
    network.run(SECOND);
    assert_eq!(network.state(2, 0), Some(State::Suspect));
    network.run(6 * SECOND);
    assert_eq!((network.state(2, 0), network.state(2, 1)), (Some(State::Failed), Some(State::Failed)));
    assert!(network.changes(0).ends_with(&[Change::Suspected, Change::Gone]));
    network.isolated.clear();
    network.members[2].handle(network.now, Input::Timer, &mut Vec::new());
    network.run(4 * SECOND);
    assert_eq!((network.state(2, 0), network.state(0, 2)), (Some(State::Alive), Some(State::Alive)));
    assert!(network.members[2].local_member().0.incarnation.number > 0, "it has refuted its failure");
}

/// The suspect cannot learn of the suspicion and so does not refute it, but its datagrams arrive.
#[test]
fn suspect_whose_datagrams_arrive_is_not_declared_failed() {
    let mut network = TestNetwork::new(vec![member(1, 1, &[2], 0), member(2, 1, &[1], 0)]);
    network.run(5 * SECOND);
    network.isolated = vec![1];
    network.run(SECOND);
    assert_eq!(network.state(1, 0), Some(State::Suspect));
    (network.isolated, network.lost) = (Vec::new(), vec![(0, 1)]);
    network.members[1].handle(network.now, Input::Timer, &mut Vec::new());
    network.run(10 * SECOND);
    assert_eq!(network.state(1, 0), Some(State::Suspect));
    network.lost.clear();
    network.run(3 * SECOND);
    assert_eq!(network.state(1, 0), Some(State::Alive));
}

/// The failed member's share may be in use on the other side of a partition, and it may return where only the
/// new member pings it.
#[test]
fn late_joiner_learns_of_failed_members() {
    let mut network = three_members();
    network.isolated = vec![2];
    network.run(8 * SECOND);
    network.members.push(member(4, 1, &[1], network.now));
    network.run(5 * SECOND);
    assert_eq!(network.state(2, 3), Some(State::Failed));
    assert!(!network.changes(3).contains(&Change::Gone), "it has seen no failure itself");
}

/// Two members that cannot reach each other probe through the third.
#[test]
fn broken_link_raises_no_suspicion_while_a_third_member_reaches_both_ends() {
    let mut network = three_members();
    network.lost = vec![(0, 1), (1, 0)];
    network.run(20 * SECOND);
    assert!((0..3).all(|observer| !network.changes(observer).contains(&Change::Suspected)));
}

#[test]
fn replayed_datagrams_do_not_revive_a_failed_member() {
    let mut network = three_members();
    let recorded: Vec<_> = network.sent.iter().filter(|(_, from, _)| *from == address(3)).cloned().collect();
    network.isolated = vec![2];
    network.run(8 * SECOND);
    assert_eq!(network.state(2, 0), Some(State::Failed));
    let before = network.changes(0).len();
    for (to, from, bytes) in recorded {
        let receiver = usize::from(to == address(2));
        network.deliver(receiver, Some((from, &bytes)));
    }
    assert_eq!((network.state(2, 0), network.state(2, 1)), (Some(State::Failed), Some(State::Failed)));
    assert_eq!(network.changes(0).len(), before);
}

#[test]
fn leaving_member_is_marked_left_at_once_and_never_suspected() {
    let mut network = three_members();
    let mut out = Vec::new();
    network.members[1].handle(network.now, Input::Leave, &mut out);
    for output in out {
        if let Output::Send { to, bytes } = output {
            let receiver = usize::from(to == address(3)) * 2;
            network.deliver(receiver, Some((address(2), &bytes)));
        }
    }
    network.isolated = vec![1];
    network.run(5 * SECOND);
    assert_eq!((network.state(1, 0), network.state(1, 2)), (Some(State::Left), Some(State::Left)));
    assert!(!network.changes(0).contains(&Change::Suspected));
    assert_eq!(network.members[1].wake_at(), Ns::MAX);
}

#[test]
fn restart_with_a_lost_state_folder_supersedes_the_earlier_run() {
    let mut network = three_members();
    network.members[2] = member(3, 9, &[1], network.now);
    network.run(3 * SECOND);
    // It starts with the first start number, because its state folder is gone.
    network.members[2] = member(3, 1, &[1], network.now);
    network.run(5 * SECOND);
    assert_eq!(network.state(2, 0), Some(State::Alive));
    assert_eq!(network.members[2].local_member().0.incarnation.start_number, 10);
    assert!(
        network.outputs.contains(&(2, Output::Persist { start_number: 10 })),
        "the new start number must be persisted"
    );
}

#[test]
fn earlier_of_two_processes_with_one_name_reports_a_conflict_and_goes_silent() {
    let mut network = three_members();
    network.run(10 * SECOND);
    let now = network.now;
    let mut duplicate = member(3, 1, &[1], now);
    // The same name at another address.
    let info = MemberInfo { address: address(9), ..duplicate.local_member().1.clone() };
    let authenticator = Authenticator::new("prognozy", b"key");
    duplicate = Fleet::new(
        Config {
            info,
            start_number: 2,
            seeds: vec![address(1)],
            authenticator,
            max_bytes_per_s: 8_192,
            random_seed: 77,
        },
        now,
    );
    network.members.push(duplicate);
    network.run(5 * SECOND);
    assert!(network.members[2].is_inactive() && !network.members[3].is_inactive());
    assert!(network.outputs.iter().any(|(n, o)| *n == 2 && matches!(o, Output::NameConflict { .. })));
    assert_eq!(network.members[0].present_count(), 3);
}

#[test]
fn stalled_member_declares_no_failure_and_reports_degraded_local_health() {
    let mut network = three_members();
    network.isolated = vec![0];
    network.run(30 * SECOND);
    network.isolated.clear();
    assert_eq!(network.state(0, 1), Some(State::Failed));
    network.deliver(0, None);
    assert!(network.members[0].is_local_health_degraded());
    assert!(network.outputs.iter().any(|(n, o)| *n == 0 && matches!(o, Output::Stalled { .. })));
    network.run(5 * SECOND);
    assert!(!network.changes(0).contains(&Change::Gone));
    assert!(!network.members[0].is_local_health_degraded());
    assert_eq!((network.state(0, 1), network.state(1, 0)), (Some(State::Alive), Some(State::Alive)));
}

#[test]
fn ack_from_another_member_at_the_same_address_does_not_count() {
    let mut network = three_members();
    // n3 has crashed, and n4 has its address.
    let info = MemberInfo { address: address(3), ..member(4, 1, &[], 0).local_member().1.clone() };
    let authenticator = Authenticator::new("prognozy", b"key");
    network.members[2] = Fleet::new(
        Config {
            info,
            start_number: 1,
            seeds: vec![address(1)],
            authenticator,
            max_bytes_per_s: 8_192,
            random_seed: 4,
        },
        network.now,
    );
    network.run(8 * SECOND);
    let crashed_state = network.members[0]
        .members()
        .find(|member| member.info.name == "n3")
        .map(|member| member.status.state);
    assert_eq!(crashed_state, Some(State::Failed));
    assert_eq!(network.state(2, 0), Some(State::Alive));
}

#[test]
fn new_settings_start_an_incarnation_that_is_persisted_and_gossiped() {
    let mut network = three_members();
    let mut out = Vec::new();
    network.members[1].handle(network.now, Input::Settings(10), &mut out);
    assert!(out.contains(&Output::Persist { start_number: 2 }));
    network.run(3 * SECOND);
    let member = network.members[0].members().find(|member| member.info.name == "n2").unwrap();
    assert_eq!((member.info.settings, member.status.incarnation.start_number), (10, 2));
}

/// Sends an observer's requests and delivers the answers, until the view is complete or `max_rounds` are
/// over.
fn observe(network: &mut TestNetwork, number: usize, max_rounds: usize) -> Observer {
    let mut observer = Observer::new(Authenticator::new("prognozy", b"key"), 5);
    for _ in 0..max_rounds {
        let mut requests = observer.requests().to_vec();
        while let Some(bytes) = requests.pop() {
            let mut out = Vec::new();
            network.members[number].handle(
                network.now,
                Input::Datagram { from: address(200), bytes: &bytes },
                &mut out,
            );
            for output in out {
                if let Output::Send { to, bytes } = output {
                    if to == address(200) {
                        requests.extend(observer.receive(&bytes).unwrap());
                    }
                }
            }
        }
        if observer.is_complete() {
            return observer;
        }
        network.run(SECOND);
    }
    observer
}

#[test]
fn observer_receives_the_whole_view_without_joining_it() {
    let mut network = TestNetwork::new((1..=60).map(|n| member(n, 1, &[1, 2], 0)).collect());
    network.run(20 * SECOND);
    network.isolated = vec![7];
    network.run(10 * SECOND);
    let (before, view_digest) = (network.members[0].present_count(), network.members[0].view_digest());
    let observer = observe(&mut network, 0, 30);
    assert!(observer.is_complete());
    assert_eq!(observer.view_digest(), Some(view_digest));
    let reported = observer.members();
    assert_eq!(reported.len(), 60);
    let failed: Vec<&str> = reported
        .iter()
        .filter(|member| member.status.state == State::Failed)
        .map(|member| member.info.name.as_str())
        .collect();
    assert_eq!(failed, ["n8"]);
    network.run(3 * SECOND);
    assert_eq!((network.members[0].present_count(), network.members[0].view_digest()), (before, view_digest));
}

#[test]
fn ping_flood_is_answered_up_to_the_budget() {
    let mut network = three_members();
    let ping = network.sent.iter().find(|(to, ..)| *to == address(1)).cloned().unwrap();
    let before = network.members[0].counts();
    for ms in 0..5_000 {
        network.now += MS;
        if ms % 10 == 0 {
            for number in 0..3 {
                network.deliver(number, None);
            }
        }
        network.deliver(0, Some((address(9), &ping.2)));
    }
    let bytes = network.members[0].counts().sent_bytes - before.sent_bytes;
    assert!(bytes <= 6 * 8_192, "{bytes} bytes in 5 s");
    assert_eq!(network.members[1].present_count(), 3, "nobody is declared failed because of it");
}
