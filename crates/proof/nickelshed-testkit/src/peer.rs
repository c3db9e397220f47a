//! A peer that answers HTTP/1.1 by a script and remembers what it was sent.
use crate::WAIT_TIMEOUT;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// One HTTP message as it was read.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub connection: usize,
    pub received_at: Instant,
}

impl HttpMessage {
    pub fn message_id(&self) -> &str {
        self.headers.get("x-trace-id").map_or("", String::as_str)
    }
}

pub fn read_http_message(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<HttpMessage> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpMessage { start_line: first, headers, body, connection, received_at: Instant::now() })
}

pub fn http_reply(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn ok_reply() -> Reply {
    http_reply("200 OK", "", "")
}

/// What a peer does with a request.
pub enum Reply {
    Bytes(String),
    /// Ends the connection without an answer.
    Close,
    /// Never answers, and keeps the connection.
    Hang,
}

/// A row of an outcome table.
pub type ReplyCase = (&'static str, fn() -> Reply);

type Script = Box<dyn Fn(&HttpMessage) -> Reply + Send + Sync>;

struct Shared {
    script: Mutex<Script>,
    seen: Mutex<Vec<HttpMessage>>,
    news: Condvar,
    connections: AtomicUsize,
    /// Numbers of connections that the sender has closed.
    ended: Mutex<Vec<usize>>,
}

/// A peer that remembers what it was sent and answers by a script.
#[derive(Clone)]
pub struct FakeServer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeServer {
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
            seen: Mutex::default(),
            news: Condvar::new(),
            connections: AtomicUsize::new(0),
            ended: Mutex::default(),
        });
        let peer = FakeServer { address, shared: shared.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, number, &shared));
            }
        });
        peer
    }

    pub fn set_script(&self, script: impl Fn(&HttpMessage) -> Reply + Send + Sync + 'static) {
        *self.shared.script.lock().unwrap() = Box::new(script);
    }

    /// Puts a script before the one there is, for the requests that it answers.
    pub fn prepend_script(&self, script: impl Fn(&HttpMessage) -> Option<Reply> + Send + Sync + 'static) {
        let mut held = self.shared.script.lock().unwrap();
        let old = std::mem::replace(&mut *held, Box::new(|_| Reply::Close));
        *held = Box::new(move |r| script(r).unwrap_or_else(|| old(r)));
    }

    pub fn received(&self) -> Vec<HttpMessage> {
        self.shared.seen.lock().unwrap().clone()
    }

    pub fn connection_count(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    pub fn is_connection_closed(&self, connection: usize) -> bool {
        self.shared.ended.lock().unwrap().contains(&connection)
    }

    /// Waits until what was seen satisfies `enough`.
    pub fn wait_until(&self, what: &str, enough: impl Fn(&[HttpMessage]) -> bool) -> Vec<HttpMessage> {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut seen = self.shared.seen.lock().unwrap();
        while !enough(&seen) {
            assert!(Instant::now() < until, "waited in vain for {what}; seen: {seen:#?}");
            seen = self.shared.news.wait_timeout(seen, Duration::from_millis(200)).unwrap().0;
        }
        seen.clone()
    }

    pub fn wait_for_message(&self, id: &str, times: usize) -> Vec<HttpMessage> {
        let count = |seen: &[HttpMessage]| seen.iter().filter(|r| r.message_id() == id).count();
        let seen = self.wait_until(&format!("{times} calls with {id}"), |s| count(s) >= times);
        seen.into_iter().filter(|r| r.message_id() == id).collect()
    }
}

fn serve(stream: TcpStream, number: usize, shared: &Shared) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = read_http_message(&mut reader, number) {
        let reply = shared.script.lock().unwrap()(&request);
        if let Reply::Bytes(bytes) = &reply {
            if writer.write_all(bytes.as_bytes()).is_err() {
                break;
            }
        }
        // Only now, so that whoever waits for a request knows that its answer is on the way.
        shared.seen.lock().unwrap().push(request);
        shared.news.notify_all();
        if matches!(reply, Reply::Close) {
            return;
        }
    }
    shared.ended.lock().unwrap().push(number);
}
