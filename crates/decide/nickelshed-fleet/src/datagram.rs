//! What members send one another: at most 256 bytes, sealed, in fields that an older member may skip.
//!
//! A version, a kind, the fleet's tag, and a seal of eight bytes over all of it; then fields of a tag, a length and so
//! many bytes. A tag that is not known is passed over, so members of unlike programs understand one another.
use crate::member::{Claim, Facts, Id, Incarnation, State, MOST_NAME, MOST_SITE};
use std::net::{IpAddr, SocketAddr};

/// The platform takes no longer one.
pub const MOST: usize = 256;
/// Of the form. A greater one is of a program that has broken with it.
const VERSION: u8 = 1;
const HEAD: usize = 6;
const SEAL: usize = 8;

mod tag {
    pub const FROM: u8 = 1;
    pub const SEQ: u8 = 2;
    pub const TARGET: u8 = 3;
    pub const AT: u8 = 4;
    pub const ROOT: u8 = 5;
    pub const LOAD: u8 = 6;
    pub const NEWS: u8 = 7;
    pub const WHOLE: u8 = 8;
    pub const WANT: u8 = 9;
    pub const MARKS: u8 = 10;
    pub const LISTED: u8 = 11;
}

/// How many children each part of a view has that marks are compared of.
pub const CHILDREN: usize = 16;
/// Accusers that are named of one suspect; more change nothing.
pub const MOST_ACCUSERS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    Ping = 1,
    Ack = 2,
    /// Please ask the target for me (SWIM, section 3.1: `ping-req`).
    PingFor = 3,
    /// It has not answered me either (Lifeguard, section IV.A: `nack`).
    Nack = 4,
    Sync = 5,
}

impl Kind {
    fn from_byte(byte: u8) -> Option<Kind> {
        [Kind::Ping, Kind::Ack, Kind::PingFor, Kind::Nack, Kind::Sync].into_iter().find(|k| *k as u8 == byte)
    }
}

/// A piece of a view: all ids that begin with so many half bytes of `prefix`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    pub depth: u8,
    pub prefix: u64,
}

/// Beyond it ids are told apart one by one.
pub const DEEPEST: u8 = 15;

impl Part {
    fn mask(self) -> u64 {
        match self.depth {
            0 => 0,
            depth => u64::MAX << (64 - 4 * u32::from(depth.min(DEEPEST))),
        }
    }

    #[must_use]
    pub fn holds(self, id: Id) -> bool {
        (id.0 ^ self.prefix) & self.mask() == 0
    }

    #[must_use]
    pub fn child(self, number: usize) -> Part {
        let shift = 60 - 4 * u32::from(self.depth.min(DEEPEST));
        Part { depth: self.depth + 1, prefix: self.prefix & self.mask() | (number as u64) << shift }
    }

    /// Which child an id that it holds is in.
    #[must_use]
    pub fn child_of(self, id: Id) -> usize {
        (id.0 >> (60 - 4 * u32::from(self.depth.min(DEEPEST)))) as usize % CHILDREN
    }
}

/// Marks of all children of a part, under a salt, so that what one salt hides the next one shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Marks {
    pub part: Part,
    pub salt: u32,
    pub of: [u32; CHILDREN],
}

/// A claim, and who is known to accuse its member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    pub claim: Claim,
    pub accusers: Vec<u32>,
}

/// A claim with the facts of its member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    pub claim: Claim,
    pub facts: Facts,
    /// For how many seconds it has been in that state, as far as its teller knows.
    pub age: u16,
}

/// One datagram, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub kind: Kind,
    /// Of its sender, as it sees itself; none if it only observes.
    pub from: Option<Claim>,
    pub seq: u32,
    pub target: Id,
    /// Where the target is.
    pub at: Option<SocketAddr>,
    /// The mark of the sender's whole view.
    pub root: Option<u64>,
    /// In 255ths of what the sender can carry.
    pub load: u8,
    pub news: Vec<News>,
    pub whole: Vec<Whole>,
    pub want: Vec<Id>,
    pub marks: Vec<Marks>,
    /// Parts of which the news here is all that its sender holds.
    pub listed: Vec<Part>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    TooLong,
    TooShort,
    /// Its form is of a later program.
    Ahead,
    OtherFleet,
    /// Its seal is not that of the fleet's key, or it was changed on its way.
    Unsealed,
    /// Sealed by the key, and yet not in the form.
    Spoilt,
}

/// The fleet's name and key, as every datagram proves them.
#[derive(Clone)]
pub struct Seal {
    tag: [u8; 4],
    key: [u8; 32],
}

impl std::fmt::Debug for Seal {
    // A key has no place in a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Seal").field("tag", &self.tag).finish_non_exhaustive()
    }
}

impl Seal {
    /// Of a fleet's name and the bytes of its key, which may be empty where the network is trusted.
    #[must_use]
    pub fn new(fleet: &str, key: &[u8]) -> Seal {
        let named = blake3::derive_key("nickelshed fleet datagrams, name", fleet.as_bytes());
        let mut material = named.to_vec();
        material.extend_from_slice(key);
        let key = blake3::derive_key("nickelshed fleet datagrams, key", &material);
        Seal { tag: named[..4].try_into().expect("a key has 32 bytes"), key }
    }

    fn of(&self, head: &[u8], body: &[u8]) -> [u8; SEAL] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(head).update(body);
        hasher.finalize().as_bytes()[..SEAL].try_into().expect("a hash has 32 bytes")
    }
}

/// A datagram that is being written, field by field.
pub struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    #[must_use]
    pub fn new(kind: Kind) -> Writer {
        let mut bytes = Vec::with_capacity(MOST);
        bytes.extend([VERSION, kind as u8]);
        bytes.resize(HEAD + SEAL, 0);
        Writer { bytes }
    }

    /// Adds a field if it fits; whether it did.
    fn field(&mut self, tag: u8, value: &[u8]) -> bool {
        if self.bytes.len() + 2 + value.len() > MOST {
            return false;
        }
        self.bytes.extend([tag, value.len() as u8]);
        self.bytes.extend_from_slice(value);
        true
    }

    pub fn from(&mut self, own: &Claim) {
        let mut value = Vec::new();
        put_claim(&mut value, own);
        self.field(tag::FROM, &value);
    }

    pub fn seq(&mut self, seq: u32) {
        self.field(tag::SEQ, &seq.to_le_bytes());
    }

    pub fn target(&mut self, id: Id) {
        self.field(tag::TARGET, &id.0.to_le_bytes());
    }

    pub fn at(&mut self, address: SocketAddr) {
        let mut value = Vec::new();
        put_address(&mut value, address);
        self.field(tag::AT, &value);
    }

    pub fn root(&mut self, root: u64) {
        self.field(tag::ROOT, &root.to_le_bytes());
    }

    pub fn load(&mut self, load: u8) {
        self.field(tag::LOAD, &[load]);
    }

    /// Whether it fitted; the same for those below.
    pub fn news(&mut self, news: &News) -> bool {
        let mut value = Vec::new();
        put_claim(&mut value, &news.claim);
        for accuser in news.accusers.iter().take(MOST_ACCUSERS) {
            value.extend(accuser.to_le_bytes());
        }
        self.field(tag::NEWS, &value)
    }

    /// `age`: for how many seconds it has been in that state.
    pub fn whole(&mut self, claim: &Claim, facts: &Facts, age: u16) -> bool {
        let mut value = Vec::new();
        put_claim(&mut value, claim);
        for part in facts.version {
            value.extend(part.to_le_bytes());
        }
        value.extend(facts.settings.to_le_bytes());
        put_address(&mut value, facts.address);
        for text in [&facts.name, &facts.site] {
            value.push(text.len() as u8);
            value.extend(text.as_bytes());
        }
        value.extend(age.to_le_bytes());
        self.field(tag::WHOLE, &value)
    }

    pub fn want(&mut self, id: Id) -> bool {
        self.field(tag::WANT, &id.0.to_le_bytes())
    }

    pub fn marks(&mut self, marks: &Marks) -> bool {
        let mut value = vec![marks.part.depth];
        value.extend(marks.part.prefix.to_le_bytes());
        value.extend(marks.salt.to_le_bytes());
        marks.of.iter().for_each(|m| value.extend(m.to_le_bytes()));
        self.field(tag::MARKS, &value)
    }

    pub fn listed(&mut self, part: Part) -> bool {
        let mut value = vec![part.depth];
        value.extend(part.prefix.to_le_bytes());
        self.field(tag::LISTED, &value)
    }

    /// A field of any tag: what a later program may write.
    pub fn unknown(&mut self, tag: u8, value: &[u8]) -> bool {
        self.field(tag, value)
    }

    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Takes back what was written beyond that length.
    pub(crate) fn cut(&mut self, length: usize) {
        self.bytes.truncate(length);
    }

    /// Seals it.
    #[must_use]
    pub fn end(mut self, seal: &Seal) -> Vec<u8> {
        self.bytes[2..HEAD].copy_from_slice(&seal.tag);
        let (head, rest) = self.bytes.split_at(HEAD);
        let sealed = seal.of(head, &rest[SEAL..]);
        self.bytes[HEAD..HEAD + SEAL].copy_from_slice(&sealed);
        self.bytes
    }
}

fn put_claim(value: &mut Vec<u8>, claim: &Claim) {
    value.extend(claim.id.0.to_le_bytes());
    let i = claim.incarnation;
    for part in [i.start, i.nonce, i.word] {
        value.extend(part.to_le_bytes());
    }
    value.push(claim.state as u8);
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

/// Bytes that are left to read; every read of more than there is says so.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(taken)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
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
        Some(Incarnation { start: self.u32()?, nonce: self.u32()?, word: self.u32()? })
    }

    fn claim(&mut self) -> Option<Claim> {
        let claim = Claim {
            id: Id(self.u64()?),
            incarnation: self.incarnation()?,
            state: State::from_byte(self.u8()?)?,
        };
        (claim.id != Id::NOBODY).then_some(claim)
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

    fn text(&mut self, most: usize) -> Option<String> {
        let length = usize::from(self.u8()?);
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        (length <= most).then(|| text.to_string())
    }

    fn facts(&mut self) -> Option<Facts> {
        let version = [self.u16()?, self.u16()?, self.u16()?];
        let (settings, address) = (self.u32()?, self.address()?);
        let (name, site) = (self.text(MOST_NAME)?, self.text(MOST_SITE)?);
        Some(Facts { name, address, site, version, settings })
    }

    fn part(&mut self) -> Option<Part> {
        let part = Part { depth: self.u8()?, prefix: self.u64()? };
        (part.depth <= DEEPEST).then_some(part)
    }

    fn marks(&mut self) -> Option<Marks> {
        let (part, salt) = (self.part()?, self.u32()?);
        let mut of = [0; CHILDREN];
        for mark in &mut of {
            *mark = self.u32()?;
        }
        Some(Marks { part, salt, of })
    }
}

/// Reads a datagram. What it makes is never larger than a small multiple of the bytes.
///
/// # Errors
/// Why it is none of this fleet's.
pub fn read(bytes: &[u8], seal: &Seal) -> Result<Datagram, Dropped> {
    if bytes.len() > MOST {
        return Err(Dropped::TooLong);
    }
    let (head, rest) = bytes.split_at_checked(HEAD).ok_or(Dropped::TooShort)?;
    let (sealed, body) = rest.split_at_checked(SEAL).ok_or(Dropped::TooShort)?;
    if head[0] != VERSION {
        return Err(if head[0] > VERSION { Dropped::Ahead } else { Dropped::Spoilt });
    }
    if head[2..] != seal.tag {
        return Err(Dropped::OtherFleet);
    }
    // Both are hashes: comparing them in constant time is the library's.
    if !equal(&seal.of(head, body), sealed) {
        return Err(Dropped::Unsealed);
    }
    // A kind that is not known is of a program ahead within the same form.
    let kind = Kind::from_byte(head[1]).ok_or(Dropped::Ahead)?;
    fields(kind, body).ok_or(Dropped::Spoilt)
}

/// Takes the same time wherever they differ, so that a seal can't be guessed byte by byte.
fn equal(a: &[u8; SEAL], b: &[u8]) -> bool {
    b.len() == SEAL && a.iter().zip(b).fold(0, |all, (x, y)| all | (x ^ y)) == 0
}

fn fields(kind: Kind, body: &[u8]) -> Option<Datagram> {
    let mut d = Datagram {
        kind,
        from: None,
        seq: 0,
        target: Id::NOBODY,
        at: None,
        root: None,
        load: 0,
        news: Vec::new(),
        whole: Vec::new(),
        want: Vec::new(),
        marks: Vec::new(),
        listed: Vec::new(),
    };
    let mut reader = Reader(body);
    while !reader.0.is_empty() {
        let (tag, length) = (reader.u8()?, reader.u8()?);
        // What a later program adds at the end of a field is passed over too.
        let mut field = Reader(reader.take(usize::from(length))?);
        match tag {
            tag::FROM => d.from = Some(field.claim()?),
            tag::SEQ => d.seq = field.u32()?,
            tag::TARGET => d.target = Id(field.u64()?),
            tag::AT => d.at = Some(field.address()?),
            tag::ROOT => d.root = Some(field.u64()?),
            tag::LOAD => d.load = field.u8()?,
            tag::NEWS => {
                let claim = field.claim()?;
                let accusers = std::iter::from_fn(|| field.u32()).take(MOST_ACCUSERS).collect();
                d.news.push(News { claim, accusers });
            }
            tag::WHOLE => {
                let (claim, facts, age) = (field.claim()?, field.facts()?, field.u16()?);
                if Id::of(&facts.name) != claim.id {
                    return None;
                }
                d.whole.push(Whole { claim, facts, age });
            }
            tag::WANT => d.want.push(Id(field.u64()?)),
            tag::MARKS => d.marks.push(field.marks()?),
            tag::LISTED => d.listed.push(field.part()?),
            _ => {}
        }
    }
    Some(d)
}
