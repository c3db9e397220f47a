//! The record of what clients, endpoints and the platform observe.
use nickelshed_judge::{Effect, Event, EventKind, Us};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A process has read an answer by then, also after the longest pause.
pub const READ_TIME: Duration = Duration::from_millis(250);

fn is_end(kind: &EventKind) -> bool {
    matches!(kind, EventKind::Going { .. } | EventKind::Ended { .. })
}

/// A shared record of events. Clones refer to the same one.
#[derive(Clone)]
pub struct History {
    started_at: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl History {
    pub fn new() -> History {
        History { started_at: Instant::now(), events: Arc::default() }
    }

    pub fn to_us(&self, at: Instant) -> Us {
        at.saturating_duration_since(self.started_at).as_micros() as Us
    }

    /// Records an event that happens now.
    pub fn record(&self, kind: EventKind) {
        self.record_at(Instant::now(), kind);
    }

    pub fn record_at(&self, at: Instant, kind: EventKind) {
        let at = self.to_us(at);
        self.events.lock().unwrap().push(Event { at, kind });
    }

    /// Whether the message with this id is of a keyed class.
    pub fn is_keyed(&self, id: &str) -> bool {
        let is_submission = |event: &Event| match &event.kind {
            EventKind::HandedIn { id: submitted, effect, .. } if submitted == id => {
                Some(*effect == Effect::Keyed)
            }
            _ => None,
        };
        self.events.lock().unwrap().iter().find_map(is_submission).unwrap_or(false)
    }

    /// Records that the sender's process will have read the answer to a call, if it lives so long.
    pub fn expect_answer_read(&self, call: u64) {
        self.record_at(Instant::now() + READ_TIME, EventKind::AnswerRead { call });
    }

    /// All events so far, in the order of their times, without answers that a process may not have read.
    pub fn sorted_events(&self) -> Vec<Event> {
        let mut events = self.events.lock().unwrap().clone();
        events.sort_by_key(|event| event.at);
        let ends: Vec<Us> = events.iter().filter(|event| is_end(&event.kind)).map(|event| event.at).collect();
        let read_time = READ_TIME.as_micros() as Us;
        let may_be_unread = |event: &Event| {
            matches!(event.kind, EventKind::AnswerRead { .. })
                && ends.iter().any(|end| (event.at.saturating_sub(read_time)..=event.at).contains(end))
        };
        events.retain(|event| !may_be_unread(event));
        events
    }
}

/// All events of the message that a description begins with, one line each.
pub fn story(events: &[Event], description: &str) -> Vec<String> {
    let Some(id) = description.split(' ').find(|word| word.starts_with('m') && word.contains('-')) else {
        return vec![format!("{description}: no message is named")];
    };
    let calls: Vec<u64> = events.iter().filter_map(|event| call_with(&event.kind, id)).collect();
    let concerns = |kind: &EventKind| match kind {
        EventKind::Over { call, .. } | EventKind::AnswerRead { call } => calls.contains(call),
        EventKind::Going { .. }
        | EventKind::Ended { .. }
        | EventKind::Up { .. }
        | EventKind::Stopped { .. } => true,
        other => format!("{other:?}").contains(&format!("\"{id}\"")),
    };
    let lines = events.iter().filter(|event| concerns(&event.kind));
    let lines = lines.map(|event| format!("  {:>9.3} ms  {:?}", event.at as f64 / 1e3, event.kind));
    [format!("{id}:")].into_iter().chain(lines).collect()
}

fn call_with(kind: &EventKind, id: &str) -> Option<u64> {
    match kind {
        EventKind::Call { call, ids, .. } if ids.iter().any(|other| other == id) => Some(*call),
        _ => None,
    }
}
