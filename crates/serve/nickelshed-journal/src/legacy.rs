//! Reader for the legacy journal format, which had no version: one file of records, each with a length, a
//! checksum, a JSON head and the message body. It is read once, when a sender is upgraded in place.
use crate::record::{AcceptedMessage, AttemptRecord, Ending, LiveMessage, Record, MAX_BODY_BYTES};
use crate::table::MessageTable;
use bytes::Bytes;
use serde::Deserialize;
use std::rc::Rc;

const RECORD_HEADER_BYTES: usize = 8;
/// Maximum length of a record: a body and its headers.
const MAX_RECORD_BYTES: usize = 4 * MAX_BODY_BYTES;

/// How far to search for valid records after an unreadable one. A torn write is usually shorter. A longer
/// one, from a commit of several large messages, is treated as damage, which only marks messages as uncertain
/// without need.
const MAX_SCAN_BYTES: usize = 128 << 10;

#[derive(Deserialize)]
struct LegacyMessage {
    #[serde(rename = "i")]
    id: u64,
    #[serde(rename = "c")]
    class: String,
    #[serde(rename = "u")]
    tenant: String,
    #[serde(rename = "d")]
    dest: u64,
    #[serde(rename = "m")]
    trace: String,
    #[serde(rename = "k")]
    key: Option<String>,
    #[serde(rename = "t")]
    deadline_ms: i64,
}

#[derive(Deserialize)]
#[serde(rename = "OldBegun")]
struct LegacyAttempt {
    #[serde(rename = "n")]
    number: u32,
    #[serde(rename = "t")]
    started_at_ms: i64,
    #[serde(rename = "e")]
    endpoint: String,
}

#[derive(Deserialize)]
#[serde(rename = "OldEnding")]
enum LegacyEnding {
    #[serde(rename = "g")]
    GivenUp,
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

#[derive(Deserialize)]
enum LegacyRecord {
    #[serde(rename = "T")]
    Accepted(LegacyMessage),
    #[serde(rename = "B")]
    AttemptStarted(u64, LegacyAttempt),
    #[serde(rename = "N")]
    AttemptNeverRan(u64, u32),
    #[serde(rename = "D")]
    EndingDecided(u64, LegacyEnding),
    #[serde(rename = "E")]
    Finished(u64),
}

fn decode_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let read_u32 =
        |offset: usize| Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?) as usize);
    let length = read_u32(0)?;
    if !(4..=MAX_RECORD_BYTES).contains(&length) {
        return None;
    }
    let payload = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)?;
    if crc32fast::hash(payload) as usize != read_u32(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(read_u32(RECORD_HEADER_BYTES)?)?;
    let record = match serde_json::from_slice(head).ok()? {
        LegacyRecord::Accepted(message) => Record::Accepted(Rc::new(AcceptedMessage {
            id: message.id,
            class: message.class,
            tenant: message.tenant,
            dest: message.dest,
            trace: message.trace,
            key: message.key,
            accepted_at_ms: 0,
            deadline_ms: message.deadline_ms,
            body: Bytes::copy_from_slice(body),
            memory_share: None,
        })),
        LegacyRecord::AttemptStarted(id, attempt) => Record::AttemptStarted(
            id,
            AttemptRecord {
                number: attempt.number,
                started_at_ms: attempt.started_at_ms,
                endpoint: attempt.endpoint,
                never_ran: false,
            },
        ),
        LegacyRecord::AttemptNeverRan(id, number) => Record::AttemptNeverRan(id, number),
        LegacyRecord::EndingDecided(id, LegacyEnding::GivenUp) => Record::EndingDecided(id, Ending::GivenUp),
        LegacyRecord::EndingDecided(id, LegacyEnding::HandedBack(retry_after_ms)) => {
            Record::EndingDecided(id, Ending::HandedBack(retry_after_ms))
        }
        LegacyRecord::Finished(id) => Record::Finished(id),
    };
    Some((record, RECORD_HEADER_BYTES + length))
}

/// Reads a legacy file up to the first unreadable record. Returns the live messages, and the number of bytes
/// from there to the end of the file.
pub fn read_legacy_file(bytes: &[u8]) -> (Vec<LiveMessage>, usize) {
    let mut table = MessageTable::default();
    let mut offset = 0;
    while let Some((record, length)) = decode_record(&bytes[offset..]) {
        table.apply(&record, 0);
        offset += length;
    }
    // The format cannot distinguish damage from a torn write. If valid records follow, the lost ones may
    // include attempts.
    let rest = &bytes[offset..];
    if (1..rest.len()).take(MAX_SCAN_BYTES).any(|skip| decode_record(&rest[skip..]).is_some())
        || rest.len() > MAX_SCAN_BYTES
    {
        table.assume_attempts(0);
    }
    (table.into_live(), rest.len())
}
