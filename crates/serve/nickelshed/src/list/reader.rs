//! Reads a list of endpoints piece by piece as its bytes arrive. Memory use depends on what the list says, not
//! on how many bytes it takes: white space and unknown members are not kept, and each entry is parsed as soon
//! as it is complete. It does no I/O.
use super::{parse_instance, EndpointList, Instance};
use serde_json::{Map, Value};
use std::fmt;

/// Maximum size in bytes of one member or entry, without its insignificant white space. Larger entries are
/// skipped, as other invalid ones are.
const MAX_PIECE_BYTES: usize = 64 << 10;

/// Why bytes are not a usable list.
#[derive(Debug)]
pub enum ListError {
    Json(serde_json::Error),
    /// The structure is wrong at this byte offset.
    Malformed(u64),
    /// A known member has a value of the wrong type, or occurs twice.
    InvalidMember(&'static str),
    /// The text ended before the list did.
    Truncated,
    /// The entries take more than this many bytes of memory.
    TooLarge(usize),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::Json(error) => write!(f, "{error}"),
            ListError::Malformed(offset) => write!(f, "unexpected text at byte {offset}"),
            ListError::InvalidMember(name) => write!(f, "the member {name} is invalid or occurs twice"),
            ListError::Truncated => f.write_str("it ends too early"),
            ListError::TooLarge(limit) => write!(f, "its entries take more than {limit} bytes of memory"),
        }
    }
}

/// The part of the text that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    BeforeObject,
    /// In a member of the object, or before one.
    Member,
    /// In an entry of `instances`, or before one.
    Entry,
    AfterEntries,
    AfterObject,
}

/// A list that is being read.
pub struct ListReader {
    position: Position,
    /// The current member or entry, with each run of white space outside strings as one space.
    piece: Vec<u8>,
    is_oversized: bool,
    /// Open brackets of the current member or entry.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
    /// Whether the last member or entry was followed by a comma.
    is_after_comma: bool,
    offset: u64,
    has_entries: bool,
    generation: Option<u64>,
    reset: Option<bool>,
    instances: Vec<Instance>,
    /// Memory that `instances` uses, in bytes.
    instance_bytes: usize,
    max_instance_bytes: usize,
}

impl ListReader {
    /// `max_instance_bytes` limits the memory that the entries may use.
    pub fn new(max_instance_bytes: usize) -> ListReader {
        ListReader {
            position: Position::BeforeObject,
            piece: Vec::new(),
            is_oversized: false,
            depth: 0,
            is_in_string: false,
            is_escaped: false,
            is_after_comma: false,
            offset: 0,
            has_entries: false,
            generation: None,
            reset: None,
            instances: Vec::new(),
            instance_bytes: 0,
            max_instance_bytes,
        }
    }

    /// Reads the next bytes of the text.
    ///
    /// # Errors
    /// If the text is not a list, or the list takes too much memory.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        for &byte in bytes {
            self.push_byte(byte)?;
            self.offset += 1;
        }
        Ok(())
    }

    /// Memory that the entries read so far use, in bytes.
    pub fn instance_bytes(&self) -> usize {
        self.instance_bytes
    }

    /// Returns the list after the last byte.
    ///
    /// # Errors
    /// If the text is incomplete.
    pub fn finish(self) -> Result<EndpointList, ListError> {
        if self.position != Position::AfterObject {
            return Err(ListError::Truncated);
        }
        Ok(EndpointList {
            generation: self.generation.unwrap_or_default(),
            reset: self.reset.unwrap_or_default(),
            instances: self.instances,
        })
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), ListError> {
        if self.is_in_string {
            self.keep(byte);
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.is_in_string = false,
                _ => {}
            }
            return Ok(());
        }
        if matches!(byte, b' ' | b'\t' | b'\n' | b'\r') {
            if self.piece.last().is_some_and(|last| *last != b' ') {
                self.keep(b' ');
            }
            return Ok(());
        }
        match self.position {
            Position::BeforeObject if byte == b'{' => self.position = Position::Member,
            Position::Member | Position::Entry if self.depth > 0 => self.push_nested(byte),
            Position::Member => return self.push_member_byte(byte),
            Position::Entry => return self.push_entry_byte(byte),
            Position::AfterEntries if byte == b',' => {
                self.is_after_comma = true;
                self.position = Position::Member;
            }
            Position::AfterEntries if byte == b'}' => self.position = Position::AfterObject,
            _ => return Err(ListError::Malformed(self.offset)),
        }
        Ok(())
    }

    /// Reads a byte outside strings that belongs to the current member or entry.
    fn push_nested(&mut self, byte: u8) {
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        self.keep(byte);
    }

    fn push_member_byte(&mut self, byte: u8) -> Result<(), ListError> {
        match byte {
            b'[' if self.is_at_entries() => {
                if std::mem::replace(&mut self.has_entries, true) {
                    return Err(ListError::InvalidMember("instances"));
                }
                self.piece.clear();
                self.is_after_comma = false;
                self.position = Position::Entry;
            }
            b',' | b'}' => {
                let is_last = byte == b'}';
                let is_empty_object = is_last && self.piece.is_empty() && !self.is_after_comma;
                if !is_empty_object {
                    self.end_member()?;
                }
                self.is_after_comma = !is_last;
                self.position = if is_last { Position::AfterObject } else { Position::Member };
            }
            b']' => return Err(ListError::Malformed(self.offset)),
            _ => self.push_nested(byte),
        }
        Ok(())
    }

    fn push_entry_byte(&mut self, byte: u8) -> Result<(), ListError> {
        match byte {
            b',' | b']' => {
                let is_last = byte == b']';
                let is_empty_array = is_last && self.piece.is_empty() && !self.is_after_comma;
                if !is_empty_array {
                    self.end_entry()?;
                }
                self.is_after_comma = !is_last;
                self.position = if is_last { Position::AfterEntries } else { Position::Entry };
            }
            b'}' => return Err(ListError::Malformed(self.offset)),
            _ => self.push_nested(byte),
        }
        Ok(())
    }

    /// Whether the array of entries is the value that comes next.
    fn is_at_entries(&self) -> bool {
        self.piece.trim_ascii_end().strip_suffix(b":").map(<[u8]>::trim_ascii_end) == Some(b"\"instances\"")
    }

    fn keep(&mut self, byte: u8) {
        self.is_oversized |= self.piece.len() >= MAX_PIECE_BYTES;
        if !self.is_oversized {
            self.piece.push(byte);
        }
    }

    /// Takes a member other than the array of entries.
    fn end_member(&mut self) -> Result<(), ListError> {
        let piece = std::mem::take(&mut self.piece);
        let is_oversized = std::mem::take(&mut self.is_oversized);
        if piece.is_empty() {
            return Err(ListError::Malformed(self.offset));
        }
        if is_oversized {
            // No known member is that long.
            return Ok(());
        }
        let object = [b"{", piece.as_slice(), b"}"].concat();
        let members: Map<String, Value> = serde_json::from_slice(&object).map_err(ListError::Json)?;
        for (name, value) in members {
            match name.as_str() {
                "generation" => set_once(&mut self.generation, value.as_u64(), "generation")?,
                "reset" => set_once(&mut self.reset, value.as_bool(), "reset")?,
                "instances" => return Err(ListError::InvalidMember("instances")),
                _ => {}
            }
        }
        Ok(())
    }

    fn end_entry(&mut self) -> Result<(), ListError> {
        if self.piece.is_empty() {
            return Err(ListError::Malformed(self.offset));
        }
        if std::mem::take(&mut self.is_oversized) {
            tracing::warn!("ignoring an entry of the endpoint list of over {MAX_PIECE_BYTES} bytes");
        } else {
            let value: Value = serde_json::from_slice(&self.piece).map_err(ListError::Json)?;
            let instance = parse_instance(&value);
            self.instance_bytes += instance.as_ref().map_or(0, Instance::memory_bytes);
            self.instances.extend(instance);
        }
        self.piece.clear();
        if self.instance_bytes > self.max_instance_bytes {
            return Err(ListError::TooLarge(self.max_instance_bytes));
        }
        Ok(())
    }
}

fn set_once<T>(member: &mut Option<T>, value: Option<T>, name: &'static str) -> Result<(), ListError> {
    match (&member, value) {
        (None, Some(value)) => {
            *member = Some(value);
            Ok(())
        }
        _ => Err(ListError::InvalidMember(name)),
    }
}

#[cfg(test)]
mod tests;
