//! The codes of findings, each with its meaning, the reason why it matters and the way to fix it.
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// The sidecar works, but at a cost that the operator should know of.
    Warning,
    /// The sidecar does not start, or would break a guarantee.
    Error,
}

/// Explanation of a code.
pub struct CodeInfo {
    /// The code as it is written, such as `NS001`.
    pub code: &'static str,
    pub level: Level,
    pub title: &'static str,
    /// Why the finding matters.
    pub why: &'static str,
    pub fix: &'static str,
}

macro_rules! codes {
    ($($name:ident = $code:literal, $level:ident, $title:literal, $why:literal, $fix:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code { $($name),* }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            pub fn info(self) -> &'static CodeInfo {
                match self {
                    $(Code::$name => &CodeInfo { code: $code, level: Level::$level, title: $title, why: $why, fix: $fix },)*
                }
            }
        }
    };
}

codes! {
    Unreadable = "NS001", Error, "the file can't be read",
        "A sidecar that can't read its configuration does not start.",
        "Check the path, and that the user who runs the sidecar may read the file.";
    NotText = "NS002", Error, "the file is not UTF-8 text",
        "TOML is UTF-8. Text in another encoding could be read as different names than intended.",
        "Save the file as UTF-8.";
    TooLarge = "NS003", Error, "the file is larger than 8 MiB",
        "Reading it would use memory and time that messages need. 8 MiB hold some 50,000 endpoints.",
        "List only the destinations of the sidecar's own application, or use `[discovery]`.";
    Syntax = "NS004", Error, "the file is not valid TOML",
        "A quote, a bracket or an equals sign is missing or surplus, so the intended meaning is unknown.",
        "Check the marked position and the line before it.";
    UnknownKey = "NS101", Error, "unknown key",
        "A misspelt key would have no effect, and its default would apply without notice.",
        "Write it as the help says, or remove it. `nickelshed-ctl schema` lists every key.";
    WrongValue = "NS102", Error, "a value of the wrong type or format",
        "Times, sizes and shares need their unit, addresses are IP addresses with a port, and integers must be in their range.",
        "Write it in the format that the message shows.";
    MissingKey = "NS103", Error, "a required key is missing",
        "It has no default, because any default would be wrong for most sidecars.",
        "Add it; the reference of all keys shows its format.";
    BeyondAbandonment = "NS201", Error, "a class has a longer `abandoned_after` than `rules.abandonment`",
        "After `rules.abandonment` (16 s by default) neither the client nor the destination waits for a message any more, \
         and the destination may have forgotten its key. A message delivered later is too late for both and may be \
         executed twice.",
        "Shorten the class's `abandoned_after`, or raise `rules.abandonment` if clients and destinations really wait longer.";
    TargetBeyondExpiry = "NS202", Error, "a class has a longer `wanted_within` than `abandoned_after`",
        "Its messages would expire before they are late, so lateness would have no effect.",
        "Set `wanted_within` to at most `abandoned_after`.";
    ShortRepeatWindow = "NS203", Warning, "a class has a shorter `repeat_window` than `abandoned_after`",
        "A message that may have been executed is not sent again once its destination may have forgotten the key. From then \
         on it is not attempted, and it may fail although the destination is healthy.",
        "Ask for a longer `repeat_window`, shorten `abandoned_after` to it, or accept this with `allow = [\"NS203\"]`.";
    DurationTooShort = "NS204", Error, "a duration under a millisecond",
        "Nothing can be delivered in that time.",
        "Set it to at least a millisecond.";
    MissingRepeatWindow = "NS205", Error, "a keyed class without a `repeat_window`",
        "Without it the sidecar does not know for how long a message that may have been executed may be sent again.",
        "Set `repeat_window` to the time for which the destinations drop repeats.";
    UnusedRepeatWindow = "NS206", Warning, "a `repeat_window` without effect",
        "Only messages of keyed classes have a key by which a destination can recognise a repeat.",
        "Remove it, or make the class `effect = \"keyed\"`.";
    NoClass = "NS207", Error, "no message class",
        "Every message is submitted under a class; without one no message can be submitted.",
        "Add a `[[class]]`.";
    OrderWithoutOrderingKey = "NS208", Warning, "a class with `in_order` whose messages carry no ordering key",
        "The request by which clients submit a message has no field for an ordering key yet, so messages are not ordered.",
        "Remove `in_order`, or accept this with `allow = [\"NS208\"]`.";
    UnusableValue = "NS209", Error, "a value that is out of range or unusable",
        "The policy computes with it; a value out of range would lead to wrong decisions without an error.",
        "Set it to a value in the range that the message names.";
    SlotsOverSockets = "NS301", Error, "more slots than file descriptors for calls",
        "Each call in flight needs a descriptor, and so do clients, files and the listener. Calls without one fail at once.",
        "Raise `limits.sockets` (and the limit of the process), or lower `limits.slots`.";
    HeldLimitOverMemory = "NS302", Error, "`limits.held` is more than fits into memory",
        "A fifth of the memory is for messages. When it is used up, submissions are rejected long before `limits.held` is reached.",
        "Raise `limits.memory`, or lower `limits.held` to the number that the message names.";
    HeldLimitOverDisk = "NS303", Error, "`limits.held` is more than fits into the journal",
        "Space for a message and all records that may follow for it is reserved before it is accepted; without that space it is rejected.",
        "Raise `limits.disk`, or lower `limits.held` or `limits.attempts`.";
    TooFewSlots = "NS304", Error, "fewer than two slots",
        "A destination gets at most three quarters of the slots, so that one that hangs leaves slots for others. Three quarters of a single slot are none.",
        "Set `limits.slots` to at least 2.";
    HeldLimitUnderSlots = "NS305", Warning, "`limits.held` is less than `limits.slots`",
        "A message in flight counts as held too, so slots beyond `limits.held` are never used.",
        "Lower `limits.slots` or raise `limits.held`.";
    LimitOfZero = "NS306", Error, "a limit of zero messages or attempts",
        "A sidecar that may have no open message, or make no attempt, rejects every submission.",
        "Set it to at least 1.";
    BodyTooLarge = "NS307", Error, "`limits.usual_body` is larger than the largest accepted body",
        "Bodies over 64 KiB are rejected with 413.",
        "Set `limits.usual_body` to at most 64KiB.";
    NoEndpoint = "NS401", Error, "a destination without an endpoint",
        "Its messages are accepted, wait, and are returned shortly before they expire.",
        "Add an endpoint, or remove the destination: then its messages are rejected at once.";
    EndpointOfTwoDestinations = "NS402", Error, "the same endpoint under two destinations",
        "Its calls would be counted against two limits, and during an outage it would still count as healthy under its other destination, so it would be overloaded.",
        "Keep it only under the destination that it belongs to.";
    DuplicateDestination = "NS403", Error, "two destinations with the same name or number",
        "A message refers to its destination by number, so it could go to either.",
        "Give each destination a unique number and name.";
    TwoEndpointSources = "NS404", Error, "endpoints both from the file and from discovery",
        "Each full list from discovery replaces the known endpoints, so those of this file would be removed by the first answer.",
        "Keep either `[discovery]` or the `[[destination]]` sections.";
    NoEndpointSource = "NS405", Error, "no destinations",
        "Without a list of endpoints no message can be delivered.",
        "Add a `[[destination]]` with its endpoints, or `[discovery]` with the address of the agent.";
    DeliveryToItself = "NS406", Error, "the sidecar would deliver to itself",
        "Its messages would be accepted again and again.",
        "Set the address of the real endpoint, or let the sidecar listen at another address.";
    UnknownName = "NS407", Error, "a reference to an undefined name",
        "The kind or zone would count as unknown, and its batch size, fee or routes would not apply.",
        "Write the name as its section does, or add the section.";
    DuplicateEndpoint = "NS408", Error, "an endpoint twice in a destination",
        "It would get twice its share, and its calls would be counted separately.",
        "List it once.";
    SharesOverTotal = "NS501", Error, "tenant shares that add up to more than 100%",
        "When all tenants use their share, there is more traffic than `traffic.rate`, and no tenant is protected.",
        "Lower the shares until they add up to at most 100%.";
    DuplicateName = "NS502", Error, "duplicate name",
        "Only the first section with the name would ever be used.",
        "Give each a unique name.";
    InvalidName = "NS503", Error, "a name that a header or path can't contain",
        "Clients send the name in a header or in the path of a request; such a name does not arrive unchanged.",
        "Use letters, digits, `-`, `_` and `.`, at most 64 characters.";
    SharesWithoutRate = "NS504", Warning, "tenant shares without `traffic.rate`",
        "Without `traffic.rate` it is unknown what the shares refer to, and they are not enforced.",
        "Set `traffic.rate` to the number of messages per second over all sidecars.";
    NotLoopback = "NS601", Error, "an address that is not a loopback address",
        "The file sets `loopback_only`: the sidecar may listen and connect only on its own machine.",
        "Use an address in 127.0.0.0/8 or [::1], or remove `loopback_only`.";
    UnspecificAddress = "NS602", Error, "an address that is not specific",
        "Port 0, and for a peer also 0.0.0.0, [::], multicast and broadcast addresses, do not identify a single listener.",
        "Set the port, and for an endpoint its own address.";
    ExposedListener = "NS603", Warning, "clients on other machines can submit messages",
        "The listener does not authenticate clients. Anyone who can reach it can send to your customers.",
        "Listen on 127.0.0.1, or accept this with `allow = [\"NS603\"]` if the network denies access to others.";
    SelfAsSeed = "NS611", Warning, "a member lists itself as a seed",
        "A member ignores its own address. If it is the only seed, the member waits until others contact it.",
        "List other members too; in a file that all members share, accept this with `allow = [\"NS611\"]`.";
    UnauthenticatedFleet = "NS612", Warning, "a fleet without a key",
        "Anyone who can reach the port can pose as a member and so make this one use too much or too little of a limit.",
        "Give all members the same `fleet.key_file`, or accept this with `allow = [\"NS612\"]` if the network denies access to others.";
    NameTooLong = "NS613", Error, "a name that is too long for a datagram",
        "Members describe each member to one another in 256 bytes.",
        "Shorten it: at most 32 bytes for a member, 16 for a site. The name of the member is that of the application unless `fleet.member` is set.";
    NoNoticeSink = "NS701", Error, "no sink for notices about undelivered messages",
        "A client that was answered 202 relies on delivery; if a message can't be delivered, someone must be notified.",
        "Set `notices.file` or `notices.http`, or both.";
    NoticeFileInState = "NS702", Error, "the notice file is in the state folder",
        "It would count against `limits.disk` until no message can be accepted.",
        "Move it to another folder.";
    InvalidUrl = "NS703", Error, "an invalid URL for notices",
        "Notices are posted over plain HTTP, and host names are not resolved.",
        "Write it as `http://127.0.0.1:7500/reports`.";
    PortConflict = "NS801", Error, "two applications use the same port",
        "Only the first sidecar to start gets the port; the other does not start, or its application submits to the wrong sidecar.",
        "Give each a different port, or set `host` in both files if they run on different machines.";
    StateFolderConflict = "NS802", Error, "two applications use the same state folder",
        "A second sidecar on the folder refuses to start.",
        "Give each a different folder.";
    DuplicateApplication = "NS803", Warning, "the same application name twice on a host",
        "Logs and notices of the two can't be distinguished.",
        "Give each a different name.";
    NoticeFileConflict = "NS804", Error, "two applications write to the same notice file",
        "A sidecar truncates the file after a failed write, which could remove notices of the other.",
        "Give each a different file.";
    DuplicateMember = "NS805", Error, "two members with the same name in a fleet",
        "The one that started earlier leaves the fleet's protocol once it learns of the other, and uses only a small part of each limit.",
        "Give each a different `fleet.member`.";
    FleetAddressConflict = "NS806", Error, "two members receive datagrams at the same address",
        "The second to start has no membership view of the fleet.",
        "Give each a different port in `fleet.listen`, or set `host` in both files if they run on different machines.";
    InvalidAllowEntry = "NS901", Error, "a code that can't be allowed",
        "Only warnings can be accepted; errors must be fixed, and a misspelt code accepts nothing.",
        "Write the code of a warning, or remove the entry.";
    ListenAddressInUse = "NS951", Error, "the port is in use on this host",
        "The sidecar could not listen and would exit immediately.",
        "Stop the program that listens there, or give the sidecar another port. A sidecar that is already running uses its own port.";
    FolderUnwritable = "NS952", Error, "the folder is not writable",
        "A message is written to disk before it is accepted, so no message could be accepted.",
        "Create the folder for the user who runs the sidecar.";
    LowDiskSpace = "NS953", Error, "less free disk space than the journal may use",
        "When other programs have filled the disk, no new message is accepted.",
        "Free disk space, or lower `limits.disk`.";
    LowDescriptorLimit = "NS954", Error, "the file descriptor limit of the process is below `limits.sockets`",
        "Connections beyond the limit of the process fail, including those to destinations.",
        "Raise the limit (`ulimit -n`, `LimitNOFILE=`), or lower `limits.sockets`.";
    ConnectionFailed = "NS955", Warning, "an address that can't be connected to",
        "The system may be down at the moment; the sidecar keeps trying.",
        "Check the address, and that the system is running.";
    LowMemory = "NS956", Warning, "less free memory than the sidecar may use",
        "The operating system could kill the sidecar when it has many open messages.",
        "Free memory, or lower `limits.memory`.";
}

impl Code {
    pub fn level(self) -> Level {
        self.info().level
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.info().code)
    }
}

impl FromStr for Code {
    type Err = ();

    /// Case-insensitive.
    fn from_str(text: &str) -> Result<Code, ()> {
        Code::ALL.iter().copied().find(|c| c.info().code.eq_ignore_ascii_case(text)).ok_or(())
    }
}
