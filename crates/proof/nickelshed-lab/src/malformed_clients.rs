//! Clients that send malformed or incomplete requests, and then close or keep the connection open. The sender
//! must accept none of these requests, and other clients must not be affected.
use crate::fake_servers::sender_address;
use crate::http::HttpConnection;
use crate::simulation::Simulation;
use nickelshed_host::{Host, Stream};
use nickelshed_model::{random_stream, InjectedFault, Random};
use rand::{Rng, RngExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Time for which a malformed client waits for an answer before it closes its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(100);

/// Malformed requests. `{class}` is replaced by the name of an existing class.
const MALFORMED_REQUESTS: [&str; 16] = [
    "",
    "\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: r1",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\nX-Trace-Id: r2\r\nX-Consignee: dest=1\r\n\r\nx",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\nX-Trace-Id: r3\r\nX-Consignee: dest=1\r\n\r\nhalf of it",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\nX-Trace-Id: r4\r\nX-Consignee: dest=1\r\n\r\nxy",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\nX-Trace-Id: r5\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nX-Trace-Id: r6\r\nX-Consignee: dest=1\r\n\r\nZZ\r\n",
    "POST /no-such-class HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r7\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r9\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=none\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r10\r\nX-Expires-In-Ms: 900\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r11\r\nX-Expires-In-Ms: soon\r\nX-Consignee: dest=1\r\n\r\n",
    "DELETE /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r12\r\nX-Consignee: dest=1\r\n\r\n",
    "GET /{class} HTTP/9.9\r\n\r\n",
    "\u{16}\u{3}\u{1}\u{2}\0\u{1}\0\u{1}\u{fc}\u{3}\u{3} a handshake for somebody else",
];

/// Sends as many malformed requests as the fault's magnitude to each sender every 100 ms while the fault
/// lasts.
pub async fn send_malformed_requests(sim: Rc<Simulation>, fault: InjectedFault, seed: u64) {
    let mut random = random_stream(seed, 5);
    let until = sim.to_instant(fault.end());
    let class = sim.scenario.traffic_classes().first().map_or(String::new(), |c| c.name.clone());
    while Instant::now() < until {
        for sender in 0..sim.scenario.senders as usize {
            for _ in 0..fault.magnitude.round().max(1.0) as usize {
                let bytes = random_request(&mut random, &class);
                let half_closes = random.random::<bool>();
                spawn_local(send_malformed_request(sim.clone(), sender, bytes, half_closes));
            }
        }
        sleep(ARRIVAL_INTERVAL).await;
    }
}

/// Returns one of the malformed requests, or random bytes.
fn random_request(random: &mut Random, class: &str) -> Vec<u8> {
    let choice = random.random_range(0..=MALFORMED_REQUESTS.len());
    match MALFORMED_REQUESTS.get(choice) {
        Some(text) => text.replace("{class}", class).into_bytes(),
        None => {
            let mut bytes = vec![0; random.random_range(1..2_000)];
            random.fill_bytes(&mut bytes);
            bytes
        }
    }
}

async fn send_malformed_request(sim: Rc<Simulation>, sender: usize, bytes: Vec<u8>, half_closes: bool) {
    let Ok(stream) = sim.network.host(None).connect(sender_address(sender)).await else { return };
    if stream.write_all(&bytes).await.is_err() || half_closes && stream.shutdown_write().is_err() {
        return;
    }
    let mut connection = HttpConnection::new(stream);
    let answer = timeout(ANSWER_TIMEOUT, connection.read()).await;
    if let Ok(Some(answer)) = answer {
        if matches!(answer.status(), 200 | 202) {
            let request = String::from_utf8_lossy(&bytes).into_owned();
            sim.crashes
                .borrow_mut()
                .push(format!("sender {sender} accepted a malformed request: {request:?}"));
        }
    }
}
