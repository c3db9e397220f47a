//! A few bytes beside the journal, sealed so that half of them are never taken for all. They stand in one of two places by
//! turns: a process that ends while it writes one leaves the one before.

/// The file's name.
pub const NOTE: &str = "outages";
const HEAD: usize = 16;
/// A file of the versions before had places of this size, whatever the disk.
const EARLIER_PLACE: usize = 2_048;

/// Where the two places stand in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    place: usize,
}

impl Layout {
    /// `disk`: the bytes that the folder may take.
    pub fn on(disk: u64) -> Layout {
        Layout { place: nickelshed_budget::outage_list_bytes(disk) as usize }
    }

    /// The most bytes of the file.
    pub fn file_size(self) -> u64 {
        2 * self.place as u64
    }

    /// The most bytes of a note.
    pub fn most(self) -> usize {
        self.place - HEAD
    }

    /// Where the note of that number stands in the file.
    pub fn offset(self, number: u64) -> u64 {
        number % 2 * self.place as u64
    }

    /// The newest that is whole, with its number.
    pub fn newest(self, file: &[u8]) -> Option<(u64, Vec<u8>)> {
        let second = |at: usize| opened(file.get(at..)?);
        let earlier = file.len() <= 2 * EARLIER_PLACE;
        let places = [opened(file), second(self.place), earlier.then(|| second(EARLIER_PLACE)).flatten()];
        places.into_iter().flatten().max_by_key(|(number, _)| *number)
    }
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

#[cfg(test)]
mod tests;
