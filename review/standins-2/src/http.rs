//! As much of HTTP/1.1 as the stand-ins need.
use std::io::{self, BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status code of an answer.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one request or answer. `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end().to_string();
        if line.is_empty() && !lines.is_empty() {
            break;
        }
        if !line.is_empty() {
            lines.push(line);
        }
    }
    let header = |line: &String| {
        line.split_once(':').map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
    };
    let headers: Vec<(String, String)> = lines[1..].iter().filter_map(header).collect();
    let mut message = Message { start_line: lines[0].clone(), headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// What a server does with a request.
pub enum Reply {
    /// Status with reason, further header lines (each with its line end), body.
    Answer(String, String, String),
    /// Nothing; the connection stays open until the other side closes it.
    Silence,
}

pub fn answer(status: &str) -> Reply {
    Reply::Answer(status.into(), String::new(), String::new())
}

pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// Starts a server on a free loopback port, with a thread for each connection. The handler gets each request,
/// and the number of its connection.
pub fn serve(handler: impl Fn(&Message, usize) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free loopback port");
    let address = listener.local_addr().expect("the address of a listener");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, number, &*handler);
            });
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    handler: &(dyn Fn(&Message, usize) -> Reply + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = io::BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        match handler(&request, number) {
            Reply::Answer(status, headers, body) => write_answer(&mut stream, &status, &headers, &body)?,
            Reply::Silence => {
                let mut rest = [0; 256];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

/// One request on a new connection.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let answer = read_message(&mut io::BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
