//! A customer system with one endpoint: workers that take a fixed time for each call, a bounded queue before them,
//! an outage, and a warm-up after it.
use crate::http::{self, Message, Reply};
use crate::record::Record;
use crate::Verdict;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How long a call and its answer are on their way, by the two site files (5 to 15 ms, and 8 to 30 ms, one way).
const ROUND_TRIP: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outage {
    /// Answers 503 to each call until it opens, so long after the beginning.
    Shut(Duration),
    /// Takes calls and answers none.
    Silent,
    /// Answers 500 to each call.
    Failing,
}

#[derive(Clone, Copy)]
pub struct Model {
    pub workers: usize,
    /// How long a worker takes for a call at full capacity.
    pub work: Duration,
    /// How many calls wait before the workers; further ones are answered 503.
    pub queue: usize,
    /// By the settings: the capacity after an outage, and how long the warm-up takes.
    pub start_capacity: f64,
    pub warm_up: Duration,
    /// By the settings: the multiple of its capacity at which it falls while cold, and the time for which it is counted.
    pub fall_multiple: f64,
    pub fall_window: Duration,
    /// One in so many refusals while it is shut tells how long to wait: until it opens.
    pub tells_one_in: usize,
}

impl Model {
    /// Calls a second when warm.
    pub fn capacity(&self) -> f64 {
        self.workers as f64 / self.work.as_secs_f64()
    }

    /// The fraction of the capacity that it has so long after an outage.
    pub fn fraction(&self, since: Duration) -> f64 {
        let progress = (since.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        self.start_capacity + (1.0 - self.start_capacity) * progress
    }

    /// How many calls it stands in a window that ends so long after an outage: N + 3 x root of N + 3, and N + 2 x root
    /// of N + 2 from 30 on. N is taken at the end of the window, where it is greatest.
    pub fn allowed(&self, since: Duration) -> f64 {
        let n = self.fall_multiple * self.capacity() * self.fraction(since) * self.fall_window.as_secs_f64();
        let (factor, plus) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        n + factor * n.sqrt() + plus
    }
}

/// A call that reached the endpoint.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    /// The sender, which the stand-ins for clients put before the first `-` of each id.
    pub sender: String,
    /// Whether it failed or was refused.
    pub failed: bool,
}

struct State {
    outage: Option<Outage>,
    /// When the last outage ended.
    returned_at: Option<Instant>,
    /// When the present outage began.
    began_at: Instant,
    busy: usize,
    waiting: usize,
    /// Refusals while shut.
    refusals: usize,
    arrivals: Vec<Arrival>,
    /// Whether it has fallen over, for good.
    has_fallen: bool,
    runs: Vec<String>,
}

pub struct Customer {
    pub address: SocketAddr,
    model: Model,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Customer {
    pub fn start(model: Model, record: Record) -> Customer {
        let (outage, returned_at, began_at) = (None, None, Instant::now());
        let (busy, waiting, refusals, arrivals, has_fallen, runs) = (0, 0, 0, Vec::new(), false, Vec::new());
        let state =
            State { outage, returned_at, began_at, busy, waiting, refusals, arrivals, has_fallen, runs };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, noted) = (state.clone(), record.clone());
        let address = http::serve(move |request: &Message, _| {
            let reply = handle(request, model, &shared, &noted);
            std::thread::sleep(ROUND_TRIP);
            reply
        });
        Customer { address, model, state, record }
    }

    pub fn begin_outage(&self, outage: Outage) {
        self.record.note(format!("the customer system's outage begins: {outage:?}"));
        let mut state = self.state.0.lock().unwrap();
        (state.outage, state.began_at) = (Some(outage), Instant::now());
    }

    pub fn end_outage(&self) {
        let mut state = self.state.0.lock().unwrap();
        (state.outage, state.returned_at) = (None, Some(Instant::now()));
        self.record.note("the outage is over; the customer system is cold");
    }

    /// How many of these messages have not been run.
    pub fn not_run(&self, ids: &[String]) -> usize {
        let state = self.state.0.lock().unwrap();
        ids.iter().filter(|id| !state.runs.contains(id)).count()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.0.lock().unwrap().arrivals.clone()
    }

    pub fn returned_at(&self) -> Option<Instant> {
        self.state.0.lock().unwrap().returned_at
    }

    pub fn model(&self) -> Model {
        self.model
    }
}

fn handle(request: &Message, model: Model, shared: &(Mutex<State>, Condvar), record: &Record) -> Reply {
    let id = request.header("x-trace-id").unwrap_or_default().to_string();
    if !request.start_line.starts_with("POST /v1/messages ") || id.is_empty() {
        return http::answer("404 Not Found");
    }
    let sender = id.split('-').next().unwrap_or_default().to_string();
    let (lock, freed) = shared;
    let mut state = lock.lock().unwrap();
    let mut arrival = Arrival { at: Instant::now(), sender, failed: false };
    let outage = state.outage;
    let is_full = state.busy >= model.workers && state.waiting >= model.queue;
    arrival.failed = outage.is_some() || is_full;
    state.arrivals.push(arrival);
    if !state.has_fallen && has_too_many(&state, model) {
        record.note("the customer system falls over and stays down");
        state.has_fallen = true;
    }
    if state.has_fallen {
        record.note(format!("call {id}: not answered, the customer system is down"));
        return Reply::Silence;
    }
    match outage {
        Some(Outage::Shut(length)) => {
            state.refusals += 1;
            let tells = state.refusals % model.tells_one_in == 0;
            let left = length.saturating_sub(state.began_at.elapsed()).as_secs_f64();
            let wait = if tells { format!("Retry-After: {left:.3}\r\n") } else { String::new() };
            record.note(format!("call {id}: 503, shut{}", if tells { " and told to wait" } else { "" }));
            return Reply::Answer("503 Service Unavailable".into(), wait, String::new());
        }
        Some(Outage::Silent) => {
            record.note(format!("call {id}: taken and not answered"));
            return Reply::Silence;
        }
        Some(Outage::Failing) => {
            record.note(format!("call {id}: 500"));
            return http::answer("500 Internal Server Error");
        }
        None if is_full => {
            record.note(format!("call {id}: 503, queue full"));
            return http::answer("503 Service Unavailable");
        }
        None => record.note(format!("call {id}: taken")),
    }
    state.waiting += 1;
    while state.busy >= model.workers {
        state = freed.wait(state).unwrap();
    }
    (state.waiting, state.busy) = (state.waiting - 1, state.busy + 1);
    let fraction = state.returned_at.map_or(1.0, |at| model.fraction(at.elapsed()));
    drop(state);
    std::thread::sleep(model.work.div_f64(fraction));
    let mut state = lock.lock().unwrap();
    state.busy -= 1;
    freed.notify_one();
    if state.has_fallen {
        return Reply::Silence;
    }
    state.runs.push(id.clone());
    drop(state);
    record.note(format!("run {id}: 200"));
    http::answer("200 OK")
}

/// Whether more calls have come since the return, in the window that ends now, than it stands.
fn has_too_many(state: &State, model: Model) -> bool {
    let Some(returned_at) = state.returned_at.filter(|at| at.elapsed() <= model.warm_up) else {
        return false;
    };
    let is_counted = |a: &&Arrival| a.at >= returned_at && a.at.elapsed() <= model.fall_window;
    state.arrivals.iter().filter(is_counted).count() as f64 > model.allowed(returned_at.elapsed())
}

/// A window after the return: the calls in it, how many are allowed, and how many came from senders that had seen a
/// call fail during the outage.
#[derive(Clone, Copy)]
pub struct Fall {
    pub calls: usize,
    pub allowed: f64,
    pub told: usize,
    pub after_return: Duration,
}

/// The first window after the return in which more calls came than it stands, and more than two thirds of them from
/// senders that had seen a call fail during the outage; else the window with the most calls for what it stands.
pub fn find_fall(customer: &Customer) -> Option<(bool, Fall)> {
    let (model, arrivals) = (customer.model(), customer.arrivals());
    let returned_at = customer.returned_at()?;
    let told: Vec<&str> =
        arrivals.iter().filter(|a| a.at < returned_at && a.failed).map(|a| a.sender.as_str()).collect();
    let after: Vec<&Arrival> = arrivals.iter().filter(|a| a.at >= returned_at).collect();
    let mut fullest: Option<Fall> = None;
    for (last, end) in after.iter().enumerate() {
        let in_window: Vec<&&Arrival> =
            after[..=last].iter().filter(|a| end.at.duration_since(a.at) <= model.fall_window).collect();
        let after_return = end.at.duration_since(returned_at);
        if after_return > model.warm_up {
            break;
        }
        let allowed = model.allowed(after_return);
        let told = in_window.iter().filter(|a| told.contains(&a.sender.as_str())).count();
        let fall = Fall { calls: in_window.len(), allowed, told, after_return };
        if fall.calls as f64 > allowed && told * 3 > fall.calls * 2 {
            return Some((true, fall));
        }
        if fullest.is_none_or(|f| f.calls as f64 / f.allowed < fall.calls as f64 / allowed) {
            fullest = Some(fall);
        }
    }
    fullest.map(|fall| (false, fall))
}

/// The verdict on the rule. `accepted` are the messages for the customer system that the senders had taken on.
pub fn judge(customer: &Customer, accepted: &[String]) -> Verdict {
    let window = customer.model().fall_window.as_secs_f64();
    let Some((is_fall, fall)) = find_fall(customer) else {
        return Verdict { held: true, seen: "no outage, no return".into() };
    };
    let Fall { calls, allowed, told, after_return } = fall;
    let at_most = if is_fall { "" } else { "at most " };
    let seen = format!(
        "{at_most}{calls} calls within {window} s where {allowed:.1} are allowed, {told} of them from senders that had \
         seen a call fail or be refused during the outage, {:.2} s after the return; at the end {} of {} messages that \
         had been taken on were not run",
        after_return.as_secs_f64(),
        customer.not_run(accepted),
        accepted.len()
    );
    Verdict { held: !is_fall, seen }
}
