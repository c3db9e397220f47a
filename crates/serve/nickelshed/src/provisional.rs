//! Provisional answers: what was read on a reused connection and may be a copy of an earlier answer.
//!
//! If it was, the real answer still comes on that connection, as data that answers no request. An answer is
//! therefore confirmed once its connection has been silent for long enough. If the connection ends before, or data
//! comes, `evidence` decides on the answer.
//!
//! Invariants: a message is not sent again while the answer to its last attempt is provisional, nor after an
//! answer that may have ended it.
mod evidence;

use evidence::{AnswerHistory, AnswerIdentity, DoubtfulAnswer, SubsequentData};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// One attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub message: u64,
    pub attempt: u32,
}

/// How long answers on a reused connection stay provisional after their requests were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmTime {
    /// Answers whose messages wait for the verdict.
    pub awaited: Duration,
    /// Answers that have finished their messages.
    pub finished: Duration,
}

/// What became of a provisional answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Confirmed,
    /// It was, or may have been, the answer to another request, and the message has not ended: the attempt may
    /// have run.
    Retracted,
    /// It may have been the answer to another request, and the message may have ended: it must not be sent
    /// again.
    InDoubt,
}

/// The verdict on the answer to one attempt, for the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedAnswer {
    pub attempt: AttemptId,
    pub verdict: Verdict,
}

/// The provisional answers of all connections.
pub struct AnswerLedger {
    /// Messages whose last attempt has a provisional answer.
    provisional: RefCell<HashSet<u64>>,
    /// Messages whose last answer was not confirmed, until the core has acted on the verdict.
    unconfirmed: RefCell<HashMap<u64, Verdict>>,
    resolved: Notify,
    verdicts: mpsc::UnboundedSender<Vec<ResolvedAnswer>>,
}

impl AnswerLedger {
    /// `verdicts` receives each verdict, after the answer has been reported as provisional.
    pub fn new(verdicts: mpsc::UnboundedSender<Vec<ResolvedAnswer>>) -> Rc<AnswerLedger> {
        Rc::new(AnswerLedger {
            provisional: RefCell::default(),
            unconfirmed: RefCell::default(),
            resolved: Notify::new(),
            verdicts,
        })
    }

    pub fn is_provisional(&self, message: u64) -> bool {
        self.provisional.borrow().contains(&message)
    }

    /// The verdict on the message's last answer, if it was not confirmed and the core has not acted on it yet.
    pub fn unconfirmed(&self, message: u64) -> Option<Verdict> {
        self.unconfirmed.borrow().get(&message).copied()
    }

    /// Records that the core has acted on the verdict on the message's last answer.
    pub fn settle(&self, message: u64) {
        self.unconfirmed.borrow_mut().remove(&message);
    }

    /// Returns once none of the messages has a provisional answer.
    pub async fn all_resolved(&self, messages: &[u64]) {
        loop {
            let resolved = self.resolved.notified();
            if !messages.iter().any(|&message| self.is_provisional(message)) {
                return;
            }
            resolved.await;
        }
    }

    fn resolve(&self, resolved: Vec<ResolvedAnswer>) {
        if resolved.is_empty() {
            return;
        }
        for ResolvedAnswer { attempt, verdict } in &resolved {
            self.provisional.borrow_mut().remove(&attempt.message);
            if *verdict != Verdict::Confirmed {
                self.unconfirmed.borrow_mut().insert(attempt.message, *verdict);
            }
        }
        // The core has ended if nobody receives the verdicts.
        let _ = self.verdicts.send(resolved);
        self.resolved.notify_waiters();
    }
}

/// A provisional answer to one attempt.
struct ProvisionalAnswer {
    attempt: AttemptId,
    /// When the request of its call was written.
    written_at: Instant,
    identity: AnswerIdentity,
    /// Whether it has finished the message; otherwise the message waits for the verdict.
    is_final: bool,
}

/// The answers read on one connection. Dropping it confirms those that are provisional: a connection that this
/// side closes gives no reason for doubt.
pub struct ConnectionAnswers {
    ledger: Rc<AnswerLedger>,
    history: AnswerHistory,
    /// Identity of the last answer.
    last_answer: AnswerIdentity,
    /// Oldest first.
    provisional: Vec<ProvisionalAnswer>,
}

impl ConnectionAnswers {
    pub fn new(ledger: Rc<AnswerLedger>) -> ConnectionAnswers {
        ConnectionAnswers {
            ledger,
            history: AnswerHistory::default(),
            last_answer: AnswerIdentity::UNKNOWN,
            provisional: Vec::new(),
        }
    }

    /// Takes note of an answer that begins with these bytes.
    pub fn record(&mut self, bytes: &[u8]) {
        self.last_answer = self.history.record(bytes);
    }

    /// Adds what the last answer says as provisional: each attempt of its call, and whether its message is
    /// finished.
    pub fn add_provisional(
        &mut self,
        attempts: impl Iterator<Item = (AttemptId, bool)>,
        written_at: Instant,
    ) {
        let identity = self.last_answer;
        for (attempt, is_final) in attempts {
            self.ledger.provisional.borrow_mut().insert(attempt.message);
            self.provisional.push(ProvisionalAnswer { attempt, written_at, identity, is_final });
        }
    }

    /// Number of attempts whose answer is provisional.
    pub fn provisional_count(&self) -> usize {
        self.provisional.len()
    }

    /// Whether a message waits for the verdict on one of these answers.
    pub fn is_awaited(&self) -> bool {
        self.provisional.iter().any(|answer| !answer.is_final)
    }

    /// Confirms the answers whose time is over.
    pub fn confirm(&mut self, time: ConfirmTime, now: Instant) {
        let is_due = |answer: &mut ProvisionalAnswer| {
            now - answer.written_at >= if answer.is_final { time.finished } else { time.awaited }
        };
        let confirmed = |answer: ProvisionalAnswer| ResolvedAnswer {
            attempt: answer.attempt,
            verdict: Verdict::Confirmed,
        };
        let due = self.provisional.extract_if(.., is_due).map(confirmed).collect();
        self.ledger.resolve(due);
    }

    /// Decides on all provisional answers of a connection that has ended in a way that gives reason for doubt:
    /// with `unsolicited_data`, or with a reset or an interrupted call if there is none.
    pub fn judge(&mut self, unsolicited_data: Option<&[u8]>) {
        let subsequent = SubsequentData::new(unsolicited_data, &self.history);
        let answers = std::mem::take(&mut self.provisional);
        let mut follows_certain_answers = true;
        let is_only_call = answers.iter().all(|answer| answer.written_at == answers[0].written_at);
        let judged = answers.into_iter().map(|answer| {
            let ProvisionalAnswer { attempt, identity, is_final, .. } = answer;
            let doubtful = DoubtfulAnswer { identity, is_final, follows_certain_answers, is_only_call };
            follows_certain_answers &= !identity.is_repeat;
            ResolvedAnswer { attempt, verdict: evidence::verdict(doubtful, subsequent) }
        });
        self.ledger.resolve(judged.collect());
    }
}

impl Drop for ConnectionAnswers {
    fn drop(&mut self) {
        self.confirm(ConfirmTime { awaited: Duration::ZERO, finished: Duration::ZERO }, Instant::now());
    }
}

#[cfg(test)]
mod tests;
