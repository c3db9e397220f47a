//! Datagrams: any bytes are parsed without a panic, written datagrams parse back, and those of other fleets
//! are dropped.
use nickelshed_fleet::*;
use proptest::prelude::*;
use std::net::SocketAddr;

fn authenticator() -> Authenticator {
    Authenticator::new("prognozy", b"key")
}

fn status(id: u64, start_number: u32, number: u32, state: State) -> MemberStatus {
    MemberStatus { id: MemberId(id), incarnation: Incarnation { start_number, nonce: 5, number }, state }
}

fn info(name: &str) -> MemberInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_400));
    MemberInfo { name: name.into(), address, site: "wschod".into(), version: [0, 2, 0], settings: 9 }
}

/// A datagram with fields of most kinds.
fn full_datagram() -> Vec<u8> {
    let mut writer = DatagramWriter::new(DatagramKind::Ping);
    writer.sender(&status(3, 7, 1, State::Alive));
    writer.seq(42);
    writer.target(MemberId(8));
    writer.view_digest(0x1234);
    writer.load(200);
    assert!(writer.update(&StatusUpdate { status: status(4, 1, 0, State::Suspect), reporters: vec![1, 2] }));
    assert!(writer.record(&status(MemberId::from_name("n1").0, 2, 0, State::Alive), &info("n1"), 60));
    assert!(writer.record_request(MemberId(6)));
    writer.finish(&authenticator())
}

#[test]
fn written_datagram_parses_back() {
    let datagram = parse_datagram(&full_datagram(), &authenticator()).unwrap();
    assert_eq!(
        (datagram.kind, datagram.seq, datagram.target, datagram.view_digest, datagram.load),
        (DatagramKind::Ping, 42, MemberId(8), Some(0x1234), 200)
    );
    assert_eq!(datagram.sender_status, Some(status(3, 7, 1, State::Alive)));
    assert_eq!(
        datagram.updates,
        [StatusUpdate { status: status(4, 1, 0, State::Suspect), reporters: vec![1, 2] }]
    );
    assert_eq!(
        datagram.records,
        [MemberRecord {
            status: status(MemberId::from_name("n1").0, 2, 0, State::Alive),
            info: info("n1"),
            seconds_in_state: 60
        }]
    );
    assert_eq!(datagram.wanted_records, [MemberId(6)]);
}

#[test]
fn rejects_other_fleet_wrong_key_newer_version_and_truncation() {
    let bytes = full_datagram();
    assert_eq!(parse_datagram(&bytes, &Authenticator::new("other", b"key")), Err(DropReason::OtherFleet));
    assert_eq!(
        parse_datagram(&bytes, &Authenticator::new("prognozy", b"another key")),
        Err(DropReason::NotAuthentic)
    );
    let mut newer = bytes.clone();
    newer[0] += 1;
    assert_eq!(parse_datagram(&newer, &authenticator()), Err(DropReason::NewerVersion));
    assert_eq!(parse_datagram(&vec![0; MAX_DATAGRAM_BYTES + 1], &authenticator()), Err(DropReason::TooLong));
    for length in 0..bytes.len() {
        assert!(parse_datagram(&bytes[..length], &authenticator()).is_err(), "cut after {length}");
    }
}

#[test]
fn record_whose_name_does_not_hash_to_its_id_is_malformed() {
    let mut writer = DatagramWriter::new(DatagramKind::Sync);
    assert!(writer.record(&status(77, 2, 0, State::Alive), &info("n1"), 60));
    assert_eq!(
        parse_datagram(&writer.finish(&authenticator()), &authenticator()),
        Err(DropReason::Malformed)
    );
}

/// Authenticates any body, as a member with the key would.
fn authenticated(kind: u8, body: &[u8]) -> Vec<u8> {
    // The MAC covers header and body, so the body is written as one field that the parser may not know.
    let mut writer = DatagramWriter::new(DatagramKind::Sync);
    writer.raw_field(kind, body);
    writer.finish(&authenticator())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_datagram(&bytes, &authenticator());
    }

    /// A bit that was changed in transit is detected, wherever it is.
    #[test]
    fn any_flipped_bit_is_rejected(index in 0..full_datagram().len(), bit in 0..8u8) {
        let mut bytes = full_datagram();
        bytes[index] ^= 1 << bit;
        prop_assert!(parse_datagram(&bytes, &authenticator()).is_err());
    }

    /// Authenticated fields of any tag and content are parsed or rejected as malformed, never with a panic,
    /// and never yield more than was sent.
    #[test]
    fn any_authenticated_field_parses_or_is_malformed(
        tag in any::<u8>(),
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(datagram) = parse_datagram(&authenticated(tag, &body), &authenticator()) {
            prop_assert!(
                datagram.updates.len()
                    + datagram.records.len()
                    + datagram.wanted_records.len()
                    + datagram.digests.len()
                    + datagram.listed_prefixes.len()
                    <= 1
            );
        }
    }
}
