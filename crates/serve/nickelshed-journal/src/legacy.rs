//! The journal's form before it had a version: one file of records, each a length, a checksum, a head in JSON and
//! the body. Only read, once, when a sender is upgraded in place.
use crate::record::{Begun, Ending, Live, Record, Taken, MAX_BODY};
use crate::table::Table;
use bytes::Bytes;
use serde::Deserialize;
use std::rc::Rc;

const FRAME: usize = 8;
/// Longest record: a body and its headers.
const MAX_RECORD: usize = 4 * MAX_BODY;

/// How far good records are looked for behind one that can't be read. A write that was cut off is shorter, but for
/// rounds of several large messages; those are doubted without need.
const MAX_SCAN: usize = 128 << 10;

#[derive(Deserialize)]
struct OldTaken {
    i: u64,
    c: String,
    u: String,
    d: u64,
    m: String,
    k: Option<String>,
    t: i64,
}

#[derive(Deserialize)]
struct OldBegun {
    n: u32,
    t: i64,
    e: String,
}

#[derive(Deserialize)]
enum OldEnding {
    #[serde(rename = "g")]
    GivenUp,
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

#[derive(Deserialize)]
enum Old {
    #[serde(rename = "T")]
    Taken(OldTaken),
    #[serde(rename = "B")]
    Begun(u64, OldBegun),
    #[serde(rename = "N")]
    NeverRan(u64, u32),
    #[serde(rename = "D")]
    Decided(u64, OldEnding),
    #[serde(rename = "E")]
    Ended(u64),
}

fn record(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize);
    let length = word(0)?;
    if !(4..=MAX_RECORD).contains(&length) {
        return None;
    }
    let payload = bytes.get(FRAME..FRAME + length)?;
    if crc32fast::hash(payload) as usize != word(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(word(FRAME)?)?;
    let record = match serde_json::from_slice(head).ok()? {
        Old::Taken(t) => Record::Taken(Rc::new(Taken {
            id: t.i,
            class: t.c,
            tenant: t.u,
            dest: t.d,
            trace: t.m,
            key: t.k,
            since: 0,
            end: t.t,
            body: Bytes::copy_from_slice(body),
            share: None,
        })),
        Old::Begun(id, b) => {
            Record::Begun(id, Begun { number: b.n, at: b.t, endpoint: b.e, never_ran: false })
        }
        Old::NeverRan(id, number) => Record::NeverRan(id, number),
        Old::Decided(id, OldEnding::GivenUp) => Record::Decided(id, Ending::GivenUp),
        Old::Decided(id, OldEnding::HandedBack(ms)) => Record::Decided(id, Ending::HandedBack(ms)),
        Old::Ended(id) => Record::Ended(id),
    };
    Some((record, FRAME + length))
}

/// What lives in such a file, and how many bytes at its end can't be read.
pub fn read(bytes: &[u8]) -> (Vec<Live>, usize) {
    let mut table = Table::default();
    let mut at = 0;
    while let Some((record, length)) = record(&bytes[at..]) {
        table.apply(&record, 0);
        at += length;
    }
    // That form can't tell damage from a torn end. With records behind it an attempt's may be among what is lost.
    let rest = &bytes[at..];
    if (1..rest.len()).take(MAX_SCAN).any(|skip| record(&rest[skip..]).is_some()) || rest.len() > MAX_SCAN {
        table.doubt(0);
    }
    (table.into_live(), rest.len())
}
