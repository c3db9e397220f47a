//! The part of HTTP/1.1 that the fake servers and clients use: message heads, and bodies with a
//! `Content-Length`.
use crate::network::LabStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// A longer head is treated as invalid.
const HEAD_BYTES_MAX: usize = 256 << 10;

/// A request or a response.
pub struct HttpMessage {
    /// The request line or status line, split at spaces.
    pub start_line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the peer wrote the first byte.
    pub first_byte: Instant,
}

impl HttpMessage {
    /// Returns the value of the first header with this name, in any case of letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response; 0 if it cannot be parsed.
    pub fn status(&self) -> u16 {
        self.start_line.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection, with the bytes that were read beyond the last message.
pub struct HttpConnection {
    pub stream: Rc<LabStream>,
    buffer: Vec<u8>,
}

impl HttpConnection {
    pub fn new(stream: LabStream) -> HttpConnection {
        HttpConnection { stream: Rc::new(stream), buffer: Vec::new() }
    }

    /// Reads the next message. Returns None if the connection has ended or the bytes are not a valid message.
    pub async fn read(&mut self) -> Option<HttpMessage> {
        let mut first_byte = None;
        let mut chunk = [0; 4096];
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return None;
            }
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => {
                    first_byte.get_or_insert(self.stream.last_sent_at());
                    self.buffer.extend_from_slice(&chunk[..count]);
                }
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = text.split("\r\n");
        let start_line = lines.next()?.split(' ').map(str::to_string).collect();
        let parse_header = |line: &str| {
            line.split_once(':').map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        };
        let headers: Vec<(String, String)> = lines.filter_map(parse_header).collect();
        let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length: usize = length.map_or(Some(0), |(_, v)| v.parse().ok())?;
        let message_end = head_end + 4 + length;
        while self.buffer.len() < message_end {
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
        let body = self.buffer[head_end + 4..message_end].to_vec();
        self.buffer.drain(..message_end);
        Some(HttpMessage {
            start_line,
            headers,
            body,
            first_byte: first_byte.unwrap_or_else(|| self.stream.last_sent_at()),
        })
    }

    /// Returns once the peer has ended the connection. Keeps the bytes that it sends before that for the next
    /// `read`.
    pub async fn closed_by_peer(&mut self) {
        let mut chunk = [0; 4096];
        while let Ok(count @ 1..) = self.stream.read(&mut chunk).await {
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }

    /// Writes a message after `delay`, unless the connection has been dropped by then.
    pub fn write_later(&self, text: String, delay: Duration) {
        let stream = Rc::downgrade(&self.stream);
        spawn_local(async move {
            sleep(delay).await;
            if let Some(stream) = stream.upgrade() {
                // A connection that has ended takes no copy.
                let _ = stream.write_all(text.as_bytes()).await;
            }
        });
    }

    /// Writes a message. Returns false if the connection has ended or was reset.
    pub async fn write(&self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }
}
