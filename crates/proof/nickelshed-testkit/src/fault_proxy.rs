//! A proxy between a sender and a fake server that injects faults into the answers on their way back.
use crate::fake_server::{read_http_message, HttpMessage};
use socket2::SockRef;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the proxy does with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Passes it on.
    None,
    /// Passes it on, and a second copy of it after this time.
    Copy(Duration),
    /// Passes it on, and resets the connection after this time.
    Reset(Duration),
    /// Passes on this many bytes of it, and resets the connection after this time.
    CutOff(usize, Duration),
    /// Passes on this many bytes of it and then nothing more; the connection stays open.
    Stall(usize),
    /// Discards it and resets the connection.
    Discard,
}

/// A request and its answer, as the proxy passed them on.
#[derive(Clone, Debug)]
pub struct ProxiedCall {
    pub request: HttpMessage,
    /// Number of calls on the same connection before this one.
    pub previous_calls: usize,
    pub answer: HttpMessage,
}

type Plan = Box<dyn Fn(&ProxiedCall) -> AnswerFault + Send + Sync>;

/// A running proxy. It stops accepting connections when the process ends.
#[derive(Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    plan: Arc<Mutex<Plan>>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port. It passes each connection on to `server` over a connection of
    /// its own; `plan` returns the fault of each answer.
    pub fn new(
        server: SocketAddr,
        plan: impl Fn(&ProxiedCall) -> AnswerFault + Send + Sync + 'static,
    ) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let plan: Arc<Mutex<Plan>> = Arc::new(Mutex::new(Box::new(plan)));
        let shared = plan.clone();
        std::thread::spawn(move || {
            for (number, client) in listener.incoming().flatten().enumerate() {
                let plan = shared.clone();
                // The connection ends with an error if either side closes it.
                std::thread::spawn(move || _ = serve(&client, number, server, &plan));
            }
        });
        FaultProxy { address, plan }
    }

    /// Replaces the plan for all answers from now on.
    pub fn set_plan(&self, plan: impl Fn(&ProxiedCall) -> AnswerFault + Send + Sync + 'static) {
        *self.plan.lock().unwrap() = Box::new(plan);
    }
}

fn serve(client: &TcpStream, number: usize, server: SocketAddr, plan: &Mutex<Plan>) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut server = TcpStream::connect(server)?;
    let mut requests = BufReader::new(client.try_clone()?);
    let mut answers = BufReader::new(server.try_clone()?);
    let mut previous_calls = 0;
    while let Some(request) = read_http_message(&mut requests, number) {
        server.write_all(&to_bytes(&request))?;
        let Some(answer) = read_http_message(&mut answers, number) else {
            return reset(client);
        };
        let call = ProxiedCall { request, previous_calls, answer };
        let fault = plan.lock().unwrap()(&call);
        if !pass_on(client, &to_bytes(&call.answer), fault)? {
            return Ok(());
        }
        previous_calls += 1;
    }
    client.shutdown(Shutdown::Both)
}

/// Writes an answer with its fault. Returns whether the connection goes on.
fn pass_on(mut client: &TcpStream, answer: &[u8], fault: AnswerFault) -> io::Result<bool> {
    match fault {
        AnswerFault::None => client.write_all(answer)?,
        AnswerFault::Copy(delay) => {
            if delay.is_zero() {
                client.write_all(&[answer, answer].concat())?;
                return Ok(true);
            }
            client.write_all(answer)?;
            copy_later(client.try_clone()?, answer.to_vec(), delay);
        }
        AnswerFault::Reset(delay) => {
            client.write_all(answer)?;
            std::thread::sleep(delay);
            reset(client)?;
            return Ok(false);
        }
        AnswerFault::CutOff(bytes, delay) => {
            client.write_all(&answer[..bytes.min(answer.len())])?;
            std::thread::sleep(delay);
            reset(client)?;
            return Ok(false);
        }
        AnswerFault::Stall(bytes) => client.write_all(&answer[..bytes.min(answer.len())])?,
        AnswerFault::Discard => {
            reset(client)?;
            return Ok(false);
        }
    }
    Ok(true)
}

fn copy_later(mut client: TcpStream, answer: Vec<u8>, delay: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        // A connection that has ended takes no copy.
        let _ = client.write_all(&answer);
    });
}

/// Makes the connection end with a reset (RST) once its last handle is dropped.
fn reset(client: &TcpStream) -> io::Result<()> {
    SockRef::from(client).set_linger(Some(Duration::ZERO))
}

/// The bytes of a message, with its headers in alphabetical order.
fn to_bytes(message: &HttpMessage) -> Vec<u8> {
    let mut headers: Vec<_> = message.headers.iter().collect();
    headers.sort();
    let lines: String = headers.into_iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let mut bytes = format!("{}\r\n{lines}\r\n", message.start_line).into_bytes();
    bytes.extend_from_slice(&message.body);
    bytes
}
