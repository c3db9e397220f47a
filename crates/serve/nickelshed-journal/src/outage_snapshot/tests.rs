use super::*;

const EARLIER_LAYOUT: Layout = Layout { slot_bytes: EARLIER_SLOT_BYTES };

fn write_slot(layout: Layout, file: &mut Vec<u8>, number: u64, bytes: &[u8], max_written_bytes: usize) {
    let offset = layout.offset(number) as usize;
    let encoded = encode_slot(number, bytes);
    let written = &encoded[..max_written_bytes.min(encoded.len())];
    file.resize(file.len().max(offset + written.len()), 0);
    file[offset..offset + written.len()].copy_from_slice(written);
}

#[test]
fn every_truncation_and_every_flipped_bit_is_detected() {
    let encoded = encode_slot(1, b"outage state");
    assert_eq!(decode_slot(&encoded).unwrap(), (1, b"outage state".to_vec()));
    let mut with_old_bytes = encoded.clone();
    with_old_bytes.extend_from_slice(b"older longer data");
    assert_eq!(decode_slot(&with_old_bytes).unwrap().1, b"outage state");
    for cut in 0..encoded.len() {
        assert_eq!(decode_slot(&encoded[..cut]), None);
    }
    for bit in 0..encoded.len() * 8 {
        let mut corrupted = encoded.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode_slot(&corrupted), None, "bit {bit}");
    }
}

#[test]
fn a_write_torn_at_any_byte_leaves_the_previous_snapshot() {
    let snapshots: Vec<Vec<u8>> = (1..=6u8).map(|n| vec![n; 700 * usize::from(n % 3)]).collect();
    let mut file = Vec::new();
    for (index, snapshot) in snapshots.iter().enumerate() {
        let number = index as u64 + 1;
        for cut in 0..encode_slot(number, snapshot).len() {
            let mut torn_file = file.clone();
            write_slot(EARLIER_LAYOUT, &mut torn_file, number, snapshot, cut);
            let previous = index.checked_sub(1).map(|index| snapshots[index].clone());
            // A cut may fall where the remaining bytes already match the previous contents of the slot.
            let found = EARLIER_LAYOUT.newest(&torn_file).map(|(_, bytes)| bytes);
            assert!(found == previous || found.as_ref() == Some(snapshot), "snapshot {number} cut at {cut}");
        }
        write_slot(EARLIER_LAYOUT, &mut file, number, snapshot, usize::MAX);
        assert_eq!(EARLIER_LAYOUT.newest(&file).unwrap(), (number, snapshot.clone()));
    }
}

#[test]
fn the_slot_size_grows_with_the_disk_limit_between_its_bounds() {
    let slot_bytes_for = |disk_limit_bytes: u64| Layout::for_disk_limit(disk_limit_bytes).slot_bytes;
    assert_eq!(
        (slot_bytes_for(0), slot_bytes_for(100_000), slot_bytes_for(u64::MAX)),
        (2_048, 2_048, 98_304)
    );
    assert_eq!(slot_bytes_for(3_000_000), 46_592);
    assert_eq!(Layout::for_disk_limit(3_000_000).file_size(), 93_184);
}

#[test]
fn a_file_of_an_earlier_version_is_read_and_updated() {
    let current_layout = Layout::for_disk_limit(3_000_000);
    let mut file = Vec::new();
    for number in 1..=2 {
        write_slot(EARLIER_LAYOUT, &mut file, number, &[number as u8; 100], usize::MAX);
    }
    assert_eq!(current_layout.newest(&file).unwrap(), (2, vec![2; 100]));
    write_slot(EARLIER_LAYOUT, &mut file, 3, b"in the second slot", usize::MAX);
    assert_eq!(current_layout.newest(&file).unwrap(), (3, b"in the second slot".to_vec()));
    write_slot(current_layout, &mut file, 4, b"by the new version", usize::MAX);
    write_slot(current_layout, &mut file, 5, &[5; 10_000], usize::MAX);
    assert_eq!(current_layout.newest(&file).unwrap(), (5, vec![5; 10_000]));
}
