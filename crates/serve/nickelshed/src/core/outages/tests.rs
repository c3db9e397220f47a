use super::*;

/// On the smallest disk, and on one of 3 MB.
const LEAST_ROOM: usize = 2_032;
const ROOM: usize = 46_576;

#[test]
fn as_many_as_are_kept_find_room_and_what_cannot_be_read_is_nothing() {
    let longest = Kept {
        dest: u64::MAX,
        endpoint: Some("e".repeat(nickelshed_journal::MAX_ENDPOINT_NAME_BYTES)),
        doubt: true,
        last_failure: i64::MIN,
        proved: u32::MAX,
    };
    let all = that_fit(vec![longest.clone(); 1_000], LEAST_ROOM);
    let bytes = written(&all);
    assert!(all.len() > 15 && bytes.len() <= LEAST_ROOM, "{}", bytes.len());
    assert_eq!(read(&bytes), all);
    let newer = Kept { last_failure: 7, endpoint: None, ..longest.clone() };
    let mut many = vec![longest; 1_000];
    many.push(newer.clone());
    assert_eq!(that_fit(many, LEAST_ROOM)[0], newer, "the newest failures first");
    for cut in 0..bytes.len() {
        assert_eq!(read(&bytes[..cut]), []);
    }
    assert_eq!(read(&[0xff; 64]), []);
}

/// As platforms name them, every endpoint a route of its own and all of them out.
#[test]
fn a_thousand_routes_that_are_out_are_all_kept() {
    let out = |i: u64| Kept {
        dest: i,
        endpoint: Some(format!("s-{i:08x}.region-3")),
        doubt: i.is_multiple_of(2),
        last_failure: 17_900_000_000 + i as i64,
        proved: 400,
    };
    let all = that_fit((0..1_024).map(out).collect(), ROOM);
    assert_eq!(all.len(), 1_024);
    assert_eq!(read(&written(&all)), all);
}
