//! A fake HTTP/1.1 server that replies by a script and records the requests that it receives.
use crate::WAIT_TIMEOUT;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An HTTP request or response as it was read from a connection. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the server's connection that it arrived on, counted from 0.
    pub connection: usize,
    pub received_at: Instant,
}

impl HttpMessage {
    /// Returns the trace id of the message that the request carries, or an empty string if it has none.
    pub fn message_id(&self) -> &str {
        self.headers.get("x-trace-id").map_or("", String::as_str)
    }
}

/// Reads one request or response with its body. `connection` is the number to record in it. Returns `None` if
/// the connection ends before the message is complete.
pub fn read_http_message(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<HttpMessage> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let start_line = line.trim_end().to_string();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { start_line, headers, body, connection, received_at: Instant::now() })
}

/// A complete response. `status` is its code and reason, such as `200 OK`; each line of `headers` ends with
/// `\r\n`.
pub fn http_reply(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn ok_reply() -> Reply {
    http_reply("200 OK", "", "")
}

/// What a fake server does with a request.
pub enum Reply {
    /// Writes these bytes, which need not be a valid response.
    Bytes(String),
    /// Closes the connection without a response.
    Close,
    /// Sends no response and leaves the connection open.
    Hang,
}

/// A named reply in a table-driven test.
pub type ReplyCase = (&'static str, fn() -> Reply);

type Script = Box<dyn Fn(&HttpMessage) -> Reply + Send + Sync>;

struct Shared {
    script: Mutex<Script>,
    received: Mutex<Vec<HttpMessage>>,
    request_received: Condvar,
    /// Number of connections accepted so far.
    connections: AtomicUsize,
    /// Bytes of all replies so far.
    bytes_written: AtomicUsize,
    /// Numbers of the connections that the client has closed.
    closed_connections: Mutex<Vec<usize>>,
    /// The writing ends of all connections, by number.
    writers: Mutex<HashMap<usize, TcpStream>>,
}

/// A fake server, for example an endpoint or a receiver of notices. Clones share one server.
#[derive(Clone)]
pub struct FakeServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeServer {
    /// Starts a server on a free loopback port. The script runs for one request at a time, over all
    /// connections.
    pub fn new(script: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) -> FakeServer {
        FakeServer::with_listener(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    pub fn with_listener(
        listener: TcpListener,
        script: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static,
    ) -> FakeServer {
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            script: Mutex::new(Box::new(script)),
            received: Mutex::default(),
            request_received: Condvar::new(),
            connections: AtomicUsize::new(0),
            bytes_written: AtomicUsize::new(0),
            closed_connections: Mutex::default(),
            writers: Mutex::default(),
        });
        let server = FakeServer { address, shared: shared.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve_connection(stream, number, &shared));
            }
        });
        server
    }

    pub fn set_script(&self, script: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) {
        *self.shared.script.lock().unwrap() = Box::new(script);
    }

    /// Puts a script before the current one. A request for which it returns `None` goes to the current one.
    pub fn prepend_script(&self, script: impl Fn(&HttpMessage) -> Option<Reply> + Send + Sync + 'static) {
        let mut current = self.shared.script.lock().unwrap();
        let previous = std::mem::replace(&mut *current, Box::new(|_| Reply::Close));
        *current = Box::new(move |request| script(request).unwrap_or_else(|| previous(request)));
    }

    /// Returns all requests so far, in order of their replies.
    pub fn received(&self) -> Vec<HttpMessage> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Returns how many connections have been accepted so far, open or closed.
    pub fn connection_count(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Returns how many bytes of replies have been written so far, over all connections.
    pub fn bytes_written(&self) -> usize {
        self.shared.bytes_written.load(Ordering::SeqCst)
    }

    /// Whether the client has closed this connection.
    pub fn is_connection_closed(&self, connection: usize) -> bool {
        self.shared.closed_connections.lock().unwrap().contains(&connection)
    }

    /// Writes bytes to a connection, whatever its client has asked for. Returns false if the connection has
    /// ended.
    pub fn write_to(&self, connection: usize, bytes: &str) -> bool {
        self.shared.bytes_written.fetch_add(bytes.len(), Ordering::SeqCst);
        let mut writers = self.shared.writers.lock().unwrap();
        writers.get_mut(&connection).is_some_and(|stream| stream.write_all(bytes.as_bytes()).is_ok())
    }

    /// Waits until the client has closed this connection; returns false if it has not within `limit`.
    pub fn wait_until_closed(&self, connection: usize, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while !self.is_connection_closed(connection) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.is_connection_closed(connection)
    }

    /// Waits until the received requests satisfy `condition`, and returns them. `expected` names what is
    /// awaited in the message of the panic on a timeout.
    pub fn wait_until(&self, expected: &str, condition: impl Fn(&[HttpMessage]) -> bool) -> Vec<HttpMessage> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut received = self.shared.received.lock().unwrap();
        while !condition(&received) {
            assert!(Instant::now() < deadline, "timed out waiting for {expected}; received: {received:#?}");
            received =
                self.shared.request_received.wait_timeout(received, Duration::from_millis(200)).unwrap().0;
        }
        received.clone()
    }

    /// Waits until the message with this trace id has been received at least `times` times, and returns all
    /// requests with it.
    pub fn wait_for_message(&self, id: &str, times: usize) -> Vec<HttpMessage> {
        let count = |requests: &[HttpMessage]| requests.iter().filter(|r| r.message_id() == id).count();
        let received =
            self.wait_until(&format!("{times} calls with {id}"), |requests| count(requests) >= times);
        received.into_iter().filter(|r| r.message_id() == id).collect()
    }
}

fn serve_connection(stream: TcpStream, number: usize, shared: &Shared) {
    shared.writers.lock().unwrap().insert(number, stream.try_clone().unwrap());
    let closed_by_client = answer_requests(stream, number, shared);
    // The connection ends once this last handle is gone.
    shared.writers.lock().unwrap().remove(&number);
    if closed_by_client {
        shared.closed_connections.lock().unwrap().push(number);
    }
}

/// Answers requests until either side closes. Returns whether the client did.
fn answer_requests(stream: TcpStream, number: usize, shared: &Shared) -> bool {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = read_http_message(&mut reader, number) {
        let reply = shared.script.lock().unwrap()(&request);
        if let Reply::Bytes(bytes) = &reply {
            shared.bytes_written.fetch_add(bytes.len(), Ordering::SeqCst);
            if writer.write_all(bytes.as_bytes()).is_err() {
                break;
            }
        }
        // Recorded after the reply is written: a test that has waited for a request may rely on its reply
        // being sent.
        shared.received.lock().unwrap().push(request);
        shared.request_received.notify_all();
        if matches!(reply, Reply::Close) {
            return false;
        }
    }
    true
}
