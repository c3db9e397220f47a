//! Checks of a single configuration file. They do not inspect the host; `nickelshed-ctl doctor` does that.
use crate::code::Code;
use crate::finding::Finding;
use crate::sidecar::{Durability, Effect, Membership, Sidecar};
use crate::source::{closest_name, PathStep, Source};
use crate::url;
use nickelshed_budget::{max_messages_in_memory, max_messages_on_disk, SocketAllocation};
use nickelshed_fleet::{MAX_NAME_BYTES, MAX_SITE_BYTES};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Component, Path, PathBuf};

/// Largest message body that is accepted, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Longest name that these checks accept, in bytes; also the longest name of an endpoint that the journal
/// stores.
const MAX_CONFIG_NAME_BYTES: usize = 64;
/// Largest rate, value or price. Bounded because the policy multiplies them.
const MAX_NUMBER: f64 = 1e9;
// Larger counts are mistakes, and the tables of the policy would use too much memory for them.
const MAX_SLOTS: u32 = 65_536;
const MAX_SENDERS: u32 = 10_000;
const MAX_ATTEMPTS: u32 = 1_000;
const MAX_BATCH: u32 = 1_000;

struct Checker<'a> {
    source: &'a Source,
    findings: Vec<Finding>,
}

macro_rules! path {
    ($($step:expr),*) => { &[$(PathStep::from($step)),*] };
}

/// Checks the content of a file that has the right syntax and types. Warnings that the file allows are left
/// out.
pub fn check(sidecar: &Sidecar, source: &Source) -> Vec<Finding> {
    let mut checker = Checker { source, findings: Vec::new() };
    checker.check_names(sidecar);
    checker.check_classes(sidecar);
    checker.check_limits(sidecar);
    checker.check_parameters(sidecar);
    checker.check_traffic(sidecar);
    checker.check_addresses(sidecar);
    checker.check_destinations(sidecar);
    checker.check_notices(sidecar);
    checker.check_allowed_codes(sidecar);
    let mut findings = checker.findings;
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
    let mut normalized = PathBuf::new();
    for component in path.components() {
        match component {
            Component::CurDir => {}
            Component::ParentDir
                if matches!(normalized.components().next_back(), Some(Component::Normal(_))) =>
            {
                _ = normalized.pop()
            }
            Component::ParentDir if normalized.has_root() => {}
            other => normalized.push(other),
        }
    }
    normalized
}

impl Checker<'_> {
    /// Adds a finding at the value that `path` leads to.
    fn report_with_help(
        &mut self,
        code: Code,
        path: &[PathStep],
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let span = self.source.span(path);
        self.findings.push(Finding::new(code, span, message, help));
    }

    /// Like `report_with_help`, with the help text of the code.
    fn report(&mut self, code: Code, path: &[PathStep], message: impl Into<String>) {
        self.report_with_help(code, path, message, code.info().fix);
    }

    fn check_allowed_codes(&mut self, sidecar: &Sidecar) {
        for (i, allowed) in sidecar.allow.iter().enumerate() {
            match allowed.parse::<Code>() {
                Ok(code) if code.level() == crate::code::Level::Warning => {}
                Ok(_) => self.report(
                    Code::InvalidAllowEntry,
                    path!["allow", i],
                    format!("`{allowed}` is an error, which can't be allowed"),
                ),
                Err(()) => self.report(
                    Code::InvalidAllowEntry,
                    path!["allow", i],
                    format!("there is no code `{allowed}`"),
                ),
            }
        }
    }

    /// Checks that a name can be sent in a header or a path. `subject` is the type of item that has the name.
    fn check_name(&mut self, subject: &str, name: &str, path: &[PathStep]) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let prefix: String = name.chars().take(MAX_CONFIG_NAME_BYTES).collect();
        if name.is_empty() {
            self.report(Code::InvalidName, path, format!("the {subject} has an empty name"));
        } else if name.len() > MAX_CONFIG_NAME_BYTES {
            self.report(
                Code::InvalidName,
                path,
                format!("the {subject} `{prefix}…` has a name of {} bytes", name.len()),
            );
        } else if let Some(invalid) = name.chars().find(|c| !is_allowed(*c)) {
            self.report(
                Code::InvalidName,
                path,
                format!("the {subject} `{prefix}` has {invalid:?} in its name"),
            );
        } else if subject == "class" && (name == "healthz" || name.chars().all(|c| c == '.')) {
            self.report(
                Code::InvalidName,
                path,
                format!("the class `{name}` has the name of a reserved path"),
            );
        }
    }

    /// Checks the names of a list of sections: each is valid, and each is unique.
    fn check_unique_names<'n>(&mut self, subject: &str, section: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashMap::new();
        for (i, name) in names.enumerate() {
            self.check_name(subject, name, path![section, i, "name"]);
            if let Some(first) = seen.insert(name, i) {
                let span = self.source.span(path![section, first, "name"]);
                self.report(
                    Code::DuplicateName,
                    path![section, i, "name"],
                    format!("there are two sections for the {subject} `{name}`"),
                );
                self.add_related(span, "first defined here");
            }
        }
    }

    /// Adds a related position to the last finding.
    fn add_related(&mut self, span: crate::finding::Span, message: &str) {
        if let Some(finding) = self.findings.last_mut() {
            finding.related.push(crate::finding::Related { file: 0, span, message: message.to_string() });
        }
    }

    fn check_names(&mut self, sidecar: &Sidecar) {
        self.check_name("application", &sidecar.application, path!["application"]);
        if let Some(host) = &sidecar.host {
            self.check_name("host", host, path!["host"]);
        }
        self.check_unique_names("class", "class", sidecar.classes.iter().map(|c| c.name.as_str()));
        self.check_unique_names("tenant", "tenant", sidecar.tenants.iter().map(|t| t.name.as_str()));
        self.check_unique_names("kind", "kind", sidecar.kinds.iter().map(|k| k.name.as_str()));
        self.check_unique_names("zone", "zone", sidecar.zones.iter().map(|z| z.name.as_str()));
        if let Some(zone) = &sidecar.own_zone {
            self.check_reference(
                "zone",
                zone,
                sidecar.zones.iter().map(|z| z.name.as_str()),
                path!["own_zone"],
            );
        }
    }

    /// Checks that `name` is among `known_names`; otherwise suggests the most similar one.
    fn check_reference<'n>(
        &mut self,
        subject: &str,
        name: &str,
        known_names: impl Iterator<Item = &'n str> + Clone,
        path: &[PathStep],
    ) {
        if known_names.clone().any(|k| k == name) {
            return;
        }
        let help = match closest_name(name, known_names.clone()) {
            Some(closest) => format!("Did you mean `{closest}`?"),
            None if known_names.clone().next().is_none() => {
                format!("Add a `[[{subject}]]` with that name, or remove it")
            }
            None => format!("Known names: {}", known_names.collect::<Vec<_>>().join(", ")),
        };
        self.report_with_help(Code::UnknownName, path, format!("there is no {subject} `{name}`"), help);
    }

    fn check_classes(&mut self, sidecar: &Sidecar) {
        if sidecar.classes.is_empty() {
            self.report(
                Code::NoClass,
                path!["class"],
                "there is no `[[class]]`, so no message can be submitted",
            );
        }
        let abandonment = sidecar.rules.abandonment;
        for (i, class) in sidecar.classes.iter().enumerate() {
            let (name, abandoned_after, wanted_within) =
                (&class.name, class.abandoned_after, class.wanted_within);
            if abandoned_after > abandonment {
                let message = format!("class `{name}` is abandoned after {abandoned_after}, later than {abandonment}, after which nobody waits for a message any more");
                let help = format!("Set `abandoned_after` to {abandonment} at most, or raise `rules.abandonment` if clients and destinations really wait longer");
                self.report_with_help(
                    Code::BeyondAbandonment,
                    path!["class", i, "abandoned_after"],
                    message,
                    help,
                );
            }
            if wanted_within > abandoned_after {
                let message = format!(
                    "class `{name}` has a `wanted_within` of {wanted_within}, but is abandoned after {abandoned_after}"
                );
                self.report(Code::TargetBeyondExpiry, path!["class", i, "wanted_within"], message);
            }
            for (key, duration) in [("wanted_within", wanted_within), ("abandoned_after", abandoned_after)] {
                if duration.ns() < 1_000_000 {
                    let message = format!("class `{name}` has a `{key}` under a millisecond");
                    self.report(Code::DurationTooShort, path!["class", i, key], message);
                }
            }
            match (class.effect, class.repeat_window) {
                (Effect::Keyed, None) => {
                    let message = format!("class `{name}` is keyed and has no `repeat_window`");
                    self.report(Code::MissingRepeatWindow, path!["class", i, "effect"], message);
                }
                (Effect::Keyed, Some(repeat_window)) if repeat_window < abandoned_after => {
                    let uncovered = crate::units::Period(abandoned_after.0 - repeat_window.0);
                    let message = format!("class `{name}` is abandoned after {abandoned_after}, but its destinations drop repeats only for {repeat_window}: a message that may have been executed is not attempted in its last {uncovered}");
                    self.report(Code::ShortRepeatWindow, path!["class", i, "repeat_window"], message);
                }
                (Effect::Safe | Effect::Unsafe, Some(_)) => {
                    let message =
                        format!("class `{name}` is not keyed, so its `repeat_window` has no effect");
                    self.report(Code::UnusedRepeatWindow, path!["class", i, "repeat_window"], message);
                }
                _ => {}
            }
            if class.in_order {
                let message = format!("class `{name}` sets `in_order`, but messages carry no ordering key");
                self.report(Code::OrderWithoutOrderingKey, path!["class", i, "in_order"], message);
            }
            self.check_number(class.worth, 0.0, path!["class", i, "worth"]);
            self.check_number(class.wanted_stretch, 0.0, path!["class", i, "wanted_stretch"]);
            self.check_share(class.late_worth.0, path!["class", i, "late_worth"]);
        }
    }

    fn check_number(&mut self, number: f64, min: f64, path: &[PathStep]) {
        if !(number >= min && number <= MAX_NUMBER) {
            self.report(
                Code::UnusableValue,
                path,
                format!("{number} is out of range: it must be from {min} to {MAX_NUMBER:e}"),
            );
        }
    }

    fn check_share(&mut self, share: f64, path: &[PathStep]) {
        if !(0.0..=1.0).contains(&share) {
            let message =
                format!("{} is out of range: it must be from 0% to 100%", crate::units::Percent(share));
            self.report(Code::UnusableValue, path, message);
        }
    }

    /// Reports a number below `min` with `code`, and one above `max` as unusable.
    fn check_integer(&mut self, number: u32, min: u32, max: u32, code: Code, path: &[PathStep]) {
        if number < min {
            self.report(code, path, format!("{number} is too low: the minimum is {min}"));
        } else if number > max {
            self.report(Code::UnusableValue, path, format!("{number} is out of range: the maximum is {max}"));
        }
    }

    fn check_limits(&mut self, sidecar: &Sidecar) {
        let limits = &sidecar.limits;
        self.check_integer(limits.attempts, 1, MAX_ATTEMPTS, Code::LimitOfZero, path!["limits", "attempts"]);
        self.check_integer(limits.held, 1, u32::MAX, Code::LimitOfZero, path!["limits", "held"]);
        self.check_integer(sidecar.senders, 1, MAX_SENDERS, Code::UnusableValue, path!["senders"]);
        self.check_integer(limits.slots, 0, MAX_SLOTS, Code::TooFewSlots, path!["limits", "slots"]);
        if limits.slots < 2 {
            let message = format!(
                "three quarters of {} slots are less than one call, so no destination would get a call",
                limits.slots
            );
            self.report(Code::TooFewSlots, path!["limits", "slots"], message);
        } else if limits.slots <= MAX_SLOTS
            && !SocketAllocation::divide(limits.sockets as usize, limits.slots as usize)
                .supports(limits.slots as usize)
        {
            let calls = SocketAllocation::divide(limits.sockets as usize, limits.slots as usize).calls;
            let message = format!("{} slots need as many connections to endpoints, but only {calls} of {} descriptors are for calls", limits.slots, limits.sockets);
            self.report(Code::SlotsOverSockets, path!["limits", "slots"], message);
        }
        if limits.usual_body.0 > MAX_BODY_BYTES {
            let message = format!("bodies of {} are never accepted: the maximum is 64KiB", limits.usual_body);
            self.report(Code::BodyTooLarge, path!["limits", "usual_body"], message);
            return;
        }
        if limits.held >= 1 && limits.held < limits.slots {
            let message = format!(
                "only {} messages can be open at once, so of {} slots {} are never used",
                limits.held,
                limits.slots,
                limits.slots - limits.held
            );
            self.report(Code::HeldLimitUnderSlots, path!["limits", "held"], message);
        }
        let memory_capacity = max_messages_in_memory(limits.memory.0, limits.usual_body.0 as usize);
        if u64::from(limits.held) > memory_capacity {
            let message = format!(
                "`limits.held` is {} messages with bodies of {}, but a memory of {} holds only {memory_capacity}",
                limits.held, limits.usual_body, limits.memory
            );
            self.report(Code::HeldLimitOverMemory, path!["limits", "held"], message);
        }
        let disk_capacity = max_messages_on_disk(
            limits.disk.0,
            limits.usual_body.0,
            limits.attempts,
            sidecar.journal.durability == Durability::Machine,
        );
        if u64::from(limits.held) > disk_capacity {
            let message = format!(
                "`limits.held` is {} messages with bodies of {} and up to {} attempts, but a journal of {} holds only {disk_capacity}",
                limits.held, limits.usual_body, limits.attempts, limits.disk
            );
            self.report(Code::HeldLimitOverDisk, path!["limits", "held"], message);
        }
    }

    fn check_parameters(&mut self, sidecar: &Sidecar) {
        let rules = &sidecar.rules;
        self.check_share(rules.start_capacity.0, path!["rules", "start_capacity"]);
        self.check_number(rules.overload_multiple, 1.0, path!["rules", "overload_multiple"]);
        for (key, duration) in
            [("abandonment", rules.abandonment), ("overload_for", rules.overload_for), ("tick", rules.tick)]
        {
            if duration.ns() < 1_000_000 {
                self.report(
                    Code::DurationTooShort,
                    path!["rules", key],
                    format!("`rules.{key}` is under a millisecond"),
                );
            }
        }
        if rules.tick.ns() > 1_000_000_000 {
            let message = format!("a tick of {} is out of range: the maximum is 1s", rules.tick);
            self.report(Code::UnusableValue, path!["rules", "tick"], message);
        }
        for (key, duration) in [("idle", sidecar.connections.idle), ("dial", sidecar.connections.dial)] {
            if duration.ns() < 1_000_000 {
                self.report(
                    Code::DurationTooShort,
                    path!["connections", key],
                    format!("`connections.{key}` is under a millisecond"),
                );
            }
        }
        let prices = &sidecar.prices;
        for (key, price) in [
            ("handshake", prices.handshake),
            ("cross_zone", prices.cross_zone),
            ("refused", prices.refused),
            ("waste", prices.waste),
        ] {
            self.check_number(price, 0.0, path!["prices", key]);
        }
        for (i, zone) in sidecar.zones.iter().enumerate() {
            self.check_number(zone.fee, 0.0, path!["zone", i, "fee"]);
        }
        for (i, kind) in sidecar.kinds.iter().enumerate() {
            self.check_integer(kind.batch, 1, MAX_BATCH, Code::UnusableValue, path!["kind", i, "batch"]);
        }
    }

    fn check_traffic(&mut self, sidecar: &Sidecar) {
        self.check_number(sidecar.traffic.rate, 0.0, path!["traffic", "rate"]);
        self.check_share(sidecar.traffic.over_share_worth.0, path!["traffic", "over_share_worth"]);
        let total: f64 = sidecar.tenants.iter().map(|t| t.share.0).sum();
        // Shares are written with few digits, so three thirds may add up to slightly more than 100%.
        if total > 1.0 + 1e-6 {
            let largest = (0..sidecar.tenants.len())
                .max_by(|a, b| sidecar.tenants[*a].share.0.total_cmp(&sidecar.tenants[*b].share.0));
            let message = format!(
                "the shares of {} tenants add up to {}",
                sidecar.tenants.len(),
                crate::units::Percent(total)
            );
            self.report(Code::SharesOverTotal, path!["tenant", largest.unwrap_or(0), "share"], message);
        }
        if !sidecar.tenants.is_empty() && sidecar.traffic.rate == 0.0 {
            self.report(
                Code::SharesWithoutRate,
                path!["tenant", 0, "share"],
                "tenants have shares, but `traffic.rate` is not set",
            );
        }
    }

    fn check_address(&mut self, sidecar: &Sidecar, subject: &str, address: SocketAddr, path: &[PathStep]) {
        let is_peer = subject != "sidecar";
        if address.port() == 0
            || (is_peer && (address.ip().is_unspecified() || is_multicast_or_broadcast(address.ip())))
        {
            let verb = if is_peer { "is reached" } else { "listens" };
            self.report(
                Code::UnspecificAddress,
                path,
                format!("the {subject} {verb} at {address}, which does not identify a single listener"),
            );
        } else if sidecar.loopback_only && !address.ip().to_canonical().is_loopback() {
            self.report(
                Code::NotLoopback,
                path,
                format!("the {subject} is at {address}, but this file sets `loopback_only`"),
            );
        }
    }

    fn check_addresses(&mut self, sidecar: &Sidecar) {
        self.check_address(sidecar, "sidecar", sidecar.listen, path!["listen"]);
        if !sidecar.listen.ip().to_canonical().is_loopback() && !sidecar.loopback_only {
            let message = format!(
                "the sidecar listens at {}, where other machines may be able to reach it",
                sidecar.listen
            );
            self.report(Code::ExposedListener, path!["listen"], message);
        }
        if let Some(discovery) = &sidecar.discovery {
            self.check_address(sidecar, "discovery", discovery.address, path!["discovery", "address"]);
        }
        if let Some(fleet) = &sidecar.fleet {
            self.check_membership(sidecar, fleet);
        }
    }

    fn check_membership(&mut self, sidecar: &Sidecar, fleet: &Membership) {
        self.check_address(sidecar, "member", fleet.listen, path!["fleet", "listen"]);
        if let Some(address) = fleet.advertise {
            self.check_address(sidecar, "member", address, path!["fleet", "advertise"]);
        }
        for (i, seed) in fleet.seeds.iter().enumerate() {
            self.check_address(sidecar, "seed", *seed, path!["fleet", "seeds", i]);
            if *seed == fleet.advertised_address() {
                self.report(
                    Code::SelfAsSeed,
                    path!["fleet", "seeds", i],
                    format!("the seed {seed} is this member itself"),
                );
            }
        }
        if fleet.key_file.is_none() && !fleet.listen.ip().to_canonical().is_loopback() {
            let message = format!("the fleet `{}` has no `key_file`", fleet.name);
            self.report(Code::UnauthenticatedFleet, path!["fleet", "listen"], message);
        }
        let member = fleet.member.as_ref().unwrap_or(&sidecar.application);
        let name_path: &[PathStep] =
            if fleet.member.is_some() { path!["fleet", "member"] } else { path!["application"] };
        let site_path: &[PathStep] = path!["fleet", "site"];
        for (name, max, path) in
            [(member, MAX_NAME_BYTES, name_path), (&fleet.site, MAX_SITE_BYTES, site_path)]
        {
            if name.len() > max {
                let message = format!("`{name}` has {} bytes, but the maximum is {max}", name.len());
                self.report(Code::NameTooLong, path, message);
            }
        }
    }

    fn check_destinations(&mut self, sidecar: &Sidecar) {
        match (&sidecar.discovery, sidecar.destinations.is_empty()) {
            (Some(_), false) => self.report(
                Code::TwoEndpointSources,
                path!["discovery"],
                format!(
                    "there is `[discovery]`, but the file also lists {} destinations",
                    sidecar.destinations.len()
                ),
            ),
            (None, true) => self.report(
                Code::NoEndpointSource,
                path![],
                "there is neither `[[destination]]` nor `[discovery]`",
            ),

            _ => {}
        }
        let (mut numbers, mut names, mut endpoints) = (HashMap::new(), HashMap::new(), HashMap::new());
        for (i, destination) in sidecar.destinations.iter().enumerate() {
            let name = &destination.name;
            self.check_name("destination", name, path!["destination", i, "name"]);
            if let Some(first) = numbers.insert(destination.number, i) {
                let message = format!(
                    "destination `{name}` has the number {}, which `{}` has too",
                    destination.number, sidecar.destinations[first].name
                );
                self.report(Code::DuplicateDestination, path!["destination", i, "number"], message);
                self.add_related(self.source.span(path!["destination", first, "number"]), "first used here");
            }
            if let Some(first) = names.insert(name, i) {
                let message = format!("there are two destinations named `{name}`");
                self.report(Code::DuplicateDestination, path!["destination", i, "name"], message);
                self.add_related(self.source.span(path!["destination", first, "name"]), "first defined here");
            }
            if let Some(kind) = &destination.kind {
                self.check_reference(
                    "kind",
                    kind,
                    sidecar.kinds.iter().map(|k| k.name.as_str()),
                    path!["destination", i, "kind"],
                );
            }
            if let Some(rate) = destination.rate {
                self.check_number(rate, 0.0, path!["destination", i, "rate"]);
            }
            if destination.endpoints.is_empty() {
                let message = format!("destination `{name}` has no endpoint");
                self.report(Code::NoEndpoint, path!["destination", i, "endpoints"], message);
            }
            for (j, endpoint) in destination.endpoints.iter().enumerate() {
                let endpoint = endpoint.endpoint();
                let path = path!["destination", i, "endpoints", j];
                self.check_address(sidecar, "endpoint", endpoint.address, path);
                if reaches_listener(endpoint.address, sidecar.listen) {
                    let message = format!(
                        "destination `{name}` has the endpoint {}, where this sidecar itself listens",
                        endpoint.address
                    );
                    self.report(Code::DeliveryToItself, path, message);
                }
                if let Some(zone) = &endpoint.zone {
                    self.check_reference("zone", zone, sidecar.zones.iter().map(|z| z.name.as_str()), path);
                }
                let Some((first_destination, first_endpoint)) =
                    endpoints.insert(to_canonical_address(endpoint.address), (i, j))
                else {
                    continue;
                };
                let address = endpoint.address;
                if first_destination == i {
                    self.report(
                        Code::DuplicateEndpoint,
                        path,
                        format!("destination `{name}` lists the endpoint {address} twice"),
                    );
                } else {
                    let other = &sidecar.destinations[first_destination].name;
                    let message =
                        format!("the endpoint {address} is listed under `{other}` and under `{name}`");
                    self.report(Code::EndpointOfTwoDestinations, path, message);
                }
                self.add_related(
                    self.source.span(path!["destination", first_destination, "endpoints", first_endpoint]),
                    "first listed here",
                );
            }
        }
    }

    fn check_notices(&mut self, sidecar: &Sidecar) {
        let notices = &sidecar.notices;
        if notices.http.is_none() && notices.file.is_none() {
            self.report(
                Code::NoNoticeSink,
                path!["notices"],
                "neither `notices.http` nor `notices.file` is set",
            );
        }
        if let Some(http) = &notices.http {
            match url::parse(http) {
                Ok(url) => {
                    self.check_address(sidecar, "receiver of notices", url.address, path!["notices", "http"]);
                    if reaches_listener(url.address, sidecar.listen) {
                        let message = format!(
                            "notices are posted to {}, where this sidecar itself listens",
                            url.address
                        );
                        self.report(Code::DeliveryToItself, path!["notices", "http"], message);
                    }
                }
                Err(why) => {
                    self.report(Code::InvalidUrl, path!["notices", "http"], format!("`{http}` {why}"))
                }
            }
        }
        if sidecar.state.as_os_str().is_empty() {
            self.report(Code::UnusableValue, path!["state"], "the path of the state folder is empty");
        }
        if let Some(file) = &notices.file {
            if file.file_name().is_none() {
                self.report(Code::UnusableValue, path!["notices", "file"], "the path has no file name");
            } else if normalize_path(file).starts_with(normalize_path(&sidecar.state)) {
                let message = format!(
                    "the notice file {} is in the state folder {}",
                    file.display(),
                    sidecar.state.display()
                );
                self.report(Code::NoticeFileInState, path!["notices", "file"], message);
            }
        }
        for (key, text) in
            [("state", sidecar.state.to_str()), ("file", notices.file.as_ref().and_then(|f| f.to_str()))]
        {
            if text.is_some_and(|t| t.contains('\0')) {
                let path: &[PathStep] =
                    if key == "state" { path!["state"] } else { path!["notices", "file"] };
                self.report(Code::UnusableValue, path, "a path can't contain a NUL byte");
            }
        }
    }
}

fn is_multicast_or_broadcast(ip: IpAddr) -> bool {
    ip.is_multicast() || matches!(ip, IpAddr::V4(v4) if v4.is_broadcast())
}

fn to_canonical_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// Whether a call to `address` would reach the listener at `listen`, as far as the addresses show.
fn reaches_listener(address: SocketAddr, listen: SocketAddr) -> bool {
    let (ip, listener_ip) = (address.ip().to_canonical(), listen.ip().to_canonical());
    address.port() == listen.port()
        && (ip == listener_ip || (listener_ip.is_unspecified() && ip.is_loopback()))
}
