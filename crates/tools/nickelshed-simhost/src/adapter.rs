//! Translates lines of the simulator protocol to policy events for each sender, and the actions of the policy
//! to lines.
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use nickelshed_settings::{self as settings, DeploymentContext};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;

/// An entry of a table on the wire.
#[derive(Clone)]
struct WireEntry {
    /// The name of the endpoint on the wire.
    name: String,
    /// Its `endpoint` is 0: each sender numbers the endpoints itself.
    entry: Entry,
}

struct OpenMessage {
    /// The name of the message on the wire (`Ref`).
    reference: String,
    /// Attempts in flight.
    in_flight: u32,
    /// The message has ended by an action, a withdrawal or an attempt. This entry is kept until no attempt is
    /// in flight.
    finished: bool,
}

struct SenderInstance {
    sender: Sender,
    deployment: DeploymentContext,
    events: Vec<Event>,
    endpoint_ids: HashMap<String, EndpointId>,
    /// Names on the wire, by endpoint id.
    endpoint_names: Vec<String>,
    ids_by_reference: HashMap<String, MsgId>,
    open_messages: HashMap<MsgId, OpenMessage>,
    next_id: MsgId,
    /// Whether the current batch has events for this sender, or has launched it.
    has_events: bool,
}

/// The senders of one simulation, by their numbers on the wire, and the state of the current batch of lines.
#[derive(Default)]
pub struct Adapter {
    /// Time of the current batch; `None` between batches.
    now: Option<Ns>,
    current_sender: Option<u64>,
    instances: BTreeMap<u64, SenderInstance>,
    /// Complete tables by slot.
    tables: HashMap<u64, Rc<Vec<WireEntry>>>,
    /// A table whose entries are not all read: its slot, the number of missing entries, and the entries read
    /// so far.
    pending_table: Option<(u64, u64, Vec<WireEntry>)>,
    actions: Vec<Action>,
}

/// The verb of a line and its tab-separated `name=value` fields.
struct Fields<'a> {
    verb: &'a str,
    text: &'a str,
}

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        let mut unread = self.text;
        while !unread.is_empty() {
            let (field, remaining) = unread.split_once('\t').unwrap_or((unread, ""));
            if let Some((key, value)) = field.split_once('=') {
                if key == name {
                    return Some(value);
                }
            }
            unread = remaining;
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

impl Adapter {
    /// Handles one line. Returns true if it ends a batch; `reply` then holds the answer.
    ///
    /// # Errors
    /// If the line is malformed or not valid at this point of the batch.
    pub fn handle_line(&mut self, line: &str, reply: &mut String) -> Result<bool, String> {
        if line.is_empty() {
            return Ok(false);
        }
        let (verb, text) = line.split_once('\t').unwrap_or((line, ""));
        let fields = Fields { verb, text };
        if let Some((slot, missing, mut entries)) = self.pending_table.take() {
            if verb != "ENTRY" {
                return Err(format!("{}: {missing} ENTRY lines of the TABLE are missing", shorten(verb)));
            }
            entries.push(read_entry(&fields)?);
            if missing > 1 {
                self.pending_table = Some((slot, missing - 1, entries));
            } else {
                self.tables.insert(slot, Rc::new(entries));
            }
            return Ok(false);
        }
        if verb == "MARK" {
            self.now = Some(fields.parse::<Ns>("WallNs")?);
            self.current_sender = None;
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(format!("{} outside a batch: no MARK line before it", shorten(verb)));
        };
        match verb {
            "FLUSH" => {
                self.write_actions(now, reply);
                self.now = None;
                return Ok(true);
            }
            "INSTANCE" => self.current_sender = Some(fields.parse("Sender")?),
            "TABLE" => {
                let (slot, lines) = (fields.parse::<u64>("Slot")?, fields.parse::<u64>("Lines")?);
                if lines == 0 {
                    self.tables.insert(slot, Rc::default());
                } else {
                    self.pending_table = Some((slot, lines, Vec::new()));
                }
            }
            "LAUNCH" => {
                let sender_number = self.current_sender.ok_or("LAUNCH without an INSTANCE line")?;
                let seed = fields.parse::<u64>("Prng")?;
                // The value of `Conf` extends to the end of the line.
                let configuration =
                    text.find("Conf=").map(|at| &text[at + 5..]).ok_or("LAUNCH field Conf is missing")?;
                let configuration = serde_json::from_str(configuration)
                    .map_err(|e| format!("LAUNCH field Conf: not JSON: {e}"))?;
                let (settings, deployment) =
                    settings::read(&configuration).map_err(|e| format!("LAUNCH field Conf: {e}"))?;
                let sender = Sender::new(settings, seed);
                self.instances.insert(sender_number, SenderInstance::new(sender, deployment));
            }
            "CRASH_NOW" => {
                let sender_number = self.current_sender.ok_or("CRASH_NOW without an INSTANCE line")?;
                self.instances.remove(&sender_number);
            }
            "ANNOUNCE" | "WORK_ITEM" | "ELAPSED" | "EXPIRED" | "ECHO" | "FROM_PEER" | "ATTEMPT_END"
            | "HEADERS" => {
                let sender_number =
                    self.current_sender.ok_or_else(|| format!("{verb} without an INSTANCE line"))?;
                let instance = self.instances.get_mut(&sender_number);
                let instance = instance
                    .ok_or_else(|| format!("{verb} for Sender {sender_number}, which was not launched"))?;
                instance.read_event(&fields, &self.tables)?;
                instance.has_events = true;
            }
            _ => return Err(format!("unknown message {}", shorten(verb))),
        }
        Ok(false)
    }

    fn write_actions(&mut self, now: Ns, reply: &mut String) {
        for (sender_number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.has_events) {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            self.actions.clear();
            instance.sender.handle(now, &events, &mut self.actions);
            if !self.actions.is_empty() {
                let _ = writeln!(reply, "AT\tSender={sender_number}");
                for action in &self.actions {
                    instance.write(*action, reply);
                }
            }
        }
        reply.push_str("EOR\n");
    }
}

impl SenderInstance {
    fn new(sender: Sender, deployment: DeploymentContext) -> SenderInstance {
        SenderInstance {
            sender,
            deployment,
            events: Vec::new(),
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            ids_by_reference: HashMap::new(),
            open_messages: HashMap::new(),
            next_id: 0,
            has_events: true,
        }
    }

    fn read_event(
        &mut self,
        fields: &Fields,
        tables: &HashMap<u64, Rc<Vec<WireEntry>>>,
    ) -> Result<(), String> {
        match fields.verb {
            "ANNOUNCE" => {
                let is_full = match fields.text("Scope")? {
                    "Partial" => false,
                    "Complete" | "Persisted" => true,
                    "Error" => return Ok(()),
                    other => return Err(format!("ANNOUNCE field Scope is malformed: {}", shorten(other))),
                };
                let slot: u64 = fields.parse("Slot")?;
                let table = tables.get(&slot).ok_or(format!("ANNOUNCE field Slot names no TABLE: {slot}"))?;
                let entries =
                    table.iter().map(|e| Entry { endpoint: self.endpoint(&e.name), ..e.entry }).collect();
                self.events.push(Event::List { full: is_full, entries });
            }
            "WORK_ITEM" => {
                let reference = fields.text("Ref")?;
                let message = Message {
                    id: self.next_id,
                    class: fields.parse("Cls")?,
                    dest: fields.parse("ToExchange")?,
                    time_left: fields.parse("TimeLeftNs")?,
                    expected_work: fields.parse_or("CostNs", 0)?,
                    key: if fields.find("PartitionKey").is_some() {
                        Some(fields.parse("PartitionKey")?)
                    } else {
                        None
                    },
                    tenant: fields.parse_or("UserGroup", 0)?,
                };
                self.next_id += 1;
                self.ids_by_reference.insert(reference.to_string(), message.id);
                self.open_messages.insert(
                    message.id,
                    OpenMessage { reference: reference.to_string(), in_flight: 0, finished: false },
                );
                self.events.push(Event::Message(message));
            }
            "ELAPSED" => self.events.push(Event::Timer),
            "EXPIRED" => {
                if let Some(&id) = self.ids_by_reference.get(fields.text("Ref")?) {
                    self.events.push(Event::Withdrawn { id });
                    self.mark_finished(id);
                }
            }
            "ECHO" => {
                let endpoint = self.endpoint(fields.text("Endpoint")?);
                let (outcome, report) = (read_outcome(fields)?, self.report(fields)?);
                self.events.push(Event::Probed { endpoint, outcome, report });
            }
            "ATTEMPT_END" => {
                let Some(&id) = self.ids_by_reference.get(fields.text("Ref")?) else {
                    return Ok(());
                };
                let retry_after_ms: Ns = fields.parse_or("WaitMs", 0)?;
                let outcome = read_outcome(fields)?;
                let end = AttemptEnd {
                    id,
                    attempt: fields.parse("Shot")?,
                    endpoint: self.endpoint(fields.text("Endpoint")?),
                    outcome,
                    took: fields.parse("WaitTimeNs")?,
                    finished: fields.parse_or::<u8>("DoneFlag", 0)? != 0,
                    retry_after: if outcome == Outcome::TurnedAway {
                        retry_after_ms.saturating_mul(MS)
                    } else {
                        0
                    },
                    report: self.report(fields)?,
                    reused_connection: false,
                };
                self.events.push(Event::AttemptEnd(end));
                if let Some(message) = self.open_messages.get_mut(&id) {
                    message.in_flight = message.in_flight.saturating_sub(1);
                    message.finished |= end.finished;
                }
                self.remove_if_done(id);
            }
            // The policy uses no messages of other senders (`FROM_PEER`), and no class uses streaming
            // (`HEADERS`).
            _ => {}
        }
        Ok(())
    }

    fn endpoint(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return id;
        }
        let id = self.endpoint_names.len() as EndpointId;
        self.endpoint_ids.insert(name.to_string(), id);
        self.endpoint_names.push(name.to_string());
        id
    }

    fn report(&self, fields: &Fields) -> Result<Option<Report>, String> {
        let Some(text) = fields.find("Metrics") else {
            return Ok(None);
        };
        let mut values = Vec::new();
        for item in text.split(',').filter(|p| !p.is_empty()) {
            let value = item.trim().parse::<f64>();
            values.push(
                value
                    .map_err(|_| format!("{} field Metrics is malformed: {}", fields.verb, shorten(text)))?,
            );
        }
        let value_at = |column: Option<usize>| column.and_then(|index| values.get(index)).copied();
        Ok(match (value_at(self.deployment.x0_column), value_at(self.deployment.x1_column)) {
            (None, None) => None,
            (remaining, limit) => {
                Some(Report { remaining: remaining.unwrap_or(0.0), limit: limit.unwrap_or(0.0) })
            }
        })
    }

    fn mark_finished(&mut self, id: MsgId) {
        if let Some(message) = self.open_messages.get_mut(&id) {
            message.finished = true;
        }
        self.remove_if_done(id);
    }

    /// Removes a finished message that has no attempt in flight.
    fn remove_if_done(&mut self, id: MsgId) {
        if self.open_messages.get(&id).is_some_and(|message| message.finished && message.in_flight == 0) {
            if let Some(message) = self.open_messages.remove(&id) {
                self.ids_by_reference.remove(&message.reference);
            }
        }
    }

    fn write(&mut self, action: Action, reply: &mut String) {
        let reference_of = |id: MsgId| self.open_messages.get(&id).map(|message| message.reference.as_str());
        let endpoint_name = |id: EndpointId| self.endpoint_names[id as usize].as_str();
        // Writing to a String cannot fail. A message that is no longer open needs no line.
        let _ = match action {
            Action::Send { id, endpoint, timeout: timeout_ns, .. } => {
                let Some(reference) = reference_of(id) else { return };
                let _ = writeln!(
                    reply,
                    "DELIVER\tRef={reference}\tEndpoint={}\tLimitNs={timeout_ns}",
                    endpoint_name(endpoint)
                );
                if let Some(message) = self.open_messages.get_mut(&id) {
                    message.in_flight += 1;
                }
                Ok(())
            }
            Action::Refuse { id, backoff } => {
                let Some(reference) = reference_of(id) else { return };
                let result = writeln!(reply, "PUSH_BACK\tRef={reference}\tBackoffNs={backoff}");
                self.mark_finished(id);
                result
            }
            Action::Fail { id } => {
                let Some(reference) = reference_of(id) else { return };
                let result = writeln!(reply, "LOSE\tRef={reference}");
                self.mark_finished(id);
                result
            }
            Action::Cancel { id, attempt } => {
                let Some(reference) = reference_of(id) else { return };
                writeln!(reply, "RETRACT\tRef={reference}\tShot={attempt}")
            }
            Action::Probe { endpoint } => {
                writeln!(reply, "HEALTH_CHECK\tEndpoint={}", endpoint_name(endpoint))
            }
            Action::CloseIdle { endpoint } => {
                writeln!(reply, "DROP_CONNS\tEndpoint={}", endpoint_name(endpoint))
            }
            Action::Timer { at } => writeln!(reply, "TIMER\tMomentNs={at}\tKeyBack=0"),
        };
    }
}

fn read_entry(fields: &Fields) -> Result<WireEntry, String> {
    let condition = match fields.text("Condition")? {
        "ready" => Condition::Ready,
        "draining" => Condition::Draining,
        "gone" => Condition::Gone,
        other => return Err(format!("ENTRY field Condition is malformed: {}", shorten(other))),
    };
    let entry = Entry {
        endpoint: 0,
        dest: fields.parse_or("BelongsTo", 0)?,
        kind: fields.parse_or("Shape", 0)?,
        zone: fields.parse_or("FailureDomain", 0)?,
        condition,
        rate_hint: fields.parse_or("PowerHint", 0.0)?,
    };
    Ok(WireEntry { name: fields.text("Endpoint")?.to_string(), entry })
}

fn read_outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.text("Reason")? {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::NoAnswer,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::CalledOff,
        "not_sent" => Outcome::NotSent,
        other => return Err(format!("{} field Reason is malformed: {}", fields.verb, shorten(other))),
    })
}
