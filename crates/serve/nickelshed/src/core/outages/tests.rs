use super::*;

/// Capacity on the smallest disk allowed, and on a disk of 3 MB.
const MIN_CAPACITY: usize = 2_032;
const CAPACITY_3_MB: usize = 46_576;

#[test]
fn newest_outages_fit_the_capacity_and_damaged_data_reads_as_none() {
    let longest = PersistedOutage {
        dest: u64::MAX,
        endpoint: Some("e".repeat(nickelshed_journal::MAX_ENDPOINT_NAME_BYTES)),
        suspect: true,
        last_failure_ds: i64::MIN,
        proven_per_10s: u32::MAX,
    };
    let all = newest_that_fit(vec![longest.clone(); 1_000], MIN_CAPACITY);
    let bytes = encode(&all);
    assert!(all.len() > 15 && bytes.len() <= MIN_CAPACITY, "{}", bytes.len());
    assert_eq!(decode(&bytes), all);
    let newer = PersistedOutage { last_failure_ds: 7, endpoint: None, ..longest.clone() };
    let mut many = vec![longest; 1_000];
    many.push(newer.clone());
    assert_eq!(newest_that_fit(many, MIN_CAPACITY)[0], newer, "the newest failures first");
    for cut in 0..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), []);
    }
    assert_eq!(decode(&[0xff; 64]), []);
}

/// With names as platforms give them, each endpoint a route of its own, and all routes unavailable.
#[test]
fn a_thousand_unavailable_routes_are_all_persisted() {
    let outage = |i: u64| PersistedOutage {
        dest: i,
        endpoint: Some(format!("s-{i:08x}.region-3")),
        suspect: i.is_multiple_of(2),
        last_failure_ds: 17_900_000_000 + i as i64,
        proven_per_10s: 400,
    };
    let all = newest_that_fit((0..1_024).map(outage).collect(), CAPACITY_3_MB);
    assert_eq!(all.len(), 1_024);
    assert_eq!(decode(&encode(&all)), all);
}
