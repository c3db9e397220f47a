//! File for a snapshot of the outages that the sender knows of. It has two slots that are written
//! alternately, each with a checksum: if a process ends during a write, the previous snapshot stays intact.

/// File name.
pub const OUTAGE_SNAPSHOT_FILE: &str = "outages";
const SLOT_HEADER_BYTES: usize = 16;
/// Slot size in files of earlier versions, which did not depend on the disk limit.
const EARLIER_SLOT_BYTES: usize = 2_048;

/// Position of the two slots in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    slot_bytes: usize,
}

impl Layout {
    /// `disk_limit_bytes`: the limit of the folder's size.
    pub fn for_disk_limit(disk_limit_bytes: u64) -> Layout {
        Layout { slot_bytes: nickelshed_budget::outage_list_bytes(disk_limit_bytes) as usize }
    }

    /// Maximum size of the file.
    pub fn file_size(self) -> u64 {
        2 * self.slot_bytes as u64
    }

    /// Maximum length of a snapshot.
    pub fn max_snapshot_bytes(self) -> usize {
        self.slot_bytes - SLOT_HEADER_BYTES
    }

    /// Returns the offset of the slot for the snapshot with this number.
    pub fn offset(self, number: u64) -> u64 {
        number % 2 * self.slot_bytes as u64
    }

    /// Returns the newest intact snapshot with its number.
    pub fn newest(self, file: &[u8]) -> Option<(u64, Vec<u8>)> {
        let slot_at = |offset: usize| decode_slot(file.get(offset..)?);
        let may_be_earlier_layout = file.len() <= 2 * EARLIER_SLOT_BYTES;
        let snapshots = [
            decode_slot(file),
            slot_at(self.slot_bytes),
            may_be_earlier_layout.then(|| slot_at(EARLIER_SLOT_BYTES)).flatten(),
        ];
        snapshots.into_iter().flatten().max_by_key(|(number, _)| *number)
    }
}

/// Layout: a checksum of what follows, the length, the number, the snapshot.
pub fn encode_slot(number: u64, bytes: &[u8]) -> Vec<u8> {
    let mut checked = (bytes.len() as u32).to_le_bytes().to_vec();
    checked.extend_from_slice(&number.to_le_bytes());
    checked.extend_from_slice(bytes);
    let mut encoded = crc32fast::hash(&checked).to_le_bytes().to_vec();
    encoded.append(&mut checked);
    encoded
}

/// Returns None unless the checksum matches. Ignores bytes after the snapshot, left by a longer one before
/// it.
fn decode_slot(slot: &[u8]) -> Option<(u64, Vec<u8>)> {
    let read_u32 = |offset: usize| Some(u32::from_le_bytes(slot.get(offset..offset + 4)?.try_into().ok()?));
    let (checksum, length) = (read_u32(0)?, read_u32(4)? as usize);
    let number = u64::from_le_bytes(slot.get(8..SLOT_HEADER_BYTES)?.try_into().ok()?);
    let checked = slot.get(4..SLOT_HEADER_BYTES.checked_add(length)?)?;
    (crc32fast::hash(checked) == checksum)
        .then(|| (number, slot[SLOT_HEADER_BYTES..SLOT_HEADER_BYTES + length].to_vec()))
}

#[cfg(test)]
mod tests;
