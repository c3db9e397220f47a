//! One request to discovery: sends it and reads the list in its answer.
use super::requests::{Request, RequestId, RequestKind};
use super::schedule::Failure;
use super::transfer::TransferDeadline;
use super::{Answer, Event};
use crate::connections::{self, Connection};
use crate::list::{EndpointList, ListError, ListReader};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nickelshed_host::Host;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{timeout_at, Instant};

const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The memory that the entries of one list may use, divided by this, is what each list may use beside a large one.
const LARGE_LIST_DIVISOR: usize = 8;

/// Why a request to discovery did not return a list.
#[derive(Debug)]
pub(super) enum RequestError {
    Status(u16),
    InvalidList(ListError),
    Unreachable(String),
    TimedOut,
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestError::Status(status) => write!(f, "answered with status {status}"),
            RequestError::InvalidList(error) => write!(f, "the answer is not a valid list: {error}"),
            RequestError::Unreachable(error) => f.write_str(error),
            RequestError::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl RequestError {
    pub(super) fn failure(&self) -> Failure {
        match self {
            RequestError::Status(_) => Failure::Rejected,
            RequestError::InvalidList(ListError::TooLarge(_)) => Failure::ListTooLarge,
            RequestError::InvalidList(_) | RequestError::Unreachable(_) | RequestError::TimedOut => {
                Failure::Unavailable
            }
        }
    }
}

/// What one request needs.
pub(super) struct Exchange<H: Host> {
    pub host: H,
    pub address: SocketAddr,
    /// Used instead of a new connection if it is still open.
    pub idle_connection: Option<Connection<H>>,
    /// Memory that the entries of the list may use, in bytes.
    pub max_list_bytes: usize,
    /// Its permit is needed for a list beyond a small part of that, so that lists which arrive beside one another do
    /// not use it several times.
    pub large_list: Arc<Semaphore>,
    pub events: mpsc::UnboundedSender<Event<H>>,
}

impl<H: Host> Exchange<H> {
    /// Makes the request, and reports how it ends.
    pub(super) async fn run(mut self, request: Request) {
        let result = self.request_list(request).await;
        let _ = self.events.send(Event::Finished(request.id, Box::new(result)));
    }

    /// The head of the answer must come before the request's deadline; the body may take longer while it makes
    /// progress.
    async fn request_list(&mut self, request: Request) -> Result<Answer<H>, RequestError> {
        let path = path_of(request.kind);
        let started_at = Instant::now();
        tracing::debug!(request = request.id, path, "asking discovery");
        let unreachable = |fault: connections::Fault| RequestError::Unreachable(fault.to_string());
        let (idle_connection, address) = (&mut self.idle_connection, self.address);
        let answer_head = async {
            // A watch goes on only if the next one follows at once; `RequestPlan` guards against copies instead of
            // a rest.
            let opened =
                Connection::reuse_or_open(idle_connection, &self.host, address, DIAL_TIMEOUT, Duration::ZERO);
            let mut connection = opened.await.map_err(|e| RequestError::Unreachable(e.to_string()))?;
            let is_reused = connection.idle_time().is_some();
            let request = connections::request("GET", &path, address, &[], Default::default());
            let (head, body) = connection.send_and_read_head(request).await.map_err(unreachable)?;
            Ok((connection, is_reused, head, body))
        };
        let (mut connection, is_on_reused_connection, head, body) =
            timeout_at(request.deadline, answer_head).await.unwrap_or(Err(RequestError::TimedOut))?;
        let status = head.status.as_u16();
        let after_ms = started_at.elapsed().as_millis();
        tracing::debug!(request = request.id, after_ms, status, headers = ?head.headers, "discovery answered");
        if status != 200 {
            return Err(RequestError::Status(status));
        }
        let list = self.read_list(body, request).await?;
        connection.finish_exchange().await;
        Ok(Answer { list, is_on_reused_connection, connection })
    }

    /// Reads the list in the body of an answer.
    async fn read_list(&self, mut body: Incoming, request: Request) -> Result<EndpointList, RequestError> {
        let mut transfer = TransferDeadline::new(request.deadline, Instant::now());
        let mut reader = ListReader::new(self.max_list_bytes);
        let mut permit = None;
        loop {
            let frame = timeout_at(transfer.deadline(), body.frame()).await;
            let Some(frame) = frame.map_err(|_| RequestError::TimedOut)? else { break };
            let frame = frame.map_err(|e| RequestError::Unreachable(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if transfer.received(Instant::now(), data.len()) {
                self.report_progress(request.id);
            }
            reader.push(&data).map_err(RequestError::InvalidList)?;
            if permit.is_none() && reader.instance_bytes() > self.max_list_bytes / LARGE_LIST_DIVISOR {
                let acquired = timeout_at(transfer.deadline(), self.large_list.acquire()).await;
                permit = Some(acquired.map_err(|_| RequestError::TimedOut)?);
            }
        }
        reader.finish().map_err(RequestError::InvalidList)
    }

    fn report_progress(&self, id: RequestId) {
        let _ = self.events.send(Event::Progressed(id));
    }
}

fn path_of(kind: RequestKind) -> String {
    match kind.generation() {
        None => "/v1/servers".to_string(),
        Some(generation) => format!("/v1/servers?index={generation}&wait={}", kind.wait().as_millis()),
    }
}
