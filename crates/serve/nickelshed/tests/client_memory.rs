//! Clients that stop in the middle of a request, rest or say nothing, as many as there are descriptors, must not
//! take the sender over its memory limit or keep other clients out.
use nickelshed_testkit::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// How long the clients stay; longer than a request may take to arrive.
const ATTACK_TIME: Duration = Duration::from_secs(4);

/// What a client sends on a new connection before it stops. `number` is different for each.
type FirstBytes = fn(number: usize) -> Vec<u8>;

/// A request with a head of 15 KB.
fn long_request(number: usize, body_bytes: usize) -> Vec<u8> {
    let request = submission_request("alert", &format!("long-{number}"), 7, 16_000, &vec![b'x'; body_bytes]);
    let line_end = request.windows(2).position(|bytes| bytes == b"\r\n").unwrap() + 2;
    let padding: String = (0..50).map(|line| format!("X-Note-{line}: {}\r\n", "a".repeat(290))).collect();
    [&request[..line_end], padding.as_bytes(), &request[line_end..]].concat()
}

fn without_last_byte(mut request: Vec<u8>) -> Vec<u8> {
    request.pop();
    request
}

const SILENT: FirstBytes = |_| Vec::new();
const HALF_HEAD: FirstBytes = |number| long_request(number, 0)[..14_000].to_vec();
/// A head that does not end, with as many fields as fit.
const HALF_HEAD_OF_SHORT_FIELDS: FirstBytes = |_| {
    let fields: String = (0..2_300).map(|field| format!("{:x}:\r\n", field % 4_096)).collect();
    format!("POST /alert HTTP/1.1\r\n{fields}").into()
};
const WHOLE_HEAD_OF_SHORT_FIELDS: FirstBytes =
    |number| [&HALF_HEAD_OF_SHORT_FIELDS(number)[..], &b"\r\n"[..]].concat();
const HALF_BODY: FirstBytes = |number| without_last_byte(long_request(number, 20_000));
const HALF_SMALL_BODY: FirstBytes = |number| {
    without_last_byte(submission_request("alert", &format!("small-{number}"), 7, 16_000, &[b'x'; 200]))
};
const WHOLE: FirstBytes = |number| long_request(number, 20_000);

/// Connections that are opened again as soon as the sender closes them.
struct Attack {
    clients: Vec<(FirstBytes, Option<TcpStream>)>,
    request_count: usize,
}

impl Attack {
    fn reconnect_closed(&mut self, sender: &SenderProcess) {
        for (first_bytes, stream) in &mut self.clients {
            let is_open = stream.as_mut().is_some_and(|stream| {
                matches!(stream.read(&mut [0; 512]), Err(error) if error.kind() == ErrorKind::WouldBlock)
            });
            if is_open {
                continue;
            }
            self.request_count += 1;
            *stream = TcpStream::connect(sender.address).ok().filter(|mut stream| {
                // A connection that is rejected meanwhile is opened again in the next round.
                stream.write_all(&first_bytes(self.request_count)).is_ok()
                    && stream.set_nonblocking(true).is_ok()
            });
        }
    }
}

/// Plays an attack by `clients` connections on a sender with these limits, and checks its memory all the time.
/// A usual client that connects for each message must be served meanwhile.
fn assert_memory_limit_holds(
    name: &str,
    memory_mb: u64,
    sockets: usize,
    kinds: &[FirstBytes],
    clients: usize,
) {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["memory_mb"] = json!(memory_mb);
        config["limits"]["sockets"] = json!(sockets);
    });
    assert_eq!(sender.submit("alert", "before", 7, 16_000, b"x"), 202);
    let clients = (0..clients).map(|number| (kinds[number % kinds.len()], None)).collect();
    let mut attack = Attack { clients, request_count: 0 };
    let is_over = AtomicBool::new(false);
    let (peak, accepted, tried) = std::thread::scope(|scope| {
        let usual_client = scope.spawn(|| {
            let (mut accepted, mut tried) = (0, 0);
            while !is_over.load(Ordering::SeqCst) {
                tried += 1;
                let id = format!("usual-{tried}");
                accepted += usize::from(sender.try_submit("alert", &id, 7, 16_000, b"x") == Some(202));
                std::thread::sleep(Duration::from_millis(50));
            }
            (accepted, tried)
        });
        let (begin, mut peak) = (Instant::now(), 0);
        while begin.elapsed() < ATTACK_TIME {
            attack.reconnect_closed(&sender);
            peak = peak.max(sender.anonymous_memory() + sender.disk_usage());
            std::thread::sleep(Duration::from_millis(5));
        }
        is_over.store(true, Ordering::SeqCst);
        let (accepted, tried) = usual_client.join().unwrap();
        (peak, accepted, tried)
    });
    println!("{name}: at most {peak} bytes, {accepted} of {tried} messages accepted");
    assert!(peak < memory_mb * 1_000_000, "{name}: {peak} bytes with a limit of {memory_mb} MB");
    assert!(accepted * 10 >= tried * 9, "{name}: {accepted} of {tried} messages accepted");
    assert!(sender.open_descriptors() <= sockets, "{name}: {} descriptors", sender.open_descriptors());
}

/// Guards against a sender that is killed for memory because what connections hold is charged to no budget.
#[test]
fn clients_that_stop_in_a_request_stay_within_the_memory_limit() {
    assert_memory_limit_holds("bodies and silent", 32, 1_024, &[HALF_BODY, SILENT], 670);
    assert_memory_limit_holds("bodies", 32, 1_024, &[HALF_BODY], 340);
    assert_memory_limit_holds("heads", 32, 1_024, &[HALF_HEAD], 340);
    assert_memory_limit_holds("short fields", 32, 1_024, &[HALF_HEAD_OF_SHORT_FIELDS], 340);
    assert_memory_limit_holds(
        "ended heads of short fields",
        32,
        1_024,
        &[WHOLE_HEAD_OF_SHORT_FIELDS, HALF_BODY],
        340,
    );
    assert_memory_limit_holds("small bodies", 32, 640, &[HALF_SMALL_BODY], 210);
    assert_memory_limit_holds(
        "all kinds",
        48,
        1_024,
        &[HALF_BODY, HALF_HEAD, HALF_SMALL_BODY, WHOLE, SILENT],
        670,
    );
    assert_memory_limit_holds("little memory", 16, 256, &[HALF_BODY, SILENT], 120);
}

/// Guards against a shutdown that leaves connections open on which a request could still be lost.
#[test]
fn connections_on_which_nothing_has_arrived_are_closed_when_the_sender_shuts_down() {
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    let mut silent = TcpStream::connect(sender.address).unwrap();
    silent.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let begin = Instant::now();
    sender.terminate();
    assert_eq!(silent.read(&mut [0; 16]).unwrap(), 0);
    assert!(begin.elapsed() < Duration::from_millis(1_200), "closed after {:?}", begin.elapsed());
}
