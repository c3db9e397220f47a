//! Decides which requests to discovery are outstanding. It does no I/O: the caller sends the requests and
//! reports what becomes of them.
//!
//! The sender must learn of a change within `MAX_UPDATE_DELAY`, also where each answer takes most of that time.
//! It cannot tell a slow answer from a lost one, so it does both: a watch whose wait is over is awaited further,
//! and the next watch is sent beside it. Discovery thus gets no more requests from a sender whose answers are
//! late than from any other.
//!
//! What changes right after discovery has written an answer is in the answer to the next request, which the
//! sender sends when it has read the first one. Two answers then have to arrive in time, so watches are
//! shorter where `2 * answer_delay` exceeds `MAX_UPDATE_DELAY`.
//!
//! An agent of the sender's own is also polled without a wait as long as it is silent: the sender is expected
//! to know at once what the agent has when it returns.
use super::schedule::{Failure, RequestSchedule, MAX_UPDATE_DELAY, PROCESSING_TIME};
use crate::answer_delay::AnswerDelay;
use nickelshed_settings::DiscoveryMode;
use std::time::Duration;
use tokio::time::Instant;

/// How long an answer may be overdue before the next request is sent beside it.
const ANSWER_SLACK: Duration = Duration::from_millis(250);
/// How long an answer is awaited after the requested wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a poll is awaited.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// A large list that is arriving is not requested again until its progress stops for this long.
const PROGRESS_PERIOD: Duration = super::transfer::PROGRESS_PERIOD;
/// A broken watch is replaced at the latest this long after its wait is over.
const MAX_REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// The highest number of outstanding requests; each has a connection.
const MAX_OUTSTANDING: usize = 6;
/// Discovery is reported as silent when an answer is overdue for this long.
const SILENCE_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Names one of the requests.
pub type RequestId = u64;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    FullList,
    /// Changes since a generation; waits for one.
    Watch {
        generation: u64,
        wait: Duration,
    },
    /// Changes since a generation, without a wait.
    Poll {
        generation: u64,
    },
}

impl RequestKind {
    /// The generation since which it asks for changes; `None` for the full list.
    pub fn generation(self) -> Option<u64> {
        match self {
            RequestKind::FullList => None,
            RequestKind::Watch { generation, .. } | RequestKind::Poll { generation } => Some(generation),
        }
    }

    /// How long discovery may wait for a change before it answers.
    pub fn wait(self) -> Duration {
        match self {
            RequestKind::Watch { wait, .. } => wait,
            RequestKind::FullList | RequestKind::Poll { .. } => Duration::ZERO,
        }
    }

    fn is_poll(self) -> bool {
        matches!(self, RequestKind::Poll { .. })
    }
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub id: RequestId,
    pub kind: RequestKind,
    /// The answer is awaited until then.
    pub deadline: Instant,
}

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Send(Request),
    /// Close the connection of the request; its answer is no longer of use.
    Abandon(RequestId),
}

/// What a list says, without its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    pub generation: u64,
    /// Whether it is a full list; otherwise it has the changes since the requested generation.
    pub is_full: bool,
    pub is_empty: bool,
    /// Whether it came on a connection that had carried an answer before.
    pub is_on_reused_connection: bool,
}

/// What to do with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    Apply,
    /// It has nothing new.
    Skip,
    /// As `Skip`; a further answer to the same request may follow, so the connection is to be closed.
    SkipAndClose,
    /// It may be a copy of an earlier answer on its connection, which is to be closed.
    IgnoreCopy,
}

#[derive(Debug)]
struct Outstanding {
    id: RequestId,
    kind: RequestKind,
    sent_at: Instant,
    /// Until then it needs no other request beside it.
    covers_until: Instant,
    deadline: Instant,
}

impl Outstanding {
    fn wait_ends_at(&self) -> Instant {
        self.sent_at + self.kind.wait()
    }
}

/// The outstanding requests of one sender, and when the next ones are due.
#[derive(Debug)]
pub struct RequestPlan {
    schedule: RequestSchedule,
    /// The generation of the list that the sender has; `None` if it has none from this discovery.
    generation: Option<u64>,
    /// In the order in which they were sent.
    outstanding: Vec<Outstanding>,
    next_id: RequestId,
    /// No watch and no request for the full list is sent before that.
    next_request_at: Instant,
    next_poll_at: Instant,
    /// When the last list came, or the start.
    last_answer_at: Instant,
    answer_delay: AnswerDelay,
    abandoned: Vec<RequestId>,
}

impl RequestPlan {
    /// `generation` is that of the list that the sender has; its first request is sent after `initial_delay`.
    pub fn new(
        now: Instant,
        schedule: RequestSchedule,
        generation: Option<u64>,
        initial_delay: Duration,
    ) -> RequestPlan {
        RequestPlan {
            schedule,
            generation,
            outstanding: Vec::new(),
            next_id: 0,
            next_request_at: now + initial_delay,
            next_poll_at: now,
            last_answer_at: now,
            answer_delay: AnswerDelay::default(),
            abandoned: Vec::new(),
        }
    }

    /// Forgets everything about the old discovery; the full list of the new one is requested at once.
    pub fn discovery_changed(&mut self, now: Instant) {
        self.abandon_all();
        self.generation = None;
        self.next_request_at = now;
        self.last_answer_at = now;
        self.answer_delay = AnswerDelay::default();
    }

    /// Appends what is to be done now.
    pub fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.give_up_expired(now);
        if now >= self.request_due_at() {
            let request = self.next_request(now);
            actions.push(Action::Send(request));
        }
        if self.poll_due_at().is_some_and(|due_at| now >= due_at) {
            if let Some(generation) = self.generation {
                let request = self.register(now, RequestKind::Poll { generation }, POLL_TIMEOUT);
                actions.push(Action::Send(request));
            }
        }
        actions.extend(self.abandoned.drain(..).map(Action::Abandon));
    }

    /// When `poll` has to be called next, unless something else happens before.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let deadlines = self.outstanding.iter().map(|request| request.deadline);
        let silence = self.silent_from().filter(|from| *from > now);
        let due = [Some(self.request_due_at()), self.poll_due_at(), silence];
        deadlines.chain(due.into_iter().flatten()).min().unwrap_or(self.next_request_at)
    }

    /// Whether an answer is overdue for so long that the operator should know.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent_from().is_some_and(|from| now >= from)
    }

    /// From when on discovery counts as silent unless it answers.
    fn silent_from(&self) -> Option<Instant> {
        let due = self.watches_and_lists().map(|request| request.covers_until);
        let unanswered = due.filter(|due_at| self.last_answer_at < *due_at).min()?;
        Some(unanswered + SILENCE_REPORT_DELAY + self.answer_delay.estimate())
    }

    /// How much later than it could the last answers came.
    pub fn answer_delay(&self) -> Duration {
        self.answer_delay.estimate()
    }

    /// Records that a part of a large list has arrived.
    pub fn progressed(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.outstanding.iter_mut().find(|request| request.id == id) {
            request.covers_until = request.covers_until.max(now + PROGRESS_PERIOD);
            request.deadline = request.deadline.max(now + PROGRESS_PERIOD);
        }
    }

    /// Records a list that has arrived, and decides what to do with it.
    pub fn answered(&mut self, now: Instant, id: RequestId, list: ListSummary) -> ListUse {
        let Some(request) = self.take(id) else { return ListUse::SkipAndClose };
        let elapsed = now.saturating_duration_since(request.sent_at);
        let requested = request.kind.generation();
        let has_changes = list.is_full || !list.is_empty;
        if list.is_on_reused_connection && may_be_copy(request.kind, list, elapsed) {
            return ListUse::IgnoreCopy;
        }
        // Changes can only be applied to a known list.
        if !list.is_full && requested.is_none() {
            self.pause_after(now, Failure::Unavailable, Duration::ZERO);
            return ListUse::Skip;
        }
        self.schedule.succeeded();
        self.last_answer_at = now;
        // A watch that follows an answer at once is not rejected for a crowd of new ones.
        self.next_request_at = self.next_request_at.min(now);
        self.record_delay(&request, has_changes, elapsed);
        let is_restart = requested.is_some_and(|requested| list.generation < requested);
        if is_restart || request.kind.is_poll() {
            // Requests to a discovery that has restarted, or that was silent, may never be answered.
            self.abandon_all();
        }
        let is_older = self.generation.is_some_and(|known| list.generation < known);
        let is_repeated = self.generation == Some(list.generation) && requested != self.generation;
        if !is_restart && (is_older || is_repeated) {
            return ListUse::Skip;
        }
        self.generation = Some(list.generation);
        let is_unchanged = !has_changes && requested == self.generation;
        let is_premature = is_unchanged && elapsed < request.kind.wait() / 2;
        if is_premature {
            self.next_request_at = now + self.schedule.premature_return(self.answer_delay());
            return ListUse::SkipAndClose;
        }
        match has_changes {
            true => ListUse::Apply,
            false => ListUse::Skip,
        }
    }

    /// Records that a request has failed.
    pub fn failed(&mut self, now: Instant, id: RequestId, failure: Failure) {
        let is_newest = self.outstanding.iter().rfind(|r| !r.kind.is_poll()).is_some_and(|r| r.id == id);
        let Some(request) = self.take(id) else { return };
        if request.kind.is_poll() {
            self.next_poll_at = now + self.schedule.poll_pause();
            return;
        }
        // Another request has been sent since, because this one was overdue.
        if !is_newest && failure == Failure::Unavailable {
            return;
        }
        self.pause_after(now, failure, now.saturating_duration_since(request.sent_at));
        if failure == Failure::Unavailable && !request.kind.wait().is_zero() {
            let latest = request.wait_ends_at() + MAX_REPLACEMENT_DELAY;
            self.next_request_at = self.next_request_at.min(latest.max(now + self.schedule.shortest_pause()));
        }
    }

    fn pause_after(&mut self, now: Instant, failure: Failure, elapsed: Duration) {
        let pause = self.schedule.failed(failure, self.answer_delay(), elapsed);
        self.next_request_at = now + pause;
        self.next_poll_at = self.next_poll_at.max(self.next_request_at);
    }

    fn record_delay(&mut self, request: &Outstanding, has_changes: bool, elapsed: Duration) {
        let delay = elapsed.saturating_sub(request.kind.wait());
        match request.kind {
            RequestKind::Watch { .. } if has_changes => self.answer_delay.at_least(delay),
            _ => self.answer_delay.measured(delay),
        }
    }

    /// Whether discovery still waits for a change on behalf of this request. It has answered one that asks for
    /// changes since an older generation, even if that answer has not arrived.
    fn is_current(&self, request: &Outstanding) -> bool {
        !request.kind.is_poll() && request.kind.generation() == self.generation
    }

    /// When the next watch or request for the full list is due.
    fn request_due_at(&self) -> Instant {
        let current = self.outstanding.iter().filter(|request| self.is_current(request));
        current.map(|request| request.covers_until).fold(self.next_request_at, Instant::max)
    }

    /// When an agent is polled next; `None` if there is no need.
    fn poll_due_at(&self) -> Option<Instant> {
        let is_polled = self.outstanding.iter().any(|request| request.kind.is_poll());
        if self.schedule.mode() != DiscoveryMode::Agent || self.generation.is_none() || is_polled {
            return None;
        }
        let overdue_at = self.watches_and_lists().map(|request| request.covers_until).min();
        let needed_at = if self.schedule.is_failing() { Some(self.next_poll_at) } else { overdue_at };
        needed_at.map(|at| at.max(self.next_poll_at))
    }

    fn watches_and_lists(&self) -> impl Iterator<Item = &Outstanding> {
        self.outstanding.iter().filter(|request| !request.kind.is_poll())
    }

    fn next_request(&mut self, now: Instant) -> Request {
        let Some(generation) = self.generation else {
            let has_asked = self.outstanding.iter().any(|request| self.is_current(request));
            let cover = self.schedule.full_list_interval(has_asked);
            return self.register(now, RequestKind::FullList, cover);
        };
        let wait = self.watch_wait(now);
        self.register(now, RequestKind::Watch { generation, wait }, wait + ANSWER_SLACK)
    }

    /// How long the next watch waits for changes.
    fn watch_wait(&mut self, now: Instant) -> Duration {
        let silence = now.saturating_duration_since(self.last_answer_at);
        let wait = self.schedule.watch_wait(silence);
        let delay = self.answer_delay.estimate();
        if delay * 2 + PROCESSING_TIME + ANSWER_SLACK <= MAX_UPDATE_DELAY {
            return wait;
        }
        let left = MAX_UPDATE_DELAY.saturating_sub(delay + PROCESSING_TIME + ANSWER_SLACK);
        if left.is_zero() {
            // No wait is short enough; more requests would only replace one another.
            return wait;
        }
        wait.min(left.max(self.schedule.shortest_watch_wait()))
    }

    /// Adds a request, which needs no other one beside it for `cover`.
    fn register(&mut self, now: Instant, kind: RequestKind, cover: Duration) -> Request {
        if self.outstanding.len() >= MAX_OUTSTANDING {
            self.abandon_one(now);
        }
        let id = self.next_id;
        self.next_id += 1;
        let timeout = if kind.is_poll() { POLL_TIMEOUT } else { kind.wait() + ANSWER_TIMEOUT };
        let deadline = now + timeout;
        self.outstanding.push(Outstanding { id, kind, sent_at: now, covers_until: now + cover, deadline });
        Request { id, kind, deadline }
    }

    fn take(&mut self, id: RequestId) -> Option<Outstanding> {
        let position = self.outstanding.iter().position(|request| request.id == id)?;
        Some(self.outstanding.remove(position))
    }

    /// Makes room for another request. Keeps the oldest one, whose answer is due first, and a list that is arriving.
    fn abandon_one(&mut self, now: Instant) {
        let mut candidates = self.outstanding.iter().enumerate().skip(1);
        let overdue = candidates.find(|(_, request)| request.covers_until <= now);
        let position = overdue.map_or(self.outstanding.len() - 1, |(position, _)| position);
        self.abandoned.push(self.outstanding.remove(position).id);
    }

    fn abandon_all(&mut self) {
        self.abandoned.extend(self.outstanding.drain(..).map(|request| request.id));
    }

    fn give_up_expired(&mut self, now: Instant) {
        let mut has_poll_failed = false;
        let abandoned = &mut self.abandoned;
        self.outstanding.retain(|request| {
            let is_awaited = now < request.deadline;
            if !is_awaited {
                abandoned.push(request.id);
                has_poll_failed |= request.kind.is_poll();
            }
            is_awaited
        });
        if has_poll_failed {
            self.next_poll_at = now + self.schedule.poll_pause();
        }
    }
}

/// Whether a list may be a copy of an earlier answer on its connection, which was of the requested generation or
/// an older one. The real answer of the requested generation comes only at the end of the wait, and has no
/// changes or is a full list.
fn may_be_copy(kind: RequestKind, list: ListSummary, elapsed: Duration) -> bool {
    let Some(requested) = kind.generation() else { return false };
    let is_early = elapsed < kind.wait() / 2;
    let has_changes = list.is_full || !list.is_empty;
    list.generation < requested || (list.generation == requested && is_early && has_changes)
}

#[cfg(test)]
mod tests;
