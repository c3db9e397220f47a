//! Wire lines to `api` events for each sender, and its actions back to lines.
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use nickelshed_settings::{self as settings, DeploymentContext};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;

#[derive(Clone)]
struct WireEntry {
    name: String,
    entry: Entry,
}

struct Held {
    name: String,
    out: u32,
    over: bool,
}

struct Instance {
    sender: Sender,
    around: DeploymentContext,
    events: Vec<Event>,
    endpoints: HashMap<String, EndpointId>,
    endpoint_names: Vec<String>,
    ids: HashMap<String, MsgId>,
    held: HashMap<MsgId, Held>,
    next_id: MsgId,
    woken: bool,
}

#[derive(Default)]
pub struct Host {
    now: Option<Ns>,
    current: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    tables: HashMap<u64, Rc<Vec<WireEntry>>>,
    /// A table whose entries are still coming: its number, how many are missing, and those read.
    filling: Option<(u64, u64, Vec<WireEntry>)>,
    actions: Vec<Action>,
}

/// The named parts of one line.
struct Fields<'a> {
    verb: &'a str,
    text: &'a str,
}

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.text;
        while !rest.is_empty() {
            let (part, after) = rest.split_once('\t').unwrap_or((rest, ""));
            if let Some((key, value)) = part.split_once('=') {
                if key == name {
                    return Some(value);
                }
            }
            rest = after;
        }
        None
    }

    fn text(&self, name: &str) -> Result<&'a str, String> {
        self.find(name).ok_or_else(|| format!("{} field {name} is missing", self.verb))
    }

    fn parse<T: std::str::FromStr>(&self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{} field {name} is malformed: {}", self.verb, shorten(text)))
    }

    fn parse_or<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        if self.find(name).is_some() {
            self.parse(name)
        } else {
            Ok(default)
        }
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(40).collect()
}

impl Host {
    /// Takes one line; true when it closed a batch and `reply` holds the answer.
    pub fn line(&mut self, line: &str, reply: &mut String) -> Result<bool, String> {
        if line.is_empty() {
            return Ok(false);
        }
        let (verb, text) = line.split_once('\t').unwrap_or((line, ""));
        let f = Fields { verb, text };
        if let Some((slot, missing, mut entries)) = self.filling.take() {
            if verb != "ENTRY" {
                return Err(format!("{}: {missing} ENTRY lines of the TABLE are missing", shorten(verb)));
            }
            entries.push(read_entry(&f)?);
            if missing > 1 {
                self.filling = Some((slot, missing - 1, entries));
            } else {
                self.tables.insert(slot, Rc::new(entries));
            }
            return Ok(false);
        }
        if verb == "MARK" {
            self.now = Some(f.parse::<Ns>("WallNs")?);
            self.current = None;
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(format!("{} outside a batch: no MARK came", shorten(verb)));
        };
        match verb {
            "FLUSH" => {
                self.answer(now, reply);
                self.now = None;
                return Ok(true);
            }
            "INSTANCE" => self.current = Some(f.parse("Sender")?),
            "TABLE" => {
                let (slot, lines) = (f.parse::<u64>("Slot")?, f.parse::<u64>("Lines")?);
                if lines == 0 {
                    self.tables.insert(slot, Rc::default());
                } else {
                    self.filling = Some((slot, lines, Vec::new()));
                }
            }
            "LAUNCH" => {
                let number = self.current.ok_or("LAUNCH without an INSTANCE line")?;
                let seed = f.parse::<u64>("Prng")?;
                let conf =
                    text.find("Conf=").map(|at| &text[at + 5..]).ok_or("LAUNCH field Conf is missing")?;
                let conf =
                    serde_json::from_str(conf).map_err(|e| format!("LAUNCH field Conf: not JSON: {e}"))?;
                let (settings, around) =
                    settings::read(&conf).map_err(|e| format!("LAUNCH field Conf: {e}"))?;
                let sender = Sender::new(settings, seed);
                self.instances.insert(number, Instance::new(sender, around));
            }
            "CRASH_NOW" => {
                let number = self.current.ok_or("CRASH_NOW without an INSTANCE line")?;
                self.instances.remove(&number);
            }
            "ANNOUNCE" | "WORK_ITEM" | "ELAPSED" | "EXPIRED" | "ECHO" | "FROM_PEER" | "ATTEMPT_END"
            | "HEADERS" => {
                let number = self.current.ok_or_else(|| format!("{verb} without an INSTANCE line"))?;
                let known = self.instances.get_mut(&number);
                let instance =
                    known.ok_or_else(|| format!("{verb} for Sender {number}, which was not launched"))?;
                instance.event(&f, &self.tables)?;
                instance.woken = true;
            }
            _ => return Err(format!("unknown message {}", shorten(verb))),
        }
        Ok(false)
    }

    fn answer(&mut self, now: Ns, reply: &mut String) {
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.woken) {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            self.actions.clear();
            instance.sender.handle(now, &events, &mut self.actions);
            if !self.actions.is_empty() {
                let _ = writeln!(reply, "AT\tSender={number}");
                for action in &self.actions {
                    instance.write(*action, reply);
                }
            }
        }
        reply.push_str("EOR\n");
    }
}

impl Instance {
    fn new(sender: Sender, around: DeploymentContext) -> Instance {
        Instance {
            sender,
            around,
            events: Vec::new(),
            endpoints: HashMap::new(),
            endpoint_names: Vec::new(),
            ids: HashMap::new(),
            held: HashMap::new(),
            next_id: 0,
            woken: true,
        }
    }

    fn event(&mut self, f: &Fields, tables: &HashMap<u64, Rc<Vec<WireEntry>>>) -> Result<(), String> {
        match f.verb {
            "ANNOUNCE" => {
                let whole = match f.text("Scope")? {
                    "Partial" => false,
                    "Complete" | "Persisted" => true,
                    "Error" => return Ok(()),
                    other => return Err(format!("ANNOUNCE field Scope is malformed: {}", shorten(other))),
                };
                let slot: u64 = f.parse("Slot")?;
                let table = tables.get(&slot).ok_or(format!("ANNOUNCE field Slot names no TABLE: {slot}"))?;
                let entries =
                    table.iter().map(|e| Entry { endpoint: self.endpoint(&e.name), ..e.entry }).collect();
                self.events.push(Event::List { full: whole, entries });
            }
            "WORK_ITEM" => {
                let name = f.text("Ref")?;
                let message = Message {
                    id: self.next_id,
                    class: f.parse("Cls")?,
                    dest: f.parse("ToExchange")?,
                    time_left: f.parse("TimeLeftNs")?,
                    expected_work: f.parse_or("CostNs", 0)?,
                    key: if f.find("PartitionKey").is_some() { Some(f.parse("PartitionKey")?) } else { None },
                    tenant: f.parse_or("UserGroup", 0)?,
                };
                self.next_id += 1;
                self.ids.insert(name.to_string(), message.id);
                self.held.insert(message.id, Held { name: name.to_string(), out: 0, over: false });
                self.events.push(Event::Message(message));
            }
            "ELAPSED" => self.events.push(Event::Timer),
            "EXPIRED" => {
                if let Some(&id) = self.ids.get(f.text("Ref")?) {
                    self.events.push(Event::Withdrawn { id });
                    self.end(id);
                }
            }
            "ECHO" => {
                let endpoint = self.endpoint(f.text("Endpoint")?);
                let (outcome, report) = (read_outcome(f)?, self.report(f)?);
                self.events.push(Event::Probed { endpoint, outcome, report });
            }
            "ATTEMPT_END" => {
                let Some(&id) = self.ids.get(f.text("Ref")?) else {
                    return Ok(());
                };
                let wait: Ns = f.parse_or("WaitMs", 0)?;
                let outcome = read_outcome(f)?;
                let end = AttemptEnd {
                    id,
                    attempt: f.parse("Shot")?,
                    endpoint: self.endpoint(f.text("Endpoint")?),
                    outcome,
                    took: f.parse("WaitTimeNs")?,
                    finished: f.parse_or::<u8>("DoneFlag", 0)? != 0,
                    retry_after: if outcome == Outcome::TurnedAway { wait.saturating_mul(MS) } else { 0 },
                    report: self.report(f)?,
                    reused_connection: false,
                };
                self.events.push(Event::AttemptEnd(end));
                if let Some(held) = self.held.get_mut(&id) {
                    held.out = held.out.saturating_sub(1);
                    held.over |= end.finished;
                }
                self.forget(id);
            }
            // Notes of other senders are not used, and no class is streamed.
            _ => {}
        }
        Ok(())
    }

    fn endpoint(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoints.get(name) {
            return id;
        }
        let id = self.endpoint_names.len() as EndpointId;
        self.endpoints.insert(name.to_string(), id);
        self.endpoint_names.push(name.to_string());
        id
    }

    fn report(&self, f: &Fields) -> Result<Option<Report>, String> {
        let Some(text) = f.find("Metrics") else {
            return Ok(None);
        };
        let mut row = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let value = part.trim().parse::<f64>();
            row.push(value.map_err(|_| format!("{} field Metrics is malformed: {}", f.verb, shorten(text)))?);
        }
        let at = |column: Option<usize>| column.and_then(|c| row.get(c)).copied();
        Ok(match (at(self.around.x0_column), at(self.around.x1_column)) {
            (None, None) => None,
            (left, limit) => Some(Report { remaining: left.unwrap_or(0.0), limit: limit.unwrap_or(0.0) }),
        })
    }

    fn end(&mut self, id: MsgId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.over = true;
        }
        self.forget(id);
    }

    /// Drops the name of a message that has ended and has no attempt out.
    fn forget(&mut self, id: MsgId) {
        if self.held.get(&id).is_some_and(|h| h.over && h.out == 0) {
            if let Some(held) = self.held.remove(&id) {
                self.ids.remove(&held.name);
            }
        }
    }

    fn write(&mut self, action: Action, reply: &mut String) {
        let name = |id: MsgId| self.held.get(&id).map(|h| h.name.as_str());
        let place = |id: EndpointId| self.endpoint_names[id as usize].as_str();
        // Writing to a String cannot fail; a message without a name is over, and nothing is owed for it.
        let _ = match action {
            Action::Send { id, endpoint, timeout: limit, .. } => {
                let Some(n) = name(id) else { return };
                let _ = writeln!(reply, "DELIVER\tRef={n}\tEndpoint={}\tLimitNs={limit}", place(endpoint));
                if let Some(held) = self.held.get_mut(&id) {
                    held.out += 1;
                }
                Ok(())
            }
            Action::Refuse { id, backoff } => {
                let Some(n) = name(id) else { return };
                let done = writeln!(reply, "PUSH_BACK\tRef={n}\tBackoffNs={backoff}");
                self.end(id);
                done
            }
            Action::Fail { id } => {
                let Some(n) = name(id) else { return };
                let done = writeln!(reply, "LOSE\tRef={n}");
                self.end(id);
                done
            }
            Action::Cancel { id, attempt } => {
                let Some(n) = name(id) else { return };
                writeln!(reply, "RETRACT\tRef={n}\tShot={attempt}")
            }
            Action::Probe { endpoint } => writeln!(reply, "HEALTH_CHECK\tEndpoint={}", place(endpoint)),
            Action::CloseIdle { endpoint } => writeln!(reply, "DROP_CONNS\tEndpoint={}", place(endpoint)),
            Action::Timer { at } => writeln!(reply, "TIMER\tMomentNs={at}\tKeyBack=0"),
        };
    }
}

fn read_entry(f: &Fields) -> Result<WireEntry, String> {
    let condition = match f.text("Condition")? {
        "ready" => Condition::Ready,
        "draining" => Condition::Draining,
        "gone" => Condition::Gone,
        other => return Err(format!("ENTRY field Condition is malformed: {}", shorten(other))),
    };
    let entry = Entry {
        endpoint: 0,
        dest: f.parse_or("BelongsTo", 0)?,
        kind: f.parse_or("Shape", 0)?,
        zone: f.parse_or("FailureDomain", 0)?,
        condition,
        rate_hint: f.parse_or("PowerHint", 0.0)?,
    };
    Ok(WireEntry { name: f.text("Endpoint")?.to_string(), entry })
}

fn read_outcome(f: &Fields) -> Result<Outcome, String> {
    Ok(match f.text("Reason")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::CalledOff,
        "not_sent" => Outcome::NotSent,
        other => return Err(format!("{} field Reason is malformed: {}", f.verb, shorten(other))),
    })
}
