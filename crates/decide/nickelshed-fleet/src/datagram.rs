//! Wire format between members: datagrams of at most 256 bytes, authenticated, made of fields that an older
//! member can skip.
//!
//! A datagram holds a format version, a kind, the fleet's tag and a MAC of eight bytes over all of it, then
//! fields of a tag, a length and a value. Unknown tags are skipped, so members with different versions of the
//! program understand one another.
use crate::member::{Incarnation, MemberId, MemberInfo, MemberStatus, State, MAX_NAME_BYTES, MAX_SITE_BYTES};
use std::net::{IpAddr, SocketAddr};

/// The platform carries no longer datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the format. A greater one means an incompatible format of a later program.
const FORMAT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 6;
const MAC_BYTES: usize = 8;

mod tag {
    pub const SENDER: u8 = 1;
    pub const SEQ: u8 = 2;
    pub const TARGET: u8 = 3;
    pub const TARGET_ADDRESS: u8 = 4;
    pub const VIEW_DIGEST: u8 = 5;
    pub const LOAD: u8 = 6;
    pub const UPDATE: u8 = 7;
    pub const RECORD: u8 = 8;
    pub const RECORD_REQUEST: u8 = 9;
    pub const CHILD_DIGESTS: u8 = 10;
    pub const LISTED_PREFIX: u8 = 11;
}

/// Number of children that an id prefix is split into, one per value of the next four bits.
pub const CHILDREN_PER_PREFIX: usize = 16;
/// Greatest number of reporters of one suspect; more would not shorten its timeout.
pub const MAX_REPORTERS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DatagramKind {
    Ping = 1,
    Ack = 2,
    /// Asks the recipient to probe the target on behalf of this member (SWIM, section 3.1: `ping-req`).
    PingReq = 3,
    /// The target has not answered the member that was asked to probe it either (Lifeguard, section IV.A:
    /// `nack`).
    Nack = 4,
    Sync = 5,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<DatagramKind> {
        [DatagramKind::Ping, DatagramKind::Ack, DatagramKind::PingReq, DatagramKind::Nack, DatagramKind::Sync]
            .into_iter()
            .find(|k| *k as u8 == byte)
    }
}

/// A prefix of member ids: it contains all ids whose first `depth` hexadecimal digits are those of `bits`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdPrefix {
    pub depth: u8,
    pub bits: u64,
}

/// Greatest depth of a prefix. At this depth members are listed one by one instead of by digests.
pub const MAX_PREFIX_DEPTH: u8 = 15;

impl IdPrefix {
    fn mask(self) -> u64 {
        match self.depth {
            0 => 0,
            depth => u64::MAX << (64 - 4 * u32::from(depth.min(MAX_PREFIX_DEPTH))),
        }
    }

    #[must_use]
    pub fn contains(self, id: MemberId) -> bool {
        (id.0 ^ self.bits) & self.mask() == 0
    }

    /// Returns the child with this index, below [`CHILDREN_PER_PREFIX`].
    #[must_use]
    pub fn child(self, index: usize) -> IdPrefix {
        let shift = 60 - 4 * u32::from(self.depth.min(MAX_PREFIX_DEPTH));
        IdPrefix { depth: self.depth + 1, bits: self.bits & self.mask() | (index as u64) << shift }
    }

    /// Returns the index of the child that holds `id`, which has to have this prefix.
    #[must_use]
    pub fn child_index(self, id: MemberId) -> usize {
        (id.0 >> (60 - 4 * u32::from(self.depth.min(MAX_PREFIX_DEPTH)))) as usize % CHILDREN_PER_PREFIX
    }
}

/// Digests of all children of a prefix. Each exchange has its own salt, so that views whose digests collide
/// under one salt differ under the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChildDigests {
    pub prefix: IdPrefix,
    pub salt: u32,
    pub digests: [u32; CHILDREN_PER_PREFIX],
}

/// A member status, with the known reporters if it is a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusUpdate {
    pub status: MemberStatus,
    pub reporters: Vec<u32>,
}

/// A member status with the member's metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    pub status: MemberStatus,
    pub info: MemberInfo,
    /// How many seconds it has been in that state, as far as the sending member knows.
    pub seconds_in_state: u16,
}

/// A parsed datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub kind: DatagramKind,
    /// Status of the sending member as it sees itself; `None` if an observer sent it.
    pub sender_status: Option<MemberStatus>,
    /// Number that an ack or nack repeats from its ping or ping request; 0 if there is none.
    pub seq: u32,
    /// The member to probe, or that was probed; [`MemberId::UNSPECIFIED`] for any.
    pub target: MemberId,
    /// Where to probe the target.
    pub target_address: Option<SocketAddr>,
    /// Digest of the sending member's whole view.
    pub view_digest: Option<u64>,
    /// Load of the sending member, in 255ths of its capacity.
    pub load: u8,
    pub updates: Vec<StatusUpdate>,
    pub records: Vec<MemberRecord>,
    /// Members whose records the sending member asks for.
    pub wanted_records: Vec<MemberId>,
    pub digests: Vec<ChildDigests>,
    /// Prefixes for which this datagram lists all members that its sender advertises.
    pub listed_prefixes: Vec<IdPrefix>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    TooLong,
    TooShort,
    /// Its format is that of a later program.
    NewerVersion,
    OtherFleet,
    /// Its MAC does not match the key of this fleet: another key, or a change in transit.
    NotAuthentic,
    /// Authenticated by the key, but malformed.
    Malformed,
}

/// The fleet's name and key, by which every datagram is authenticated.
#[derive(Clone)]
pub struct Authenticator {
    fleet_tag: [u8; 4],
    key: [u8; 32],
}

impl std::fmt::Debug for Authenticator {
    // Leaves out the key, which must not appear in a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Seal").field("tag", &self.fleet_tag).finish_non_exhaustive()
    }
}

impl Authenticator {
    /// Derives both from the fleet's name and the bytes of its key, which may be empty on a trusted network.
    #[must_use]
    pub fn new(fleet: &str, key: &[u8]) -> Authenticator {
        let name_key = blake3::derive_key("nickelshed fleet datagrams, name", fleet.as_bytes());
        let mut material = name_key.to_vec();
        material.extend_from_slice(key);
        let key = blake3::derive_key("nickelshed fleet datagrams, key", &material);
        Authenticator { fleet_tag: name_key[..4].try_into().expect("a key has 32 bytes"), key }
    }

    fn mac(&self, header: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(header).update(body);
        hasher.finalize().as_bytes()[..MAC_BYTES].try_into().expect("a hash has 32 bytes")
    }
}

/// Writes a datagram, field by field.
pub struct DatagramWriter {
    bytes: Vec<u8>,
}

impl DatagramWriter {
    #[must_use]
    pub fn new(kind: DatagramKind) -> DatagramWriter {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.extend([FORMAT_VERSION, kind as u8]);
        bytes.resize(HEADER_BYTES + MAC_BYTES, 0);
        DatagramWriter { bytes }
    }

    /// Appends a field if it fits, and returns whether it did.
    fn write_field(&mut self, tag: u8, value: &[u8]) -> bool {
        if self.bytes.len() + 2 + value.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        self.bytes.extend([tag, value.len() as u8]);
        self.bytes.extend_from_slice(value);
        true
    }

    pub fn sender(&mut self, own: &MemberStatus) {
        let mut value = Vec::new();
        put_status(&mut value, own);
        self.write_field(tag::SENDER, &value);
    }

    pub fn seq(&mut self, seq: u32) {
        self.write_field(tag::SEQ, &seq.to_le_bytes());
    }

    pub fn target(&mut self, id: MemberId) {
        self.write_field(tag::TARGET, &id.0.to_le_bytes());
    }

    pub fn target_address(&mut self, address: SocketAddr) {
        let mut value = Vec::new();
        put_address(&mut value, address);
        self.write_field(tag::TARGET_ADDRESS, &value);
    }

    pub fn view_digest(&mut self, view_digest: u64) {
        self.write_field(tag::VIEW_DIGEST, &view_digest.to_le_bytes());
    }

    pub fn load(&mut self, load: u8) {
        self.write_field(tag::LOAD, &[load]);
    }

    /// Returns whether it fitted, as all methods below that return `bool` do.
    pub fn update(&mut self, update: &StatusUpdate) -> bool {
        let mut value = Vec::new();
        put_status(&mut value, &update.status);
        for reporter in update.reporters.iter().take(MAX_REPORTERS) {
            value.extend(reporter.to_le_bytes());
        }
        self.write_field(tag::UPDATE, &value)
    }

    /// `seconds_in_state`: how long the member has been in that state.
    pub fn record(&mut self, status: &MemberStatus, info: &MemberInfo, seconds_in_state: u16) -> bool {
        let mut value = Vec::new();
        put_status(&mut value, status);
        for component in info.version {
            value.extend(component.to_le_bytes());
        }
        value.extend(info.settings.to_le_bytes());
        put_address(&mut value, info.address);
        for text in [&info.name, &info.site] {
            value.push(text.len() as u8);
            value.extend(text.as_bytes());
        }
        value.extend(seconds_in_state.to_le_bytes());
        self.write_field(tag::RECORD, &value)
    }

    pub fn record_request(&mut self, id: MemberId) -> bool {
        self.write_field(tag::RECORD_REQUEST, &id.0.to_le_bytes())
    }

    pub fn child_digests(&mut self, child_digests: &ChildDigests) -> bool {
        let mut value = vec![child_digests.prefix.depth];
        value.extend(child_digests.prefix.bits.to_le_bytes());
        value.extend(child_digests.salt.to_le_bytes());
        child_digests.digests.iter().for_each(|digest| value.extend(digest.to_le_bytes()));
        self.write_field(tag::CHILD_DIGESTS, &value)
    }

    pub fn listed_prefix(&mut self, prefix: IdPrefix) -> bool {
        let mut value = vec![prefix.depth];
        value.extend(prefix.bits.to_le_bytes());
        self.write_field(tag::LISTED_PREFIX, &value)
    }

    /// Appends a field with any tag, as a later program may write it.
    pub fn raw_field(&mut self, tag: u8, value: &[u8]) -> bool {
        self.write_field(tag, value)
    }

    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Removes what was written beyond this length.
    pub(crate) fn truncate(&mut self, length: usize) {
        self.bytes.truncate(length);
    }

    /// Fills in the fleet's tag and the MAC, and returns the datagram.
    #[must_use]
    pub fn finish(mut self, authenticator: &Authenticator) -> Vec<u8> {
        self.bytes[2..HEADER_BYTES].copy_from_slice(&authenticator.fleet_tag);
        let (header, after_header) = self.bytes.split_at(HEADER_BYTES);
        let mac = authenticator.mac(header, &after_header[MAC_BYTES..]);
        self.bytes[HEADER_BYTES..HEADER_BYTES + MAC_BYTES].copy_from_slice(&mac);
        self.bytes
    }
}

fn put_status(value: &mut Vec<u8>, status: &MemberStatus) {
    value.extend(status.id.0.to_le_bytes());
    let incarnation = status.incarnation;
    for component in [incarnation.start_number, incarnation.nonce, incarnation.number] {
        value.extend(component.to_le_bytes());
    }
    value.push(status.state as u8);
}

fn put_address(value: &mut Vec<u8>, address: SocketAddr) {
    value.extend(address.port().to_le_bytes());
    match address.ip() {
        IpAddr::V4(ip) => {
            value.push(4);
            value.extend(ip.octets());
        }
        IpAddr::V6(ip) => {
            value.push(6);
            value.extend(ip.octets());
        }
    }
}

/// Bytes still to be read. Each method returns `None` if fewer are left than it needs.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn read_bytes(&mut self, length: usize) -> Option<&'a [u8]> {
        let (bytes, remaining) = self.0.split_at_checked(length)?;
        self.0 = remaining;
        Some(bytes)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.read_bytes(N)?.try_into().ok()
    }

    fn u8(&mut self) -> Option<u8> {
        self.array().map(|[b]| b)
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn incarnation(&mut self) -> Option<Incarnation> {
        Some(Incarnation { start_number: self.u32()?, nonce: self.u32()?, number: self.u32()? })
    }

    fn status(&mut self) -> Option<MemberStatus> {
        let status = MemberStatus {
            id: MemberId(self.u64()?),
            incarnation: self.incarnation()?,
            state: State::from_byte(self.u8()?)?,
        };
        (status.id != MemberId::UNSPECIFIED).then_some(status)
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let port = self.u16()?;
        let ip: IpAddr = match self.u8()? {
            4 => self.array::<4>()?.into(),
            6 => self.array::<16>()?.into(),
            _ => return None,
        };
        Some(SocketAddr::new(ip, port))
    }

    fn text(&mut self, max_bytes: usize) -> Option<String> {
        let length = usize::from(self.u8()?);
        let text = std::str::from_utf8(self.read_bytes(length)?).ok()?;
        (length <= max_bytes).then(|| text.to_string())
    }

    fn info(&mut self) -> Option<MemberInfo> {
        let version = [self.u16()?, self.u16()?, self.u16()?];
        let (settings, address) = (self.u32()?, self.address()?);
        let (name, site) = (self.text(MAX_NAME_BYTES)?, self.text(MAX_SITE_BYTES)?);
        Some(MemberInfo { name, address, site, version, settings })
    }

    fn id_prefix(&mut self) -> Option<IdPrefix> {
        let prefix = IdPrefix { depth: self.u8()?, bits: self.u64()? };
        (prefix.depth <= MAX_PREFIX_DEPTH).then_some(prefix)
    }

    fn child_digests(&mut self) -> Option<ChildDigests> {
        let (prefix, salt) = (self.id_prefix()?, self.u32()?);
        let mut digests = [0; CHILDREN_PER_PREFIX];
        for digest in &mut digests {
            *digest = self.u32()?;
        }
        Some(ChildDigests { prefix, salt, digests })
    }
}

/// Parses a datagram. The result is never larger than a small multiple of the datagram.
///
/// # Errors
/// Returns why the datagram is not one of this fleet.
pub fn parse_datagram(bytes: &[u8], authenticator: &Authenticator) -> Result<Datagram, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    let (header, after_header) = bytes.split_at_checked(HEADER_BYTES).ok_or(DropReason::TooShort)?;
    let (mac, body) = after_header.split_at_checked(MAC_BYTES).ok_or(DropReason::TooShort)?;
    if header[0] != FORMAT_VERSION {
        return Err(if header[0] > FORMAT_VERSION {
            DropReason::NewerVersion
        } else {
            DropReason::Malformed
        });
    }
    if header[2..] != authenticator.fleet_tag {
        return Err(DropReason::OtherFleet);
    }
    // Both are MACs, so they are compared in constant time.
    if !constant_time_eq(&authenticator.mac(header, body), mac) {
        return Err(DropReason::NotAuthentic);
    }
    // An unknown kind comes from a later program that uses the same format.
    let kind = DatagramKind::from_byte(header[1]).ok_or(DropReason::NewerVersion)?;
    parse_fields(kind, body).ok_or(DropReason::Malformed)
}

/// Compares two MACs in a time that does not depend on where they differ, so that a MAC cannot be guessed
/// byte by byte.
fn constant_time_eq(expected: &[u8; MAC_BYTES], received: &[u8]) -> bool {
    received.len() == MAC_BYTES
        && expected.iter().zip(received).fold(0, |difference, (left, right)| difference | (left ^ right)) == 0
}

fn parse_fields(kind: DatagramKind, body: &[u8]) -> Option<Datagram> {
    let mut datagram = Datagram {
        kind,
        sender_status: None,
        seq: 0,
        target: MemberId::UNSPECIFIED,
        target_address: None,
        view_digest: None,
        load: 0,
        updates: Vec::new(),
        records: Vec::new(),
        wanted_records: Vec::new(),
        digests: Vec::new(),
        listed_prefixes: Vec::new(),
    };
    let mut reader = Reader(body);
    while !reader.0.is_empty() {
        let (tag, length) = (reader.u8()?, reader.u8()?);
        // What a later program appends to a field is skipped too.
        let mut field = Reader(reader.read_bytes(usize::from(length))?);
        match tag {
            tag::SENDER => datagram.sender_status = Some(field.status()?),
            tag::SEQ => datagram.seq = field.u32()?,
            tag::TARGET => datagram.target = MemberId(field.u64()?),
            tag::TARGET_ADDRESS => datagram.target_address = Some(field.address()?),
            tag::VIEW_DIGEST => datagram.view_digest = Some(field.u64()?),
            tag::LOAD => datagram.load = field.u8()?,
            tag::UPDATE => {
                let status = field.status()?;
                let reporters = std::iter::from_fn(|| field.u32()).take(MAX_REPORTERS).collect();
                datagram.updates.push(StatusUpdate { status, reporters });
            }
            tag::RECORD => {
                let (status, info, seconds_in_state) = (field.status()?, field.info()?, field.u16()?);
                if MemberId::from_name(&info.name) != status.id {
                    return None;
                }
                datagram.records.push(MemberRecord { status, info, seconds_in_state });
            }
            tag::RECORD_REQUEST => datagram.wanted_records.push(MemberId(field.u64()?)),
            tag::CHILD_DIGESTS => datagram.digests.push(field.child_digests()?),
            tag::LISTED_PREFIX => datagram.listed_prefixes.push(field.id_prefix()?),
            _ => {}
        }
    }
    Some(datagram)
}
