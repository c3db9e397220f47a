//! A day's history as series over time, and as the life of each message. Pure: events in, figures out.
use nickelshed_judge::{CallEnd, Event, EventKind, Us};
use std::collections::{BTreeMap, HashMap};

/// How an attempt ended, as coarsely as a plot tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    TurnedAway,
    Failed,
    /// Reset, given up or never answered.
    Nothing,
}

impl Answer {
    pub const ALL: [Answer; 4] = [Answer::Served, Answer::TurnedAway, Answer::Failed, Answer::Nothing];

    fn of(how: &CallEnd) -> Answer {
        match how {
            CallEnd::Answered { status: 200, .. } => Answer::Served,
            CallEnd::Answered { status: 429 | 503, .. } => Answer::TurnedAway,
            CallEnd::Answered { .. } | CallEnd::Spoilt => Answer::Failed,
            CallEnd::Closed => Answer::Nothing,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Answer::Served => "served",
            Answer::TurnedAway => "turned away",
            Answer::Failed => "failed or spoilt",
            Answer::Nothing => "no answer",
        }
    }
}

/// A stretch of the day with a name: an outage, a stop, an endpoint that takes nothing new.
#[derive(Clone, Debug, PartialEq)]
pub struct Stretch {
    pub what: String,
    pub from: Us,
    /// None where it goes on to the end.
    pub to: Option<Us>,
}

/// One step in a message's life.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Us,
    /// When it ended, for an attempt that was seen to.
    pub to: Option<Us>,
    pub words: String,
}

/// A message over all its tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Life {
    pub message: u64,
    pub dest: u64,
    pub class: usize,
    pub steps: Vec<Step>,
    /// From the first time that it was handed in, if it was delivered.
    pub took: Option<Us>,
}

/// What is plotted, in buckets of equal length from the start of the day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    pub bucket: Us,
    /// Messages handed in, tries again included.
    pub handed_in: Vec<u32>,
    /// Messages delivered in each bucket, the first time.
    pub delivered: Vec<u32>,
    /// By `Answer::ALL`.
    pub answers: [Vec<u32>; 4],
    /// By sender, the most in the bucket: calls out, and messages taken on that are neither out nor over.
    pub out: Vec<Vec<u32>>,
    pub held: Vec<Vec<u32>>,
    pub stretches: Vec<Stretch>,
    pub lives: Vec<Life>,
}

struct Call {
    sender: usize,
    ids: Vec<String>,
    /// The place of its step in each message's life.
    steps: Vec<(u64, usize)>,
}

/// Where a hand-in stands.
#[derive(Default)]
struct Try {
    message: u64,
    sender: usize,
    taken_on: bool,
    out: bool,
    over: bool,
}

struct Reader {
    series: Series,
    lives: BTreeMap<u64, Life>,
    first: HashMap<u64, Us>,
    tries: HashMap<String, Try>,
    calls: HashMap<u64, Call>,
    out: Vec<u32>,
    held: Vec<u32>,
    open: BTreeMap<String, usize>,
}

/// The series of a history whose events are in the order of their times.
pub fn series(events: &[Event], bucket: Us) -> Series {
    let bucket = bucket.max(1);
    let length = events.last().map_or(0, |e| e.at / bucket) as usize + 1;
    let sender = |e: &Event| match &e.kind {
        EventKind::HandedIn { sender, .. } | EventKind::Call { sender, .. } => sender + 1,
        _ => 0,
    };
    let senders = events.iter().map(sender).max().unwrap_or(0);
    let mut reader = Reader {
        series: Series {
            bucket,
            handed_in: vec![0; length],
            delivered: vec![0; length],
            answers: std::array::from_fn(|_| vec![0; length]),
            out: vec![vec![0; length]; senders],
            held: vec![vec![0; length]; senders],
            ..Series::default()
        },
        lives: BTreeMap::new(),
        first: HashMap::new(),
        tries: HashMap::new(),
        calls: HashMap::new(),
        out: vec![0; senders],
        held: vec![0; senders],
        open: BTreeMap::new(),
    };
    let mut filled = 0;
    for event in events {
        let at = ((event.at / bucket) as usize).min(length - 1);
        // What was out or held when a bucket began is so in it, even if nothing happens there.
        for b in filled + 1..=at {
            reader.mark(b);
        }
        filled = filled.max(at);
        reader.take(event, at);
        reader.mark(at);
    }
    reader.series.lives = reader.lives.into_values().collect();
    reader.series
}

impl Reader {
    fn mark(&mut self, bucket: usize) {
        for sender in 0..self.out.len() {
            let (out, held) = (&mut self.series.out[sender][bucket], &mut self.series.held[sender][bucket]);
            *out = (*out).max(self.out[sender]);
            *held = (*held).max(self.held[sender]);
        }
    }

    fn step(&mut self, message: u64, at: Us, words: String) -> usize {
        let life = self.lives.entry(message).or_default();
        life.steps.push(Step { at, to: None, words });
        life.steps.len() - 1
    }

    fn of(&self, id: &str) -> Option<u64> {
        self.tries.get(id).map(|t| t.message)
    }

    /// Books the change of a try between held, out and over.
    fn change(&mut self, id: &str, change: impl FnOnce(&mut Try)) {
        let Some(t) = self.tries.get_mut(id) else { return };
        let held = |t: &Try| u32::from(t.taken_on && !t.out && !t.over);
        let before = held(t);
        change(t);
        let after = held(t);
        let all = &mut self.held[t.sender];
        *all = (*all + after).saturating_sub(before);
    }

    fn begin(&mut self, what: String, from: Us) {
        self.open.entry(what.clone()).or_insert(self.series.stretches.len());
        self.series.stretches.push(Stretch { what, from, to: None });
    }

    fn end(&mut self, what: &str, at: Us) {
        if let Some(number) = self.open.remove(what) {
            self.series.stretches[number].to = Some(at);
        }
    }

    fn take(&mut self, event: &Event, bucket: usize) {
        let at = event.at;
        match &event.kind {
            EventKind::HandedIn { sender, id, message, class, dest, .. } => {
                self.series.handed_in[bucket] += 1;
                self.first.entry(*message).or_insert(at);
                let life = self.lives.entry(*message).or_default();
                (life.message, life.dest, life.class) = (*message, *dest, *class);
                let new = Try { message: *message, sender: *sender, ..Try::default() };
                self.tries.entry(id.clone()).or_insert(new);
                self.step(*message, at, format!("handed in to sender {sender} as {id}"));
            }
            EventKind::Heard { id, status } => {
                self.change(id, |t| t.taken_on |= matches!(status, 200 | 202));
                let words = match status {
                    200 | 202 => "taken on".to_string(),
                    0 => "no answer: the connection ended".to_string(),
                    status => format!("refused with {status}"),
                };
                if let Some(message) = self.of(id) {
                    self.step(message, at, words);
                }
            }
            EventKind::Left { id } => {
                self.change(id, |t| t.over = true);
                if let Some(message) = self.of(id) {
                    self.step(message, at, "its client left".into());
                }
            }
            EventKind::Call { call, sender, endpoint, ids, .. } => {
                self.out[*sender] += 1;
                let mut steps = Vec::new();
                for id in ids {
                    self.change(id, |t| t.out = true);
                    if let Some(message) = self.of(id) {
                        let step = self.step(message, at, format!("sent to endpoint {endpoint}"));
                        steps.push((message, step));
                    }
                }
                self.calls.insert(*call, Call { sender: *sender, ids: ids.clone(), steps });
            }
            EventKind::Over { call, end: how } => self.over(*call, how, at, bucket),
            EventKind::Notice { id, returned: handed_back, .. } => {
                self.change(id, |t| t.over = true);
                if let Some(message) = self.of(id) {
                    let words = if *handed_back { "handed back" } else { "given up" };
                    self.step(message, at, words.into());
                }
            }
            EventKind::Ran { id, .. } => {
                if let Some(message) = self.of(id) {
                    self.step(message, at, "took effect".into());
                }
            }
            EventKind::OutageBegan { dest, route } => self.begin(outage(*dest, *route), at),
            EventKind::OutageEnded { dest, route, .. } => self.end(&outage(*dest, *route), at),
            EventKind::FellOver { dest, route } => {
                self.begin(format!("{} fell over", outage(*dest, *route)), at)
            }
            EventKind::Told { sender, endpoint, accepts_calls: open } => {
                let what = format!("endpoint {endpoint} closed, sender {sender}");
                if *open {
                    self.end(&what, at);
                } else if !self.open.contains_key(&what) {
                    self.begin(what, at);
                }
            }
            EventKind::Going { sender } => {
                let what = format!("sender {sender} restarts");
                if !self.open.contains_key(&what) {
                    self.begin(what, at);
                }
            }
            EventKind::Up { sender } => self.end(&format!("sender {sender} restarts"), at),
            EventKind::Stopped { sender, duration: time } => {
                let what = format!("sender {sender} stands still");
                self.series.stretches.push(Stretch { what, from: at, to: Some(at + time) });
            }
            EventKind::Unreached { .. } | EventKind::Ended { .. } => {}
        }
    }

    fn over(&mut self, call: u64, how: &CallEnd, at: Us, bucket: usize) {
        // One that had ended before its last byte came is not out.
        let Some(call) = self.calls.remove(&call) else { return };
        self.out[call.sender] = self.out[call.sender].saturating_sub(1);
        let answer = Answer::of(how);
        self.series.answers[answer as usize][bucket] += 1;
        for id in &call.ids {
            let served = answer == Answer::Served;
            self.change(id, |t| (t.out, t.over) = (false, t.over || served));
        }
        for (message, step) in call.steps {
            let first = self.first.get(&message).copied().unwrap_or(at);
            let Some(life) = self.lives.get_mut(&message) else { continue };
            life.steps[step].to = Some(at);
            let words = match how {
                CallEnd::Answered { status, retry_after: 0 } => format!(": {status}"),
                CallEnd::Answered { status, retry_after: wait } => {
                    format!(": {status}, told to wait {} ms", wait / 1_000)
                }
                CallEnd::Spoilt => ": spoilt".to_string(),
                CallEnd::Closed => ": no answer".to_string(),
            };
            life.steps[step].words.push_str(&words);
            if answer == Answer::Served && life.took.is_none() {
                life.took = Some(at - first);
                self.series.delivered[bucket] += 1;
            }
        }
    }
}

fn outage(dest: u64, route: Option<usize>) -> String {
    match route {
        Some(endpoint) => format!("destination {dest}, endpoint {endpoint}"),
        None => format!("destination {dest}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickelshed_judge::Effect;

    fn day(events: Vec<(Us, EventKind)>) -> Series {
        let events: Vec<Event> =
            events.into_iter().map(|(ms, what)| Event { at: ms * 1_000, kind: what }).collect();
        series(&events, 100_000)
    }

    fn handed(id: &str, message: u64) -> EventKind {
        let (class, effect) = (0, Effect::Keyed);
        EventKind::HandedIn { sender: 0, id: id.into(), message, class, effect, dest: 7, lifetime: 1_000_000 }
    }

    fn call(call: u64, id: &str) -> EventKind {
        let ids = vec![id.to_string()];
        EventKind::Call {
            call,
            sender: 0,
            endpoint: 3,
            dest: 7,
            route: None,
            site: 0,
            ids,
            work: 1.0,
            first_byte: 0,
        }
    }

    #[test]
    fn a_message_is_held_while_it_is_taken_on_and_neither_out_nor_over() {
        let heard = |status| EventKind::Heard { id: "a".into(), status };
        let answered =
            |call, status| EventKind::Over { call, end: CallEnd::Answered { status, retry_after: 0 } };
        let series = day(vec![
            (10, handed("a", 1)),
            (20, heard(202)),
            (150, call(1, "a")),
            (250, answered(1, 503)),
            (450, call(2, "a")),
            (550, answered(2, 200)),
            (790, handed("b", 2)),
        ]);
        assert_eq!(series.held[0], [1, 1, 1, 1, 1, 0, 0, 0]);
        assert_eq!(series.out[0], [0, 1, 1, 0, 1, 1, 0, 0]);
        assert_eq!(series.handed_in, [1, 0, 0, 0, 0, 0, 0, 1]);
        assert_eq!(series.delivered, [0, 0, 0, 0, 0, 1, 0, 0]);
        assert_eq!(series.answers[Answer::TurnedAway as usize], [0, 0, 1, 0, 0, 0, 0, 0]);
        let life = &series.lives[0];
        assert_eq!((life.message, life.dest, life.took), (1, 7, Some(540_000)));
        let words: Vec<&str> = life.steps.iter().map(|s| s.words.as_str()).collect();
        let expected =
            ["handed in to sender 0 as a", "taken on", "sent to endpoint 3: 503", "sent to endpoint 3: 200"];
        assert_eq!(words, expected);
        assert_eq!((life.steps[2].at, life.steps[2].to), (150_000, Some(250_000)));
    }

    #[test]
    fn an_outage_is_a_stretch_from_its_beginning_to_its_end_or_that_of_the_day() {
        let series = day(vec![
            (100, EventKind::OutageBegan { dest: 7, route: None }),
            (200, EventKind::OutageBegan { dest: 8, route: Some(4) }),
            (300, EventKind::OutageEnded { dest: 7, route: None, capacity: 1.0 }),
            (400, EventKind::Stopped { sender: 0, duration: 50_000 }),
        ]);
        let seen: Vec<_> = series.stretches.iter().map(|s| (s.what.as_str(), s.from, s.to)).collect();
        assert_eq!(
            seen,
            [
                ("destination 7", 100_000, Some(300_000)),
                ("destination 8, endpoint 4", 200_000, None),
                ("sender 0 stands still", 400_000, Some(450_000)),
            ]
        );
    }
}
