//! The pool of connections to endpoints, its limits, and which endpoints may currently be written to.
mod reuse;

use crate::answer_head::unsolicited_retry_after;
use crate::connections::{CloseReason, Connection, OpenGuard};
use crate::provisional::{AnswerLedger, ConnectionAnswers};
use nickelshed_host::Host;
use nickelshed_policy::api::{DestId, EndpointId, Ns, Outcome, MS};
use reuse::ReusePolicy;
pub use reuse::SETTLE_TIME;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

struct EndpointState {
    address: SocketAddr,
    /// What a retry-after applies to: the destination, or this endpoint alone if it is a route of its own.
    route: (DestId, Option<EndpointId>),
    /// Whether the current list names it as ready.
    is_usable: bool,
}

pub struct Pool<H: Host> {
    host: H,
    pub dial_timeout: Duration,
    pub ledger: Rc<AnswerLedger>,
    reuse: RefCell<ReusePolicy>,
    /// Limit of open connections to endpoints.
    max_open: usize,
    open_count: Rc<Cell<usize>>,
    /// Ordered, so that connections closed together close in the same order in every run. The endpoints can
    /// see the order.
    idle_connections: RefCell<BTreeMap<EndpointId, Vec<Connection<H>>>>,
    endpoints: RefCell<HashMap<EndpointId, EndpointState>>,
    retry_after_until: RefCell<HashMap<(DestId, Option<EndpointId>), Instant>>,
}

impl<H: Host> Pool<H> {
    pub fn new(
        host: H,
        dial_timeout: Ns,
        idle_timeout: Ns,
        max_open: usize,
        ledger: Rc<AnswerLedger>,
    ) -> Pool<H> {
        // Kept shorter than the endpoint's own idle timeout, because a request written on a connection that
        // the endpoint has closed is reset.
        let idle_timeout = Duration::from_nanos((idle_timeout.max(0) as f64 * 0.9) as u64);
        Pool {
            host,
            dial_timeout: Duration::from_nanos(dial_timeout.max(MS) as u64),
            ledger,
            reuse: RefCell::new(ReusePolicy::new(idle_timeout)),
            max_open,
            open_count: Rc::default(),
            idle_connections: RefCell::default(),
            endpoints: RefCell::default(),
            retry_after_until: RefCell::default(),
        }
    }

    /// Applies an entry of the endpoint list. An endpoint that is not ready gets no further requests.
    pub fn update_endpoint(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        dest: DestId,
        separate_routes: bool,
        is_usable: bool,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let route = (dest, separate_routes.then_some(endpoint));
        let previous = endpoints.insert(endpoint, EndpointState { address, route, is_usable });
        let has_moved = previous.is_some_and(|previous| previous.address != address);
        if has_moved {
            self.reuse.borrow_mut().forget(endpoint);
        }
        if !is_usable || has_moved {
            self.close_idle(endpoint, CloseReason::EndpointChanged);
        }
    }

    /// Called before a full list is applied: an endpoint missing from it is unavailable.
    pub fn mark_all_unavailable(&self) {
        self.endpoints.borrow_mut().values_mut().for_each(|e| e.is_usable = false);
    }

    /// Whether nothing more may be written to an endpoint and no retry-after is stored under its id.
    pub fn can_forget(&self, endpoint: EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let Some(state) = endpoints.get(&endpoint) else { return true };
        !state.is_usable
            && (state.route.1.is_none() || !self.retry_after_until.borrow().contains_key(&state.route))
    }

    /// Removes an endpoint that has not been listed for so long that its id is no longer in use.
    pub fn forget(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
        self.reuse.borrow_mut().forget(endpoint);
        self.close_idle(endpoint, CloseReason::EndpointChanged);
    }

    pub fn close_idle(&self, endpoint: EndpointId, reason: CloseReason) {
        let connections = self.idle_connections.borrow_mut().remove(&endpoint);
        connections.into_iter().flatten().for_each(|connection| self.discard(endpoint, connection, reason));
    }

    /// Closes a connection without waiting for it.
    pub fn discard(&self, endpoint: EndpointId, mut connection: Connection<H>, reason: CloseReason) {
        self.judge_answers(endpoint, &mut connection, reason);
        connection.discard(reason);
    }

    /// Returns after the connection has been closed.
    pub async fn close(&self, endpoint: EndpointId, mut connection: Connection<H>, reason: CloseReason) {
        self.judge_answers(endpoint, &mut connection, reason);
        connection.close(reason).await;
    }

    /// Decides on the provisional answers of a connection that ends in a way in which it may still have owed an
    /// answer. If data has come on it that answers no request, connections to the endpoint rest longer.
    fn judge_answers(&self, endpoint: EndpointId, connection: &mut Connection<H>, reason: CloseReason) {
        let unsolicited_data = connection.has_unsolicited_data().then(|| connection.socket.take_received());
        let (is_unsolicited, has_failed) = (unsolicited_data.is_some(), connection.socket.has_failed());
        if is_unsolicited || reason.is_abnormal() || has_failed {
            if let Some(answers) = connection.answers.as_mut().filter(|a| a.provisional_count() > 0) {
                tracing::info!(
                    endpoint,
                    connection = connection.number,
                    ?reason,
                    is_unsolicited,
                    has_failed,
                    answers = answers.provisional_count(),
                    "the last answers on a connection are in doubt"
                );
                answers.judge(unsolicited_data.as_deref());
            }
        }
        if let Some(data) = unsolicited_data {
            if let Some(wait) = unsolicited_retry_after(&data) {
                self.apply_retry_after(endpoint, wait);
            }
            self.distrust(endpoint, connection);
        }
    }

    /// Lets connections to an endpoint that has sent data which answers no request rest longer.
    fn distrust(&self, endpoint: EndpointId, connection: &Connection<H>) {
        if self.reuse.borrow_mut().record_unsolicited_data(endpoint, Instant::now()) {
            tracing::warn!(
                endpoint, address = %connection.address, connection = connection.number,
                "data came that answers no request; connections to the endpoint rest longer before reuse"
            );
        }
    }

    /// Runs forever. Closes connections that were idle too long or closed by the endpoint, and drops expired
    /// retry-after times.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut ticker = tokio::time::interval(Duration::from_millis(100));
        loop {
            ticker.tick().await;
            let now = Instant::now();
            let endpoints: Vec<EndpointId> = self.idle_connections.borrow().keys().copied().collect();
            endpoints.into_iter().for_each(|endpoint| self.close_expired(endpoint, now));
            self.idle_connections.borrow_mut().retain(|_, connections| !connections.is_empty());
            self.retry_after_until.borrow_mut().retain(|_, until| *until > now);
        }
    }

    /// Closes the idle connections of an endpoint that cannot be reused any more.
    fn close_expired(&self, endpoint: EndpointId, now: Instant) {
        let max_idle = self.reuse.borrow().max_idle(endpoint, now);
        let is_expired = |c: &mut Connection<H>| !c.is_open() || now - c.idle_since >= max_idle;
        let expired: Vec<Connection<H>> = match self.idle_connections.borrow_mut().get_mut(&endpoint) {
            Some(connections) => {
                let expired = connections.extract_if(.., is_expired).collect();
                connections.iter_mut().for_each(|connection| self.confirm_answers(endpoint, connection, now));
                expired
            }
            None => return,
        };
        expired.into_iter().for_each(|connection| self.discard(endpoint, connection, CloseReason::Idle));
    }

    /// Confirms the provisional answers of an idle connection that has been silent for long enough.
    fn confirm_answers(&self, endpoint: EndpointId, connection: &mut Connection<H>, now: Instant) {
        let reuse = self.reuse.borrow();
        let confirm_time = reuse.confirm_time(endpoint, now);
        let has_settled = now - connection.idle_since >= reuse.settle_time(endpoint, now);
        if let Some(answers) = connection.answers.as_mut().filter(|_| has_settled) {
            answers.confirm(confirm_time, now);
        }
    }

    /// Records how long a call to the endpoint took, from the request to its answer.
    pub fn record_call(&self, endpoint: EndpointId, took: Duration) {
        self.reuse.borrow_mut().record_call(endpoint, took, Instant::now());
    }

    /// Whether the list has the endpoint for this destination.
    pub fn serves(&self, endpoint: EndpointId, dest: DestId) -> bool {
        self.endpoints.borrow().get(&endpoint).is_some_and(|state| state.route.0 == dest)
    }

    /// Whether the endpoint is listed as ready at this address and no retry-after applies to it.
    pub fn may_write(&self, endpoint: EndpointId, address: SocketAddr) -> bool {
        let endpoints = self.endpoints.borrow();
        let is_current = |state: &&EndpointState| state.is_usable && state.address == address;
        let Some(state) = endpoints.get(&endpoint).filter(is_current) else { return false };
        self.retry_after_until.borrow().get(&state.route).is_none_or(|&until| until <= Instant::now())
    }

    /// Blocks writes to the endpoint's route for `wait`. A later end that is already set stays.
    pub fn apply_retry_after(&self, endpoint: EndpointId, wait: Duration) {
        let endpoints = self.endpoints.borrow();
        let Some(state) = endpoints.get(&endpoint) else { return };
        let until = Instant::now() + wait;
        let mut retry_after_until = self.retry_after_until.borrow_mut();
        let current = retry_after_until.entry(state.route).or_insert(until);
        *current = until.max(*current);
    }

    /// Records that a connection to this endpoint was reset by a request after it had been idle for `idle`,
    /// and closes the idle ones.
    pub fn limit_idle_time(&self, endpoint: EndpointId, idle: Duration) {
        self.close_idle(endpoint, CloseReason::OthersReset);
        self.reuse.borrow_mut().record_reset(endpoint, idle, Instant::now());
    }

    /// Takes the connection that has rested longest, if it may be reused.
    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection<H>> {
        let now = Instant::now();
        self.close_expired(endpoint, now);
        let reuse = self.reuse.borrow();
        let mut idle_connections = self.idle_connections.borrow_mut();
        let connections = idle_connections.get_mut(&endpoint)?;
        let may_reuse = |connection: &Connection<H>| {
            let is_awaited = connection.answers.as_ref().is_some_and(ConnectionAnswers::is_awaited);
            !is_awaited && reuse.may_reuse(endpoint, now - connection.idle_since, now)
        };
        let position = connections.iter().position(may_reuse)?;
        Some(connections.remove(position))
    }

    /// If the limit is reached, closes the connection that has been idle longest. Returns whether a new one
    /// may be opened.
    fn ensure_capacity(&self) -> bool {
        if self.open_count.get() < self.max_open {
            return true;
        }
        let mut idle_connections = self.idle_connections.borrow_mut();
        let oldest = idle_connections
            .iter()
            .filter_map(|(&e, connections)| Some((connections.first()?.idle_since, e)))
            .min();
        let Some((_, endpoint)) = oldest else { return false };
        let oldest = idle_connections.get_mut(&endpoint).map(|connections| connections.remove(0));
        drop(idle_connections);
        oldest.map(|connection| self.discard(endpoint, connection, CloseReason::MakesRoom)).is_some()
    }

    /// Takes an idle connection to the endpoint, or opens a new one.
    ///
    /// # Errors
    /// `NotSent` if the endpoint is not listed as ready or the connection limit is reached, `NoConnection` if
    /// the endpoint cannot be reached.
    pub async fn connect(&self, endpoint: EndpointId) -> Result<Connection<H>, Outcome> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let address = self.endpoints.borrow().get(&endpoint).filter(|e| e.is_usable).map(|e| e.address);
        let Some(address) = address.filter(|_| self.ensure_capacity()) else {
            return Err(Outcome::NotSent);
        };
        // Counted before it is established, so that many concurrent connection attempts also stay within the
        // limit.
        let open_guard = OpenGuard::new(&self.open_count);
        match Connection::open(&self.host, address, self.dial_timeout).await {
            Ok(mut connection) => {
                connection.open_guard = Some(open_guard);
                connection.answers = Some(ConnectionAnswers::new(self.ledger.clone()));
                Ok(connection)
            }
            Err(error) => {
                tracing::debug!(%address, %error, "cannot connect to the endpoint");
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Returns an idle connection to the pool, or closes it if its endpoint has changed or is not ready.
    pub fn release(&self, endpoint: EndpointId, mut connection: Connection<H>) {
        let now = Instant::now();
        let is_current = |state: &EndpointState| state.is_usable && state.address == connection.address;
        if !self.endpoints.borrow().get(&endpoint).is_some_and(is_current) {
            self.discard(endpoint, connection, CloseReason::EndpointChanged);
        } else {
            connection.begin_idle(now);
            self.idle_connections.borrow_mut().entry(endpoint).or_default().push(connection);
        }
    }
}
