//! A few bytes beside the journal, sealed so that half of them are never taken for all. They stand in one of two places by
//! turns: a process that ends while it writes one leaves the one before.

/// The file's name, and its bytes at most.
pub const NOTE: &str = "outages";
pub const NOTE_SIZE: u64 = 4096;
const PLACE: usize = NOTE_SIZE as usize / 2;
const HEAD: usize = 16;
pub const MOST_NOTE: usize = PLACE - HEAD;

/// Where the note of that number stands in the file.
pub fn place(number: u64) -> u64 {
    number % 2 * PLACE as u64
}

/// Checksum over what follows, length, number, bytes.
pub fn sealed(number: u64, bytes: &[u8]) -> Vec<u8> {
    let mut rest = (bytes.len() as u32).to_le_bytes().to_vec();
    rest.extend_from_slice(&number.to_le_bytes());
    rest.extend_from_slice(bytes);
    let mut out = crc32fast::hash(&rest).to_le_bytes().to_vec();
    out.append(&mut rest);
    out
}

/// None unless it is as it was sealed. What stands behind it, from a longer one before, is nothing.
fn opened(place: &[u8]) -> Option<(u64, Vec<u8>)> {
    let word = |at: usize| Some(u32::from_le_bytes(place.get(at..at + 4)?.try_into().ok()?));
    let (sum, length) = (word(0)?, word(4)? as usize);
    let number = u64::from_le_bytes(place.get(8..HEAD)?.try_into().ok()?);
    let rest = place.get(4..HEAD.checked_add(length)?)?;
    (crc32fast::hash(rest) == sum).then(|| (number, place[HEAD..HEAD + length].to_vec()))
}

/// The newest that is whole, with its number.
pub fn newest(file: &[u8]) -> Option<(u64, Vec<u8>)> {
    let (first, second) = file.split_at(file.len().min(PLACE));
    [first, second].into_iter().filter_map(opened).max_by_key(|(number, _)| *number)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn written(file: &mut Vec<u8>, number: u64, bytes: &[u8], most: usize) {
        let at = place(number) as usize;
        let sealed = sealed(number, bytes);
        let some = &sealed[..most.min(sealed.len())];
        file.resize(file.len().max(at + some.len()), 0);
        file[at..at + some.len()].copy_from_slice(some);
    }

    #[test]
    fn each_cut_and_each_flipped_bit_is_seen() {
        let whole = sealed(1, b"who is out");
        assert_eq!(opened(&whole).unwrap(), (1, b"who is out".to_vec()));
        let mut longer = whole.clone();
        longer.extend_from_slice(b"left from before");
        assert_eq!(opened(&longer).unwrap().1, b"who is out");
        for cut in 0..whole.len() {
            assert_eq!(opened(&whole[..cut]), None);
        }
        for bit in 0..whole.len() * 8 {
            let mut spoilt = whole.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(opened(&spoilt), None, "bit {bit}");
        }
    }

    #[test]
    fn one_that_is_cut_short_at_any_byte_leaves_the_one_before() {
        let texts: Vec<Vec<u8>> = (1..=6u8).map(|n| vec![n; 700 * usize::from(n % 3)]).collect();
        let mut file = Vec::new();
        for (n, text) in texts.iter().enumerate() {
            let number = n as u64 + 1;
            for cut in 0..sealed(number, text).len() {
                let mut torn = file.clone();
                written(&mut torn, number, text, cut);
                let before = n.checked_sub(1).map(|n| texts[n].clone());
                // All but bytes that happen to stand there already.
                let found = newest(&torn).map(|(_, bytes)| bytes);
                assert!(found == before || found.as_ref() == Some(text), "note {number} cut at {cut}");
            }
            written(&mut file, number, text, usize::MAX);
            assert_eq!(newest(&file).unwrap(), (number, text.clone()));
        }
    }
}
