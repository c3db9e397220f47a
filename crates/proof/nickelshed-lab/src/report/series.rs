//! Turns the events of a run into time series for the plots and into the history of each message. Does no
//! I/O.
use nickelshed_judge::{CallEnd, Event, EventKind, Us};
use std::collections::{BTreeMap, HashMap};

/// How a call ended, in the categories that the plots distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Served,
    Rejected,
    Failed,
    /// The connection was reset, the sender cancelled the call, or the endpoint never answered.
    NoAnswer,
}

impl CallOutcome {
    pub const ALL: [CallOutcome; 4] =
        [CallOutcome::Served, CallOutcome::Rejected, CallOutcome::Failed, CallOutcome::NoAnswer];

    fn from_result(call_end: &CallEnd) -> CallOutcome {
        match call_end {
            CallEnd::Answered { status: 200, .. } => CallOutcome::Served,
            CallEnd::Answered { status: 429 | 503, .. } => CallOutcome::Rejected,
            CallEnd::Answered { .. } | CallEnd::Spoilt => CallOutcome::Failed,
            CallEnd::Closed => CallOutcome::NoAnswer,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::Served => "served",
            CallOutcome::Rejected => "rejected",
            CallOutcome::Failed => "failed or corrupted",
            CallOutcome::NoAnswer => "no answer",
        }
    }
}

/// A labelled period of the run: an outage, a stalled or restarting sender, or an endpoint that accepts no
/// new calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Interval {
    pub label: String,
    pub from: Us,
    /// None if the period lasts until the end of the run.
    pub to: Option<Us>,
}

/// One event in the history of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryStep {
    pub at: Us,
    /// When the attempt ended; None for other steps, and for an attempt whose end was not recorded.
    pub until: Option<Us>,
    pub description: String,
}

/// The history of a message over all its submissions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageHistory {
    pub message: u64,
    pub dest: u64,
    pub class: usize,
    pub steps: Vec<HistoryStep>,
    /// Time from the first submission to the delivery; None if the message was not delivered.
    pub latency: Option<Us>,
}

/// The plotted values, in buckets of equal length from the start of the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeSeries {
    /// Length of a bucket.
    pub bucket: Us,
    /// Submissions in each bucket, retries by clients included.
    pub submitted: Vec<u32>,
    /// Messages first delivered in each bucket.
    pub delivered: Vec<u32>,
    /// Calls that ended in each bucket, indexed by `CallOutcome`.
    pub outcomes: [Vec<u32>; 4],
    /// For each sender, the highest number of calls in flight in each bucket.
    pub calls_in_flight: Vec<Vec<u32>>,
    /// For each sender, the highest number of queued messages in each bucket: accepted, not in flight and not
    /// finished.
    pub queued: Vec<Vec<u32>>,
    pub intervals: Vec<Interval>,
    pub histories: Vec<MessageHistory>,
}

struct CallInFlight {
    sender: usize,
    ids: Vec<String>,
    /// Each message with the index of this call's step in its history.
    steps: Vec<(u64, usize)>,
}

/// The current state of a submission.
#[derive(Default)]
struct Submission {
    message: u64,
    sender: usize,
    accepted: bool,
    in_flight: bool,
    finished: bool,
}

struct SeriesBuilder {
    series: TimeSeries,
    histories: BTreeMap<u64, MessageHistory>,
    first_submitted: HashMap<u64, Us>,
    submissions: HashMap<String, Submission>,
    calls: HashMap<u64, CallInFlight>,
    calls_in_flight: Vec<u32>,
    queued: Vec<u32>,
    open_intervals: BTreeMap<String, usize>,
}

/// Builds the time series of a run. `events` are ordered by time, `bucket` is the length of a bucket.
pub fn time_series(events: &[Event], bucket: Us) -> TimeSeries {
    let bucket = bucket.max(1);
    let buckets = events.last().map_or(0, |e| e.at / bucket) as usize + 1;
    let sender_count = |e: &Event| match &e.kind {
        EventKind::HandedIn { sender, .. } | EventKind::Call { sender, .. } => sender + 1,
        _ => 0,
    };
    let senders = events.iter().map(sender_count).max().unwrap_or(0);
    let mut builder = SeriesBuilder {
        series: TimeSeries {
            bucket,
            submitted: vec![0; buckets],
            delivered: vec![0; buckets],
            outcomes: std::array::from_fn(|_| vec![0; buckets]),
            calls_in_flight: vec![vec![0; buckets]; senders],
            queued: vec![vec![0; buckets]; senders],
            ..TimeSeries::default()
        },
        histories: BTreeMap::new(),
        first_submitted: HashMap::new(),
        submissions: HashMap::new(),
        calls: HashMap::new(),
        calls_in_flight: vec![0; senders],
        queued: vec![0; senders],
        open_intervals: BTreeMap::new(),
    };
    let mut last_filled = 0;
    for event in events {
        let current = ((event.at / bucket) as usize).min(buckets - 1);
        // The buckets since the last event have none of their own: the current counts apply to them.
        for skipped in last_filled + 1..=current {
            builder.record_peaks(skipped);
        }
        last_filled = last_filled.max(current);
        builder.apply(event, current);
        builder.record_peaks(current);
    }
    builder.series.histories = builder.histories.into_values().collect();
    builder.series
}

impl SeriesBuilder {
    fn record_peaks(&mut self, bucket: usize) {
        for sender in 0..self.calls_in_flight.len() {
            let (calls, queued) =
                (&mut self.series.calls_in_flight[sender][bucket], &mut self.series.queued[sender][bucket]);
            *calls = (*calls).max(self.calls_in_flight[sender]);
            *queued = (*queued).max(self.queued[sender]);
        }
    }

    fn add_step(&mut self, message: u64, at: Us, description: String) -> usize {
        let history = self.histories.entry(message).or_default();
        history.steps.push(HistoryStep { at, until: None, description });
        history.steps.len() - 1
    }

    fn message_of(&self, id: &str) -> Option<u64> {
        self.submissions.get(id).map(|s| s.message)
    }

    /// Applies a change to a submission and updates the number of queued messages of its sender.
    fn update_submission(&mut self, id: &str, change: impl FnOnce(&mut Submission)) {
        let Some(submission) = self.submissions.get_mut(id) else { return };
        let is_queued = |s: &Submission| u32::from(s.accepted && !s.in_flight && !s.finished);
        let before = is_queued(submission);
        change(submission);
        let after = is_queued(submission);
        let queued = &mut self.queued[submission.sender];
        *queued = (*queued + after).saturating_sub(before);
    }

    fn begin_interval(&mut self, label: String, from: Us) {
        self.open_intervals.entry(label.clone()).or_insert(self.series.intervals.len());
        self.series.intervals.push(Interval { label, from, to: None });
    }

    fn end_interval(&mut self, label: &str, at: Us) {
        if let Some(number) = self.open_intervals.remove(label) {
            self.series.intervals[number].to = Some(at);
        }
    }

    fn apply(&mut self, event: &Event, bucket: usize) {
        let at = event.at;
        match &event.kind {
            EventKind::HandedIn { sender, id, message, class, dest, .. } => {
                self.series.submitted[bucket] += 1;
                self.first_submitted.entry(*message).or_insert(at);
                let history = self.histories.entry(*message).or_default();
                (history.message, history.dest, history.class) = (*message, *dest, *class);
                let submission = Submission { message: *message, sender: *sender, ..Submission::default() };
                self.submissions.entry(id.clone()).or_insert(submission);
                self.add_step(*message, at, format!("submitted to sender {sender} as {id}"));
            }
            EventKind::Heard { id, status } => {
                self.update_submission(id, |s| s.accepted |= matches!(status, 200 | 202));
                let description = match status {
                    200 | 202 => "accepted".to_string(),
                    0 => "no answer: the connection was closed".to_string(),
                    status => format!("rejected with {status}"),
                };
                if let Some(message) = self.message_of(id) {
                    self.add_step(message, at, description);
                }
            }
            EventKind::Left { id } => {
                self.update_submission(id, |s| s.finished = true);
                if let Some(message) = self.message_of(id) {
                    self.add_step(message, at, "the client closed its connection".into());
                }
            }
            EventKind::Call { call, sender, endpoint, ids, .. } => {
                self.calls_in_flight[*sender] += 1;
                let mut steps = Vec::new();
                for id in ids {
                    self.update_submission(id, |s| s.in_flight = true);
                    if let Some(message) = self.message_of(id) {
                        let step = self.add_step(message, at, format!("sent to endpoint {endpoint}"));
                        steps.push((message, step));
                    }
                }
                self.calls.insert(*call, CallInFlight { sender: *sender, ids: ids.clone(), steps });
            }
            EventKind::Over { call, end: call_end } => self.end_call(*call, call_end, at, bucket),
            EventKind::Notice { id, returned: is_returned, .. } => {
                self.update_submission(id, |s| s.finished = true);
                if let Some(message) = self.message_of(id) {
                    let description = if *is_returned { "returned" } else { "failed" };
                    self.add_step(message, at, description.into());
                }
            }
            EventKind::Ran { id, .. } => {
                if let Some(message) = self.message_of(id) {
                    self.add_step(message, at, "took effect".into());
                }
            }
            EventKind::OutageBegan { dest, route } => self.begin_interval(outage_label(*dest, *route), at),
            EventKind::OutageEnded { dest, route, .. } => self.end_interval(&outage_label(*dest, *route), at),
            EventKind::FellOver { dest, route } => {
                self.begin_interval(format!("{} collapsed under overload", outage_label(*dest, *route)), at)
            }
            EventKind::Told { sender, endpoint, accepts_calls: accepts_new_calls } => {
                let label = format!("endpoint {endpoint} not ready, sender {sender}");
                if *accepts_new_calls {
                    self.end_interval(&label, at);
                } else if !self.open_intervals.contains_key(&label) {
                    self.begin_interval(label, at);
                }
            }
            EventKind::Going { sender } => {
                let label = format!("sender {sender} restarts");
                if !self.open_intervals.contains_key(&label) {
                    self.begin_interval(label, at);
                }
            }
            EventKind::Up { sender } => self.end_interval(&format!("sender {sender} restarts"), at),
            EventKind::Stopped { sender, duration: stall } => {
                let label = format!("sender {sender} stalled");
                self.series.intervals.push(Interval { label, from: at, to: Some(at + stall) });
            }
            EventKind::Unreached { .. } | EventKind::Ended { .. } | EventKind::AnswerRead { .. } => {}
        }
    }

    fn end_call(&mut self, call: u64, call_end: &CallEnd, at: Us, bucket: usize) {
        // A call that its sender closed before the endpoint received the last byte ends before its `Call`
        // event.
        let Some(call) = self.calls.remove(&call) else { return };
        self.calls_in_flight[call.sender] = self.calls_in_flight[call.sender].saturating_sub(1);
        let outcome = CallOutcome::from_result(call_end);
        self.series.outcomes[outcome as usize][bucket] += 1;
        for id in &call.ids {
            let served = outcome == CallOutcome::Served;
            self.update_submission(id, |s| (s.in_flight, s.finished) = (false, s.finished || served));
        }
        for (message, step) in call.steps {
            let first_submitted = self.first_submitted.get(&message).copied().unwrap_or(at);
            let Some(history) = self.histories.get_mut(&message) else { continue };
            history.steps[step].until = Some(at);
            let description = match call_end {
                CallEnd::Answered { status, retry_after: 0 } => format!(": {status}"),
                CallEnd::Answered { status, retry_after: requested_wait } => {
                    format!(": {status}, retry after {} ms", requested_wait / 1_000)
                }
                CallEnd::Spoilt => ": corrupted".to_string(),
                CallEnd::Closed => ": no answer".to_string(),
            };
            history.steps[step].description.push_str(&description);
            if outcome == CallOutcome::Served && history.latency.is_none() {
                history.latency = Some(at - first_submitted);
                self.series.delivered[bucket] += 1;
            }
        }
    }
}

fn outage_label(dest: u64, route: Option<usize>) -> String {
    match route {
        Some(endpoint) => format!("destination {dest}, endpoint {endpoint}"),
        None => format!("destination {dest}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickelshed_judge::Effect;

    fn series_of(events: Vec<(Us, EventKind)>) -> TimeSeries {
        let events: Vec<Event> =
            events.into_iter().map(|(ms, event_kind)| Event { at: ms * 1_000, kind: event_kind }).collect();
        time_series(&events, 100_000)
    }

    fn submit(id: &str, message: u64) -> EventKind {
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
    fn a_message_is_queued_while_accepted_and_neither_in_flight_nor_finished() {
        let client_read = |status| EventKind::Heard { id: "a".into(), status };
        let answered =
            |call, status| EventKind::Over { call, end: CallEnd::Answered { status, retry_after: 0 } };
        let series = series_of(vec![
            (10, submit("a", 1)),
            (20, client_read(202)),
            (150, call(1, "a")),
            (250, answered(1, 503)),
            (450, call(2, "a")),
            (550, answered(2, 200)),
            (790, submit("b", 2)),
        ]);
        assert_eq!(series.queued[0], [1, 1, 1, 1, 1, 0, 0, 0]);
        assert_eq!(series.calls_in_flight[0], [0, 1, 1, 0, 1, 1, 0, 0]);
        assert_eq!(series.submitted, [1, 0, 0, 0, 0, 0, 0, 1]);
        assert_eq!(series.delivered, [0, 0, 0, 0, 0, 1, 0, 0]);
        assert_eq!(series.outcomes[CallOutcome::Rejected as usize], [0, 0, 1, 0, 0, 0, 0, 0]);
        let history = &series.histories[0];
        assert_eq!((history.message, history.dest, history.latency), (1, 7, Some(540_000)));
        let descriptions: Vec<&str> = history.steps.iter().map(|s| s.description.as_str()).collect();
        let expected =
            ["submitted to sender 0 as a", "accepted", "sent to endpoint 3: 503", "sent to endpoint 3: 200"];
        assert_eq!(descriptions, expected);
        assert_eq!((history.steps[2].at, history.steps[2].until), (150_000, Some(250_000)));
    }

    #[test]
    fn an_outage_lasts_until_its_end_event_or_the_end_of_the_run() {
        let series = series_of(vec![
            (100, EventKind::OutageBegan { dest: 7, route: None }),
            (200, EventKind::OutageBegan { dest: 8, route: Some(4) }),
            (300, EventKind::OutageEnded { dest: 7, route: None, capacity: 1.0 }),
            (400, EventKind::Stopped { sender: 0, duration: 50_000 }),
        ]);
        let intervals: Vec<_> = series
            .intervals
            .iter()
            .map(|interval| (interval.label.as_str(), interval.from, interval.to))
            .collect();
        assert_eq!(
            intervals,
            [
                ("destination 7", 100_000, Some(300_000)),
                ("destination 8, endpoint 4", 200_000, None),
                ("sender 0 stalled", 400_000, Some(450_000)),
            ]
        );
    }
}
