//! Checks of a single configuration file. They do not inspect the host; `nickelshed-ctl doctor` does that.
use crate::code::Code;
use crate::finding::Finding;
use crate::sidecar::{Durability, Effect, Membership, Sidecar};
use crate::source::{closest_name, PathStep, Source};
use crate::url;
use nickelshed_budget::{max_messages_in_memory, max_messages_on_disk, SocketAllocation};
use nickelshed_fleet::{MOST_NAME, MOST_SITE};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Component, Path, PathBuf};

/// Largest message body that is accepted, in bytes.
const MAX_BODY: u64 = 64 << 10;
/// Longest name of an endpoint that the journal stores, and longest name that these checks accept for a class or tenant,
/// in bytes.
const MAX_NAME: usize = 64;
/// Largest rate, worth or price. Bounded because the policy multiplies them.
const LARGEST_FIGURE: f64 = 1e9;
// Larger counts are mistakes, and the tables of the policy would use too much memory for them.
const MOST_SLOTS: u32 = 65_536;
const MOST_SENDERS: u32 = 10_000;
const MOST_ATTEMPTS: u32 = 1_000;
const MOST_BATCH: u32 = 1_000;

struct Check<'a> {
    source: &'a Source,
    findings: Vec<Finding>,
}

macro_rules! path {
    ($($step:expr),*) => { &[$(PathStep::from($step)),*] };
}

/// Checks the content of a file that was read without errors of form. Warnings that the file allows are left out.
pub fn check(sidecar: &Sidecar, source: &Source) -> Vec<Finding> {
    let mut c = Check { source, findings: Vec::new() };
    c.names(sidecar);
    c.classes(sidecar);
    c.limits(sidecar);
    c.figures(sidecar);
    c.traffic(sidecar);
    c.addresses(sidecar);
    c.destinations(sidecar);
    c.notices(sidecar);
    c.allowed(sidecar);
    let mut findings = c.findings;
    findings.retain(|f| f.is_error() || !allows(sidecar, f.code));
    findings.sort_by_key(|f| (f.span.start, f.code));
    findings
}

/// Whether the file accepts warnings with this code.
pub fn allows(sidecar: &Sidecar, code: Code) -> bool {
    sidecar.allow.iter().any(|a| a.parse() == Ok(code))
}

/// Removes `.` and `..` from a path as far as possible without reading the file system.
pub fn normalize_path(path: &Path) -> PathBuf {
    let mut out = PathBuf::new();
    for part in path.components() {
        match part {
            Component::CurDir => {}
            Component::ParentDir if matches!(out.components().next_back(), Some(Component::Normal(_))) => {
                _ = out.pop()
            }
            Component::ParentDir if out.has_root() => {}
            other => out.push(other),
        }
    }
    out
}

impl Check<'_> {
    fn find(&mut self, code: Code, path: &[PathStep], message: impl Into<String>, help: impl Into<String>) {
        let span = self.source.span(path);
        self.findings.push(Finding::new(code, span, message, help));
    }

    /// Like `report_with_help`, with the help text of the code.
    fn say(&mut self, code: Code, path: &[PathStep], message: impl Into<String>) {
        self.find(code, path, message, code.info().fix);
    }

    fn allowed(&mut self, s: &Sidecar) {
        for (i, allowed) in s.allow.iter().enumerate() {
            match allowed.parse::<Code>() {
                Ok(code) if code.level() == crate::code::Level::Warning => {}
                Ok(_) => self.say(
                    Code::InvalidAllowEntry,
                    path!["allow", i],
                    format!("`{allowed}` is an error, which can't be allowed"),
                ),
                Err(()) => self.say(
                    Code::InvalidAllowEntry,
                    path!["allow", i],
                    format!("there is no code `{allowed}`"),
                ),
            }
        }
    }

    fn name(&mut self, subject: &str, name: &str, path: &[PathStep]) {
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let shown: String = name.chars().take(MAX_NAME).collect();
        if name.is_empty() {
            self.say(Code::InvalidName, path, format!("the {subject} has an empty name"));
        } else if name.len() > MAX_NAME {
            self.say(
                Code::InvalidName,
                path,
                format!("the {subject} `{shown}…` has a name of {} bytes", name.len()),
            );
        } else if let Some(wrong) = name.chars().find(|c| !fits(*c)) {
            self.say(Code::InvalidName, path, format!("the {subject} `{shown}` has {wrong:?} in its name"));
        } else if subject == "class" && (name == "healthz" || name.chars().all(|c| c == '.')) {
            self.say(Code::InvalidName, path, format!("the class `{name}` has the name of a reserved path"));
        }
    }

    /// Checks the names of a list of sections: each is valid, and each is unique.
    fn list_of_names<'n>(&mut self, subject: &str, section: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashMap::new();
        for (i, name) in names.enumerate() {
            self.name(subject, name, path![section, i, "name"]);
            if let Some(first) = seen.insert(name, i) {
                let span = self.source.span(path![section, first, "name"]);
                self.say(
                    Code::DuplicateName,
                    path![section, i, "name"],
                    format!("there are two sections for the {subject} `{name}`"),
                );
                self.relate(span, "first defined here");
            }
        }
    }

    fn relate(&mut self, span: crate::finding::Span, message: &str) {
        if let Some(finding) = self.findings.last_mut() {
            finding.related.push(crate::finding::Related { file: 0, span, message: message.to_string() });
        }
    }

    fn names(&mut self, s: &Sidecar) {
        self.name("application", &s.application, path!["application"]);
        if let Some(host) = &s.host {
            self.name("host", host, path!["host"]);
        }
        self.list_of_names("class", "class", s.classes.iter().map(|c| c.name.as_str()));
        self.list_of_names("tenant", "tenant", s.tenants.iter().map(|t| t.name.as_str()));
        self.list_of_names("kind", "kind", s.kinds.iter().map(|k| k.name.as_str()));
        self.list_of_names("zone", "zone", s.zones.iter().map(|z| z.name.as_str()));
        if let Some(zone) = &s.own_zone {
            self.known("zone", zone, s.zones.iter().map(|z| z.name.as_str()), path!["own_zone"]);
        }
    }

    fn known<'n>(
        &mut self,
        subject: &str,
        name: &str,
        known: impl Iterator<Item = &'n str> + Clone,
        path: &[PathStep],
    ) {
        if known.clone().any(|k| k == name) {
            return;
        }
        let help = match closest_name(name, known.clone()) {
            Some(near) => format!("Did you mean `{near}`?"),
            None if known.clone().next().is_none() => {
                format!("Add a `[[{subject}]]` with that name, or remove it")
            }
            None => format!("Known are: {}", known.collect::<Vec<_>>().join(", ")),
        };
        self.find(Code::UnknownName, path, format!("there is no {subject} `{name}`"), help);
    }

    fn classes(&mut self, s: &Sidecar) {
        if s.classes.is_empty() {
            self.say(
                Code::NoClass,
                path!["class"],
                "there is no `[[class]]`, so no message can be submitted",
            );
        }
        let most = s.rules.abandonment;
        for (i, class) in s.classes.iter().enumerate() {
            let (name, given_up, wanted) = (&class.name, class.abandoned_after, class.wanted_within);
            if given_up > most {
                let message = format!("class `{name}` is abandoned after {given_up}, later than {most}, after which nobody waits for a message any more");
                let help = format!("Set `abandoned_after` to {most} at most, or raise `rules.abandonment` if clients and destinations really wait longer");
                self.find(Code::BeyondAbandonment, path!["class", i, "abandoned_after"], message, help);
            }
            if wanted > given_up {
                let message = format!(
                    "class `{name}` has a `wanted_within` of {wanted}, but is abandoned after {given_up}"
                );
                self.say(Code::TargetBeyondExpiry, path!["class", i, "wanted_within"], message);
            }
            for (key, time) in [("wanted_within", wanted), ("abandoned_after", given_up)] {
                if time.ns() < 1_000_000 {
                    let message = format!("class `{name}` has a `{key}` under a millisecond");
                    self.say(Code::DurationTooShort, path!["class", i, key], message);
                }
            }
            match (class.effect, class.repeat_window) {
                (Effect::Keyed, None) => {
                    let message = format!("class `{name}` is keyed and has no `repeat_window`");
                    self.say(Code::MissingRepeatWindow, path!["class", i, "effect"], message);
                }
                (Effect::Keyed, Some(window)) if window < given_up => {
                    let rest = crate::units::Period(given_up.0 - window.0);
                    let message = format!("class `{name}` is abandoned after {given_up}, but its destinations drop repeats only for {window}: a message that may have been executed is not attempted in its last {rest}");
                    self.say(Code::ShortRepeatWindow, path!["class", i, "repeat_window"], message);
                }
                (Effect::Safe | Effect::Unsafe, Some(_)) => {
                    let message =
                        format!("class `{name}` is not keyed, so its `repeat_window` has no effect");
                    self.say(Code::UnusedRepeatWindow, path!["class", i, "repeat_window"], message);
                }
                _ => {}
            }
            if class.in_order {
                let message = format!("class `{name}` sets `in_order`, but messages carry no ordering key");
                self.say(Code::OrderWithoutOrderingKey, path!["class", i, "in_order"], message);
            }
            self.figure(class.worth, 0.0, path!["class", i, "worth"]);
            self.figure(class.wanted_stretch, 0.0, path!["class", i, "wanted_stretch"]);
            self.share(class.late_worth.0, path!["class", i, "late_worth"]);
        }
    }

    fn figure(&mut self, figure: f64, least: f64, path: &[PathStep]) {
        if !(figure >= least && figure <= LARGEST_FIGURE) {
            self.say(
                Code::UnusableValue,
                path,
                format!("{figure} is out of range: it must be from {least} to {LARGEST_FIGURE:e}"),
            );
        }
    }

    fn share(&mut self, share: f64, path: &[PathStep]) {
        if !(0.0..=1.0).contains(&share) {
            let message =
                format!("{} is out of range: it must be from 0% to 100%", crate::units::Percent(share));
            self.say(Code::UnusableValue, path, message);
        }
    }

    fn whole(&mut self, number: u32, least: u32, most: u32, code: Code, path: &[PathStep]) {
        if number < least {
            self.say(code, path, format!("{number} is too low: the minimum is {least}"));
        } else if number > most {
            self.say(Code::UnusableValue, path, format!("{number} is out of range: the maximum is {most}"));
        }
    }

    fn limits(&mut self, s: &Sidecar) {
        let l = &s.limits;
        self.whole(l.attempts, 1, MOST_ATTEMPTS, Code::LimitOfZero, path!["limits", "attempts"]);
        self.whole(l.held, 1, u32::MAX, Code::LimitOfZero, path!["limits", "held"]);
        self.whole(s.senders, 1, MOST_SENDERS, Code::UnusableValue, path!["senders"]);
        self.whole(l.slots, 0, MOST_SLOTS, Code::TooFewSlots, path!["limits", "slots"]);
        if l.slots < 2 {
            let message = format!(
                "three quarters of {} slots are less than one call, so no destination would get a call",
                l.slots
            );
            self.say(Code::TooFewSlots, path!["limits", "slots"], message);
        } else if l.slots <= MOST_SLOTS
            && !SocketAllocation::divide(l.sockets as usize, l.slots as usize).supports(l.slots as usize)
        {
            let calls = SocketAllocation::divide(l.sockets as usize, l.slots as usize).calls;
            let message = format!("{} slots need as many connections to endpoints, but only {calls} of {} descriptors are for calls", l.slots, l.sockets);
            self.say(Code::SlotsOverSockets, path!["limits", "slots"], message);
        }
        if l.usual_body.0 > MAX_BODY {
            let message = format!("bodies of {} are never accepted: the maximum is 64KiB", l.usual_body);
            self.say(Code::BodyTooLarge, path!["limits", "usual_body"], message);
            return;
        }
        if l.held >= 1 && l.held < l.slots {
            let message = format!(
                "only {} messages can be open at once, so of {} slots {} are never used",
                l.held,
                l.slots,
                l.slots - l.held
            );
            self.say(Code::HeldLimitUnderSlots, path!["limits", "held"], message);
        }
        let memory = max_messages_in_memory(l.memory.0, l.usual_body.0 as usize);
        if u64::from(l.held) > memory {
            let message = format!(
                "`limits.held` is {} messages with bodies of {}, but a memory of {} holds only {memory}",
                l.held, l.usual_body, l.memory
            );
            self.say(Code::HeldLimitOverMemory, path!["limits", "held"], message);
        }
        let disk = max_messages_on_disk(
            l.disk.0,
            l.usual_body.0,
            l.attempts,
            s.journal.durability == Durability::Machine,
        );
        if u64::from(l.held) > disk {
            let message = format!(
                "`limits.held` is {} messages with bodies of {} and up to {} attempts, but a journal of {} holds only {disk}",
                l.held, l.usual_body, l.attempts, l.disk
            );
            self.say(Code::HeldLimitOverDisk, path!["limits", "held"], message);
        }
    }

    fn figures(&mut self, s: &Sidecar) {
        let r = &s.rules;
        self.share(r.start_capacity.0, path!["rules", "start_capacity"]);
        self.figure(r.overload_multiple, 1.0, path!["rules", "overload_multiple"]);
        for (key, time) in
            [("abandonment", r.abandonment), ("overload_for", r.overload_for), ("tick", r.tick)]
        {
            if time.ns() < 1_000_000 {
                self.say(
                    Code::DurationTooShort,
                    path!["rules", key],
                    format!("`rules.{key}` is under a millisecond"),
                );
            }
        }
        if r.tick.ns() > 1_000_000_000 {
            let message = format!("a tick of {} is out of range: the maximum is 1s", r.tick);
            self.say(Code::UnusableValue, path!["rules", "tick"], message);
        }
        for (key, time) in [("idle", s.connections.idle), ("dial", s.connections.dial)] {
            if time.ns() < 1_000_000 {
                self.say(
                    Code::DurationTooShort,
                    path!["connections", key],
                    format!("`connections.{key}` is under a millisecond"),
                );
            }
        }
        let p = &s.prices;
        for (key, price) in [
            ("handshake", p.handshake),
            ("cross_zone", p.cross_zone),
            ("refused", p.refused),
            ("waste", p.waste),
        ] {
            self.figure(price, 0.0, path!["prices", key]);
        }
        for (i, zone) in s.zones.iter().enumerate() {
            self.figure(zone.fee, 0.0, path!["zone", i, "fee"]);
        }
        for (i, kind) in s.kinds.iter().enumerate() {
            self.whole(kind.batch, 1, MOST_BATCH, Code::UnusableValue, path!["kind", i, "batch"]);
        }
    }

    fn traffic(&mut self, s: &Sidecar) {
        self.figure(s.traffic.rate, 0.0, path!["traffic", "rate"]);
        self.share(s.traffic.over_share_worth.0, path!["traffic", "over_share_worth"]);
        let total: f64 = s.tenants.iter().map(|t| t.share.0).sum();
        // Shares are written with few digits, so three thirds may add up to slightly more than 100%.
        if total > 1.0 + 1e-6 {
            let most =
                (0..s.tenants.len()).max_by(|a, b| s.tenants[*a].share.0.total_cmp(&s.tenants[*b].share.0));
            let message = format!(
                "the shares of {} tenants add up to {}",
                s.tenants.len(),
                crate::units::Percent(total)
            );
            self.say(Code::SharesOverTotal, path!["tenant", most.unwrap_or(0), "share"], message);
        }
        if !s.tenants.is_empty() && s.traffic.rate == 0.0 {
            self.say(
                Code::SharesWithoutRate,
                path!["tenant", 0, "share"],
                "tenants have shares, but `traffic.rate` is not set",
            );
        }
    }

    fn address(&mut self, s: &Sidecar, subject: &str, address: SocketAddr, path: &[PathStep]) {
        let peer = subject != "sidecar";
        if address.port() == 0 || (peer && (address.ip().is_unspecified() || is_group(address.ip()))) {
            let verb = if peer { "is reached" } else { "listens" };
            self.say(
                Code::UnreachableAddress,
                path,
                format!("the {subject} {verb} at {address}, which does not identify a single peer"),
            );
        } else if s.loopback_only && !address.ip().to_canonical().is_loopback() {
            self.say(
                Code::NotLoopback,
                path,
                format!("the {subject} is at {address}, but this file sets `loopback_only`"),
            );
        }
    }

    fn addresses(&mut self, s: &Sidecar) {
        self.address(s, "sidecar", s.listen, path!["listen"]);
        if !s.listen.ip().to_canonical().is_loopback() && !s.loopback_only {
            let message =
                format!("the sidecar listens at {}, where other machines may be able to reach it", s.listen);
            self.say(Code::ExposedListener, path!["listen"], message);
        }
        if let Some(discovery) = &s.discovery {
            self.address(s, "discovery", discovery.address, path!["discovery", "address"]);
        }
        if let Some(fleet) = &s.fleet {
            self.membership(s, fleet);
        }
    }

    fn membership(&mut self, s: &Sidecar, fleet: &Membership) {
        self.address(s, "member", fleet.listen, path!["fleet", "listen"]);
        if let Some(at) = fleet.advertise {
            self.address(s, "member", at, path!["fleet", "advertise"]);
        }
        for (i, seed) in fleet.seeds.iter().enumerate() {
            self.address(s, "seed", *seed, path!["fleet", "seeds", i]);
            if *seed == fleet.advertised_address() {
                self.say(
                    Code::SelfAsSeed,
                    path!["fleet", "seeds", i],
                    format!("the seed {seed} is this member itself"),
                );
            }
        }
        if fleet.key_file.is_none() && !fleet.listen.ip().to_canonical().is_loopback() {
            let message = format!("the fleet `{}` has no `key_file`", fleet.name);
            self.say(Code::UnauthenticatedFleet, path!["fleet", "listen"], message);
        }
        let member = fleet.member.as_ref().unwrap_or(&s.application);
        let name_at: &[PathStep] =
            if fleet.member.is_some() { path!["fleet", "member"] } else { path!["application"] };
        let site_at: &[PathStep] = path!["fleet", "site"];
        for (name, most, path) in [(member, MOST_NAME, name_at), (&fleet.site, MOST_SITE, site_at)] {
            if name.len() > most {
                let message = format!("`{name}` has {} bytes, but the maximum is {most}", name.len());
                self.say(Code::NameTooLong, path, message);
            }
        }
    }

    fn destinations(&mut self, s: &Sidecar) {
        match (&s.discovery, s.destinations.is_empty()) {
            (Some(_), false) => self.say(
                Code::TwoEndpointSources,
                path!["discovery"],
                format!(
                    "there is `[discovery]`, but the file also lists {} destinations",
                    s.destinations.len()
                ),
            ),
            (None, true) => self.say(
                Code::NoEndpointSource,
                path![],
                "there is neither `[[destination]]` nor `[discovery]`",
            ),
            _ => {}
        }
        let (mut numbers, mut names, mut endpoints) = (HashMap::new(), HashMap::new(), HashMap::new());
        for (i, d) in s.destinations.iter().enumerate() {
            let name = &d.name;
            self.name("destination", name, path!["destination", i, "name"]);
            if let Some(first) = numbers.insert(d.number, i) {
                let message = format!(
                    "destination `{name}` has the number {}, which `{}` has too",
                    d.number, s.destinations[first].name
                );
                self.say(Code::DuplicateDestination, path!["destination", i, "number"], message);
                self.relate(self.source.span(path!["destination", first, "number"]), "first used here");
            }
            if let Some(first) = names.insert(name, i) {
                let message = format!("there are two destinations named `{name}`");
                self.say(Code::DuplicateDestination, path!["destination", i, "name"], message);
                self.relate(self.source.span(path!["destination", first, "name"]), "first defined here");
            }
            if let Some(kind) = &d.kind {
                self.known(
                    "kind",
                    kind,
                    s.kinds.iter().map(|k| k.name.as_str()),
                    path!["destination", i, "kind"],
                );
            }
            if let Some(rate) = d.rate {
                self.figure(rate, 0.0, path!["destination", i, "rate"]);
            }
            if d.endpoints.is_empty() {
                let message = format!("destination `{name}` has no endpoint");
                self.say(Code::NoEndpoint, path!["destination", i, "endpoints"], message);
            }
            for (n, endpoint) in d.endpoints.iter().enumerate() {
                let endpoint = endpoint.endpoint();
                let at = path!["destination", i, "endpoints", n];
                self.address(s, "endpoint", endpoint.address, at);
                if same_place(endpoint.address, s.listen) {
                    let message = format!(
                        "destination `{name}` has the endpoint {}, where this sidecar itself listens",
                        endpoint.address
                    );
                    self.say(Code::DeliveryToItself, at, message);
                }
                if let Some(zone) = &endpoint.zone {
                    self.known("zone", zone, s.zones.iter().map(|z| z.name.as_str()), at);
                }
                let Some((first, item)) = endpoints.insert(canonical(endpoint.address), (i, n)) else {
                    continue;
                };
                let address = endpoint.address;
                if first == i {
                    self.say(
                        Code::DuplicateEndpoint,
                        at,
                        format!("destination `{name}` lists the endpoint {address} twice"),
                    );
                } else {
                    let other = &s.destinations[first].name;
                    let message =
                        format!("the endpoint {address} is listed under `{other}` and under `{name}`");
                    self.say(Code::EndpointOfTwoDestinations, at, message);
                }
                self.relate(
                    self.source.span(path!["destination", first, "endpoints", item]),
                    "first listed here",
                );
            }
        }
    }

    fn notices(&mut self, s: &Sidecar) {
        let n = &s.notices;
        if n.http.is_none() && n.file.is_none() {
            self.say(
                Code::NoNoticeSink,
                path!["notices"],
                "neither `notices.http` nor `notices.file` is set",
            );
        }
        if let Some(http) = &n.http {
            match url::parse(http) {
                Ok(url) => {
                    self.address(s, "receiver of notices", url.address, path!["notices", "http"]);
                    if same_place(url.address, s.listen) {
                        let message = format!(
                            "notices are posted to {}, where this sidecar itself listens",
                            url.address
                        );
                        self.say(Code::DeliveryToItself, path!["notices", "http"], message);
                    }
                }
                Err(why) => self.say(Code::InvalidUrl, path!["notices", "http"], format!("`{http}` {why}")),
            }
        }
        if s.state.as_os_str().is_empty() {
            self.say(Code::UnusableValue, path!["state"], "the path of the state folder is empty");
        }
        if let Some(file) = &n.file {
            if file.file_name().is_none() {
                self.say(Code::UnusableValue, path!["notices", "file"], "the path has no file name");
            } else if normalize_path(file).starts_with(normalize_path(&s.state)) {
                let message = format!(
                    "the notice file {} is in the state folder {}",
                    file.display(),
                    s.state.display()
                );
                self.say(Code::NoticeFileInState, path!["notices", "file"], message);
            }
        }
        for (key, text) in [("state", s.state.to_str()), ("file", n.file.as_ref().and_then(|f| f.to_str()))] {
            if text.is_some_and(|t| t.contains('\0')) {
                let path: &[PathStep] =
                    if key == "state" { path!["state"] } else { path!["notices", "file"] };
                self.say(Code::UnusableValue, path, "a path can't contain a NUL byte");
            }
        }
    }
}

fn is_group(ip: IpAddr) -> bool {
    ip.is_multicast() || matches!(ip, IpAddr::V4(v4) if v4.is_broadcast())
}

fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// Whether a call to `address` would reach the listener at `listen`, as far as the addresses show.
fn same_place(address: SocketAddr, listen: SocketAddr) -> bool {
    let (ip, at) = (address.ip().to_canonical(), listen.ip().to_canonical());
    address.port() == listen.port() && (ip == at || (at.is_unspecified() && ip.is_loopback()))
}
