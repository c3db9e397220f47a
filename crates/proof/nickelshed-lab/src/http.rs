//! HTTP/1.1 as the stand-ins speak it: heads, and bodies with a length.
use crate::wire::LabStream;
use tokio::time::Instant;

const HEAD_BYTES_MAX: usize = 256 << 10;

/// A request or an answer.
pub struct HttpMessage {
    /// The first line, in words.
    pub start_line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the other side wrote its first byte.
    pub first_byte: Instant,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read too far.
pub struct HttpConnection {
    pub stream: LabStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    pub fn new(stream: LabStream) -> HttpConnection {
        HttpConnection { stream, buffer: Vec::new() }
    }

    /// None once the connection has ended, or can't be read.
    pub async fn read(&mut self) -> Option<HttpMessage> {
        let mut first_byte = None;
        let mut chunk = [0; 4096];
        let head = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return None;
            }
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => {
                    first_byte.get_or_insert(self.stream.last_sent_at());
                    self.buffer.extend_from_slice(&chunk[..n]);
                }
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next()?.split(' ').map(str::to_string).collect();
        let pair = |l: &str| l.split_once(':').map(|(n, v)| (n.trim().to_string(), v.trim().to_string()));
        let headers: Vec<(String, String)> = lines.filter_map(pair).collect();
        let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
        let length: usize = length.map_or(Some(0), |(_, v)| v.parse().ok())?;
        let whole = head + 4 + length;
        while self.buffer.len() < whole {
            match self.stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
            }
        }
        let body = self.buffer[head + 4..whole].to_vec();
        self.buffer.drain(..whole);
        Some(HttpMessage {
            start_line: first,
            headers,
            body,
            first_byte: first_byte.unwrap_or_else(|| self.stream.last_sent_at()),
        })
    }

    /// Comes back once the other side has ended the connection, or has sent what nobody asked for.
    pub async fn closed_by_peer(&self) {
        let mut byte = [0; 1];
        let _ = self.stream.read(&mut byte).await;
    }

    pub async fn write(&self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }
}
