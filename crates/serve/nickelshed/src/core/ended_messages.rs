//! Remembers messages that have ended for a while, so that a second copy of their submission is not taken for a
//! new message. It does no I/O; time is an argument.
//!
//! A client whose connection breaks sends its request again on a new one, under the same id. Messages that were
//! returned are not remembered: their clients may submit them again.
use nickelshed_journal::AcceptedMessage;
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::time::Instant;

/// A copy of a submission comes within the time for which clients wait for an answer; this is far longer.
const RETENTION: Duration = Duration::from_secs(10);
/// The oldest are forgotten earlier if there are more.
const MAX_REMEMBERED: usize = 4_096;

/// Hash of all that is submitted with a message, but for its id.
type Content = u64;

fn content_of(message: &AcceptedMessage) -> Content {
    let mut hasher = DefaultHasher::new();
    (message.dest, &message.class, &message.tenant, &message.key, &message.body).hash(&mut hasher);
    hasher.finish()
}

/// Messages that have ended, by the id that the client gave (`X-Trace-Id`).
#[derive(Default)]
pub struct EndedMessages {
    contents: HashMap<String, (Instant, Content)>,
    /// Oldest first.
    by_time: VecDeque<(Instant, String)>,
}

impl EndedMessages {
    pub fn record(&mut self, message: &AcceptedMessage, now: Instant) {
        self.forget_old(now);
        self.by_time.push_back((now, message.trace.clone()));
        self.contents.insert(message.trace.clone(), (now, content_of(message)));
    }

    /// Whether this message has ended, and its submission is a second copy.
    pub fn contains(&mut self, message: &AcceptedMessage, now: Instant) -> bool {
        self.forget_old(now);
        self.contents.get(&message.trace).is_some_and(|(_, content)| *content == content_of(message))
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |ended_at: Instant| now.saturating_duration_since(ended_at) > RETENTION;
        while self.by_time.len() >= MAX_REMEMBERED || self.by_time.front().is_some_and(|(at, _)| is_old(*at))
        {
            let Some((ended_at, trace)) = self.by_time.pop_front() else { return };
            // Another message may have ended under the same id since.
            if self.contents.get(&trace).is_some_and(|(at, _)| *at == ended_at) {
                self.contents.remove(&trace);
            }
        }
    }
}

#[cfg(test)]
mod tests;
